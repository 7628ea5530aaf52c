package spurroad.testbed.capacity;

import java.util.List;
import spurroad.model.Fleet;

/** What a request costs a proxy's decisions, and what the proxy holds, by how many nodes it may use. */
final class RequestDecisions implements Measure {
    // columns
    static final int CPU = 0;
    static final int ALLOCATED = 1;
    static final int STATE = 2;
    static final int CONNECTIONS = 3;
    static final int SEEN = 4;
    static final int PROBES = 5;
    static final int PER_SECOND = 750; // requests of a proxy at the peak
    private static final long SERVICE_NANOS = 10_000_000L;
    private static final int FULL_SECONDS = 60; // simulated; the time after which idle connections close
    private static final int SHORT_SECONDS = 4;

    @Override
    public String name() {
        return "requests";
    }

    @Override
    public String title() {
        return "A proxy's decisions on requests (750/s, keys drawn evenly, 60 s of simulated time)";
    }

    @Override
    public String sizeName() {
        return "nodes";
    }

    @Override
    public List<Column> columns() {
        return List.of(new Column("processor time a request", "us"),
            new Column("allocated a request", "bytes"),
            new Column("state", "KB"), new Column("connections open", ""),
            new Column("requests seen of a node", "1/s"), new Column("probes", "1/s"));
    }

    @Override
    public List<Integer> sizes(MeasurementBudget budget) {
        return NodeCounts.of(budget);
    }

    @Override
    public List<Double> run(int nodes, MeasurementBudget budget) {
        int seconds = budget == MeasurementBudget.FULL ? FULL_SECONDS : SHORT_SECONDS;
        HollowProxy proxy = proxy(nodes);
        Meter.Cost each = Meter.once(() -> sendRequests(proxy, (long) seconds * PER_SECOND))
            .each(proxy.requests());
        Meter.Retained<HollowProxy> retained = Meter.retain(NodeCounts.copies(nodes), () -> {
            HollowProxy copy = proxy(nodes);
            sendRequests(copy, nodes);
            return copy;
        });
        return List.of(each.cpuMicros(), each.bytes(), retained.kilobytes(), (double) proxy.connections(),
            (double) PER_SECOND / nodes, (double) proxy.probes() / seconds);
    }

    private static HollowProxy proxy(int nodes) {
        return new HollowProxy(Fleet.STANDALONE, SyntheticFleet.entries(nodes), SERVICE_NANOS, update -> {});
    }

    private static void sendRequests(HollowProxy proxy, long requests) {
        for (long i = 1; i <= requests; i++) {
            proxy.onRequest(i * SyntheticFleet.SECOND_NANOS / PER_SECOND);
        }
    }
}
