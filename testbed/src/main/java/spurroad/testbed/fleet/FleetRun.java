package spurroad.testbed.fleet;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Runs one scenario with one fleet: starts it, applies the mean load, injects the failure, and measures. */
public final class FleetRun {
    /** Of 54,000 changes of configuration and 15,300 of membership a day. */
    private static final double CHANGES_PER_SECOND = 0.8;
    private static final int PURGES_PER_BATCH = 45;
    private static final long PURGES_PER_SECOND = 450; // a batch each 100 ms
    private static final long BACKLOG_PURGES_PER_SECOND = 16_384; // that a level of the tree takes in
    private static final int DEFAULT_CUT_SECONDS = 20;
    private static final long TREE_LEVELS = 3;
    private static final long PURGE_INTERVAL_NANOS = 100 * FleetNetwork.MILLISECOND;
    private static final long START_SPREAD_NANOS = 6 * FleetNetwork.SECOND;
    private static final long SETTLING_NANOS = 12 * FleetNetwork.SECOND;
    private static final long BEFORE_FAILURE_NANOS = 10 * FleetNetwork.SECOND;
    private static final long AFTER_FAILURE_NANOS = 18 * FleetNetwork.SECOND;
    private static final long DRAIN_NANOS = 8 * FleetNetwork.SECOND;
    private static final long PURGE_BOUND_NANOS = 7 * FleetNetwork.SECOND;
    private static final long CHECK_INTERVAL_NANOS = FleetNetwork.SECOND / 2;

    private final FleetScenario scenario;
    private final SimulatedFleet fleet;
    private final Random random;
    private final long seed;
    private final long cutDuration;
    private double unfreshProxySeconds;
    private long wronglyFresh;
    private long measurementStart;
    private boolean isLoaded = true;

    private FleetRun(FleetShape shape, FleetScenario scenario, long seed, long cutDuration) {
        this.scenario = scenario;
        this.seed = seed;
        this.cutDuration = cutDuration;
        random = new Random(seed);
        fleet = new SimulatedFleet(shape, random.nextLong());
    }

    /** Runs a scenario; a cut lasts 20 s. */
    public static FleetResult play(FleetShape shape, FleetScenario scenario, long seed) {
        return play(shape, scenario, seed, DEFAULT_CUT_SECONDS);
    }

    /** Runs a scenario with a cut of so many seconds, where it has one. */
    public static FleetResult play(FleetShape shape, FleetScenario scenario, long seed, int cutSeconds) {
        return new FleetRun(shape, scenario, seed, cutSeconds * FleetNetwork.SECOND).play();
    }

    private FleetResult play() {
        double cpuBefore = cpuSeconds();
        fleet.startAll(START_SPREAD_NANOS);
        startLoad();
        run(SETTLING_NANOS);
        if (fleet.primary() == null || fleet.proxies.stream().anyMatch(host -> !host.hasState)) {
            throw new IllegalStateException("the fleet did not start");
        }
        measure();
        run(BEFORE_FAILURE_NANOS);
        scenario.inject(fleet, random, cutDuration);
        for (int i = 0; i < scenario.burst(); i++) {
            fleet.propose(fleet.anyChange());
        }
        run(AFTER_FAILURE_NANOS + (scenario.isCut() ? cutDuration + catchUp() : 0));
        Map<String, FleetResult.Traffic> traffic = traffic(fleet.timeline.now() - measurementStart);
        isLoaded = false;
        run(DRAIN_NANOS);
        FleetMeasures measures = fleet.measures;
        return new FleetResult(fleet.shape, scenario, seed, measures.changes, measures.purges,
            measures.changesAfterCut, measures.purgesAfterCut, measures.starts, unfreshProxySeconds,
            wronglyFresh,
            fleet.behind(), measures.resets, traffic, fleet.timeline.now() / (double) FleetNetwork.SECOND,
            cpuSeconds() - cpuBefore);
    }

    /** Returns how long the backlog of a cut takes, whose levels catch up one after the other at worst. */
    private long catchUp() {
        return TREE_LEVELS * cutDuration * PURGES_PER_SECOND / BACKLOG_PURGES_PER_SECOND;
    }

