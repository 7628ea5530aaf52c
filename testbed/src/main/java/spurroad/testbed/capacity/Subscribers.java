package spurroad.testbed.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import spurroad.control.decide.Rollout;
import spurroad.control.decide.XdsSubscription;

/** What a new version costs the control service's decisions, by how many proxies subscribe to one machine. */
final class Subscribers implements Measure {
    // columns
    static final int TOLD = 0;
    static final int ROLLOUT = 1;
    static final int ALLOCATED = 2;
    static final int STATE = 3;
    private static final double[] STAGES = {0.01, 0.1, 1};
    private static final long MIN_REQUESTS = 1_000;
    private static final double MARGIN = 0.01;

    /** Proxies that accept each version as soon as it is sent. */
    private static final class SubscribedProxies {
        private final List<XdsSubscription> proxies = new ArrayList<>();
        private long versions;

        private SubscribedProxies(int count) {
            for (int i = 0; i < count; i++) {
                XdsSubscription proxy = new XdsSubscription();
                proxy.onRequest("", "", null, true);
                proxies.add(proxy);
            }
            newVersion();
        }

        private void newVersion() {
            String version = String.format("%016x", ++versions);
            for (XdsSubscription proxy : proxies) {
                Optional<XdsSubscription.Response> send = proxy.onNewVersion(version);
                send.ifPresent(s -> proxy.onRequest(s.version(), s.nonce(), null, false));
            }
        }
    }

    @Override
    public String name() {
        return "subscribers";
    }

    @Override
    public String title() {
        return "The control service's decisions on one new version, without sending";
    }

    @Override
    public String sizeName() {
        return "proxies";
    }

    @Override
    public List<Column> columns() {
        return List.of(new Column("told to all, and accepted", "ms"),
            new Column("all reports of a roll-out", "ms"),
            new Column("allocated", "KB"), new Column("state", "KB"));
    }

    @Override
    public List<Integer> sizes(MeasurementBudget budget) {
        return budget == MeasurementBudget.FULL ? List.of(100, 400, 1_600, 6_400, 16_000, 32_000)
            : List.of(100, 400, 800, 1_600, 3_200);
    }

    @Override
    public List<Double> run(int proxies, MeasurementBudget budget) {
        Meter.Retained<SubscribedProxies> retained = Meter.retain(NodeCounts.copies(proxies),
            () -> new SubscribedProxies(proxies));
        Rollout rollout = new Rollout(0, "version", STAGES, SyntheticFleet.SECOND_NANOS, MIN_REQUESTS,
            MARGIN);
        List<String> names = IntStream.range(0, proxies).mapToObj(i -> "proxy-" + i).toList();
        Meter.Cost notified = Meter.perCall(budget, retained.value()::newVersion);
        Meter.Cost reported = Meter.perCall(budget,
            () -> names.forEach(name -> rollout.onReport(name, 1, 1)));
        return List.of(notified.cpuMillis(), reported.cpuMillis(), notified.kilobytes(),
            retained.kilobytes());
    }
}
