package spurroad.testbed.capacity;

import java.util.List;
import spurroad.model.Endpoint;
import spurroad.model.EndpointPhase;
import spurroad.model.Fleet;

/**
 * What a change of the list costs a proxy's decisions: taking it up, and the ring that the next request
 * rebuilds.
 */
final class ListChanges implements Measure {
    // columns
    static final int APPLIED = 0;
    static final int REBUILT = 1;
    static final int ALLOCATED = 2;
    static final int BURST = 3;
    static final int WHOLE = 4;
    private static final int BURST_SIZE = 100;
    private static final long SERVICE_NANOS = 1L;
    private static final long STEP_NANOS = 1_000_000L;

    /** A fleet in which one node after the other drains and comes back. */
    private static final class ChangingFleet {
        private final HollowProxy proxy;
        private final List<Endpoint> nodes;
        private long now = STEP_NANOS;
        private int changes;

        private ChangingFleet(int count) {
            nodes = SyntheticFleet.entries(count);
            proxy = new HollowProxy(Fleet.STANDALONE, nodes, SERVICE_NANOS, update -> {});
        }

        private void change() {
            EndpointPhase phase = changes % 2 == 0 ? EndpointPhase.DRAINING : EndpointPhase.READY;
            proxy.onEndpointUpdate(now, List.of(SyntheticFleet.entry(changes / 2 % nodes.size(), phase)),
                false);
            changes++;
        }

        private void request() {
            now += STEP_NANOS;
            proxy.onRequest(now);
        }

        private void changeAndRequest() {
            change();
            request();
        }

        private void burstAndRequest() {
            for (int i = 0; i < BURST_SIZE; i++) {
                change();
            }
            request();
        }

        private void completeList() {
            proxy.onEndpointUpdate(now, nodes, true);
        }
    }

    @Override
    public String name() {
        return "changes";
    }

    @Override
    public String title() {
        return "A proxy's decisions on changes of the list";
    }

    @Override
    public String sizeName() {
        return "nodes";
    }

    @Override
    public List<Column> columns() {
        return List.of(new Column("a change taken up", "us"),
            new Column("a change and the next request (ring rebuilt)", "ms"),
            new Column("allocated by that", "KB"),
            new Column("a burst of 100 changes and the next request", "ms"),
            new Column("a whole list taken up", "ms"));
    }

    @Override
    public List<Integer> sizes(MeasurementBudget budget) {
        return NodeCounts.of(budget);
    }

    @Override
    public List<Double> run(int nodes, MeasurementBudget budget) {
        ChangingFleet fleet = new ChangingFleet(nodes);
        Meter.Cost change = Meter.perCall(budget, fleet::change);
        Meter.Cost rebuilt = Meter.perCall(budget, fleet::changeAndRequest);
        Meter.Cost burst = Meter.perCall(budget, fleet::burstAndRequest);
        Meter.Cost whole = Meter.perCall(budget, fleet::completeList);
        return List.of(change.cpuMicros(), rebuilt.cpuMillis(), rebuilt.kilobytes(), burst.cpuMillis(),
            whole.cpuMillis());
    }
}
