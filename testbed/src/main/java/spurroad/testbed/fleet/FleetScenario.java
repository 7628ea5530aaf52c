package spurroad.testbed.fleet;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** The failure of a fleet, ten seconds after the measurement begins, together with a burst of changes. */
public enum FleetScenario {
    QUIET("a quiet day", 0),
    BURST("a burst of a hundred changes", 100),
    SITE_RELAYS_DIE("both relays of the largest site die", 20),
    REGION_RELAY_DIES("the largest region's busiest relay dies", 20),
    PRIMARY_DIES("the core's primary dies", 20),
    THIRD_OF_CONTROL_GONE("a third of the control machines is gone, the primary among them", 20),
    ZONE_LOST_IN_RELEASE("a zone is lost while 1% of the proxies restart each second", 20),
    REGION_RESTARTS("all proxies of the largest region restart", 20),
    SLOW_READERS("one proxy in a hundred reads one message in 400 ms", 20),
    REGION_CUT("the second largest region is cut off", 20);

    private static final int RELEASE_SECONDS = 10;
    private static final long SLOW_READ_INTERVAL_NANOS = 400 * FleetNetwork.MILLISECOND;
    private static final int SLOW_READER_RATIO = 100; // one proxy in so many
    private static final int LARGEST_REGION = 0;
    private static final int CUT_REGION = 1;

    private final String title;
    private final int burst;

    FleetScenario(String title, int burst) {
        this.title = title;
        this.burst = burst;
    }

    /** Returns the title of the scenario in tables. */
    public String title() {
        return title;
    }

    /** Returns how many changes are proposed at the moment of the failure. */
    int burst() {
        return burst;
    }

    /** Returns whether a region is partitioned from the others for a time. */
    boolean isCut() {
        return this == REGION_CUT;
    }

    /** Injects the failure now. */
    void inject(SimulatedFleet fleet, Random random, long cutDuration) {
        switch (this) {
            case SITE_RELAYS_DIE ->
                relays(fleet, Host.Role.SITE_RELAY).stream().filter(host -> host.site == 0)
                    .toList().forEach(SimulatedFleet::stop);
            case REGION_RELAY_DIES -> relays(fleet, Host.Role.REGION_RELAY).stream()
                .max(Comparator.comparingInt(Host::children)).ifPresent(SimulatedFleet::stop);
            case PRIMARY_DIES -> SimulatedFleet.stop(fleet.primary());
            case THIRD_OF_CONTROL_GONE -> stopThird(fleet);
            case ZONE_LOST_IN_RELEASE -> loseZone(fleet, random);
            case REGION_RESTARTS -> fleet.proxies.stream().filter(host -> host.region == LARGEST_REGION)
                .forEach(host -> restart(fleet, host, (long) (random.nextDouble() * FleetNetwork.SECOND)));
            case SLOW_READERS -> fleet.proxies.stream().filter(host -> host.role() == Host.Role.PROXY)
                .filter(host -> random.nextInt(SLOW_READER_RATIO) == 0)
                .forEach(host -> host.readInterval = SLOW_READ_INTERVAL_NANOS);
            case REGION_CUT -> partition(fleet, cutDuration);
            default -> {}
        }
    }

    private static List<Host> relays(SimulatedFleet fleet, Host.Role role) {
        return fleet.proxies.stream().filter(host -> host.isUp() && host.role() == role).toList();
    }

    private static void stopThird(SimulatedFleet fleet) {
        SimulatedFleet.stop(fleet.primary());
        fleet.control.stream().filter(Host::isUp).limit(fleet.control.size() / 3 - 1).toList()
            .forEach(SimulatedFleet::stop);
    }

    private static void restart(SimulatedFleet fleet, Host host, long downNanos) {
        SimulatedFleet.stop(host);
        fleet.timeline.after(downNanos, () -> fleet.start(host));
    }

    /** Stops the zone with the most proxies for good; meanwhile others restart, each within a second. */
    private static void loseZone(SimulatedFleet fleet, Random random) {
        Map<List<Integer>, Integer> sizes = new HashMap<>();
        fleet.proxies.forEach(host -> sizes.merge(List.of(host.region, host.zone), 1, Integer::sum));
        List<Integer> lost = sizes.entrySet().stream().max(Map.Entry.comparingByValue()).orElseThrow()
            .getKey();
        fleet.proxies.stream().filter(host -> List.of(host.region, host.zone).equals(lost))
            .forEach(SimulatedFleet::stop);
        int perSecond = fleet.proxies.size() / 100;
        for (int i = 0; i < RELEASE_SECONDS * perSecond; i++) {
            Host host = fleet.proxies.get(random.nextInt(fleet.proxies.size()));
            fleet.timeline.after(i * FleetNetwork.SECOND / perSecond, () -> {
                if (host.isUp()) {
                    restart(fleet, host, (long) (random.nextDouble() * FleetNetwork.SECOND));
                }
            });
        }
    }

    private static void partition(SimulatedFleet fleet, long duration) {
        long now = fleet.timeline.now();
        fleet.measures.cut(CUT_REGION, now, now + duration);
        fleet.network.setReachability((from, to) -> (from.region == CUT_REGION) == (to.region == CUT_REGION));
        fleet.timeline.after(duration, () -> fleet.network.setReachability((from, to) -> true));
    }
}