    private void measure() {
        measurementStart = fleet.timeline.now();
        fleet.measures.measureFrom(measurementStart);
        List<Host> all = all();
        all.forEach(host -> host.traffic.reset());
        for (Host.Role role : Host.Role.values()) {
            all.stream().filter(host -> host.isUp() && host.role() == role)
                .max(Comparator.comparingInt(Host::children)).ifPresent(host -> host.isSampled = true);
        }
        fleet.primary().isSampled = true;
        checkFreshness();
    }

    private List<Host> all() {
        List<Host> all = new ArrayList<>(fleet.control);
        all.addAll(fleet.proxies);
        return all;
    }

    private void run(long duration) {
        fleet.timeline.runUntil(fleet.timeline.now() + duration);
    }

    private void startLoad() {
        fleet.timeline.after(PURGE_INTERVAL_NANOS, this::proposePurges);
        fleet.timeline.after(nextChangeDelay(), this::proposeChange);
    }

    private void proposePurges() {
        if (isLoaded) {
            fleet.propose(fleet.purges(PURGES_PER_BATCH));
            fleet.timeline.after(PURGE_INTERVAL_NANOS, this::proposePurges);
        }
    }

    private void proposeChange() {
        if (isLoaded) {
            fleet.propose(fleet.anyChange());
            fleet.timeline.after(nextChangeDelay(), this::proposeChange);
        }
    }

    private long nextChangeDelay() {
        return (long) (-Math.log(1 - random.nextDouble()) / CHANGES_PER_SECOND * FleetNetwork.SECOND);
    }

    /** Checks the freshness of all proxies, now and at each interval. */
    private void checkFreshness() {
        long now = fleet.timeline.now();
        long due = fleet.measures.purgesAcceptedBy(now - PURGE_BOUND_NANOS);
        for (Host host : fleet.proxies) {
            if (!host.isUp()) {
                continue;
            }
            if (!host.subscriber().freshness().isFresh(now)) {
                unfreshProxySeconds += CHECK_INTERVAL_NANOS / (double) FleetNetwork.SECOND;
            } else if (host.subscriber().purges().lastNumber() < due) {
                wronglyFresh++;
            }
        }
        fleet.timeline.after(CHECK_INTERVAL_NANOS, this::checkFreshness);
    }

    private Map<String, FleetResult.Traffic> traffic(long duration) {
        Map<String, FleetResult.Traffic> traffic = new LinkedHashMap<>();
        Host primary = fleet.primary();
        List<Host> up = all().stream().filter(Host::isUp).toList();
        traffic.put("proxy",
            traffic(up.stream().filter(h -> h.role() == Host.Role.PROXY).toList(), duration));
        traffic.put("site relay", traffic(up.stream().filter(h -> h.role() == Host.Role.SITE_RELAY).toList(),
            duration));
        traffic.put("region relay",
            traffic(up.stream().filter(h -> h.role() == Host.Role.REGION_RELAY).toList(),
                duration));
        traffic.put("control machine",
            traffic(up.stream().filter(h -> h.role() == Host.Role.CONTROL && h != primary)
                .toList(), duration));
        traffic.put("primary", traffic(up.stream().filter(h -> h == primary).toList(), duration));
        return traffic;
    }

    private static FleetResult.Traffic traffic(List<Host> hosts, long duration) {
        double seconds = duration / (double) FleetNetwork.SECOND;
        int children = 0;
        double meanIn = 0;
        double meanOut = 0;
        double mostMessages = 0;
        double cpu = 0;
        Host busiest = null;
        for (Host host : hosts) {
            children = Math.max(children, host.children());
            meanIn += host.traffic.bytesIn / seconds / hosts.size();
            meanOut += host.traffic.bytesOut / seconds / hosts.size();
            mostMessages = Math.max(mostMessages, host.traffic.messages() / seconds);
            cpu = Math.max(cpu, 100.0 * host.traffic.cpuNanos / duration);
            boolean busier = busiest == null
                || host.traffic.bytes() > busiest.traffic.bytes();
            busiest = busier ? host : busiest;
        }
        double mostIn = busiest == null ? 0 : busiest.traffic.bytesIn / seconds;
        double mostOut = busiest == null ? 0 : busiest.traffic.bytesOut / seconds;
        return new FleetResult.Traffic(hosts.size(), children, meanIn, meanOut, mostIn, mostOut, mostMessages,
            cpu);
    }

    private static double cpuSeconds() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() / 1e9;
    }
}
