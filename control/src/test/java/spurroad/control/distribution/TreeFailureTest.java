package spurroad.control.distribution;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.control.distribution.message.Message;
import spurroad.control.distribution.state.ResourceKey;
import spurroad.control.distribution.support.SimulatedNetwork;

/** The whole tree under failures, in simulated time and with encoded messages. */
public class TreeFailureTest {
    private static final long SECOND = SimulatedNetwork.NANOS_PER_SECOND;
    private static final long START = 20 * SECOND; // elections, leases, first parents
    private static final long EFFECT_BOUND = 4 * SECOND;

    private static SimulatedFleet started(long seed) {
        SimulatedFleet fleet = new SimulatedFleet(seed);
        fleet.network.run(START / 2);
        assertTrue(fleet.change("", "everywhere"), "a leader");
        assertTrue(fleet.change("east", "node-1"));
        fleet.network.run(START);
        return fleet;
    }

    private static ProcessId relayOf(SimulatedFleet fleet, String group) {
        return fleet.holders(group).iterator().next();
    }

    private static void stopAll(SimulatedFleet fleet, Iterable<ProcessId> ids) {
        new HashSet<>(List.copyOf((Set<ProcessId>) ids)).forEach(fleet::stop);
    }

    @Test
    public void aTreeStartsWithTheLeasedRelaysAndReachesAllProcesses() {
        SimulatedFleet fleet = started(1);
        for (String group : List.of("east", "west", "east0", "east1", "west0", "west1")) {
            assertEquals(fleet.holders(group).size(), 2, "relays of " + group);
        }
        assertEquals(fleet.behind(id -> true), List.of());
        fleet.relays.forEach((id, relay) -> {
            if (relay.isRelay() && fleet.groupOf.get(id).length() == 4) {
                assertTrue(relay.subscriber().parent().value() < TreeTopology.CONTROL_MACHINES.size(),
                    id + " is at the core");
            }
        });
        long fresh = fleet.subscribers.values().stream()
            .filter(s -> s.freshness().isFresh(fleet.network.now()))
            .count();
        assertEquals(fresh, fleet.subscribers.size());
    }

    @Test
    public void aProxyReceivesOnlyItsScope() {
        SimulatedFleet fleet = started(2);
        fleet.applied.forEach((id, applied) -> assertEquals(applied.sequences.keySet().stream()
            .anyMatch(key -> key.region().equals("east")), fleet.regionOf.get(id).equals("east")));
    }

    @DataProvider
    public Object[][] failures() {
        return new Object[][] {
            {"a site's relay dies", (Consumer<SimulatedFleet>) fleet -> fleet.stop(relayOf(fleet, "east0"))},
            {"both relays of a site die",
                (Consumer<SimulatedFleet>) fleet -> stopAll(fleet, fleet.holders("east0"))},
            {"a region's relay dies", (Consumer<SimulatedFleet>) fleet -> fleet.stop(relayOf(fleet, "east"))},
            {"a relay of region and of site", (Consumer<SimulatedFleet>) fleet -> {
                fleet.stop(relayOf(fleet, "east"));
                fleet.stop(relayOf(fleet, "east0"));
            }},
            {"a zone with a region's relay and a whole site's", (Consumer<SimulatedFleet>) fleet -> {
                fleet.stop(relayOf(fleet, "east"));
                fleet.all().stream().filter(id -> id.value() >= 110 && id.value() < 116).forEach(fleet::stop);
            }},
            {"a control machine that is not the leader",
                (Consumer<SimulatedFleet>) fleet -> fleet.control.keySet()
                    .stream().filter(id -> !id.equals(fleet.leader())).findFirst().ifPresent(fleet::stop)},
            {"two of five control machines",
                (Consumer<SimulatedFleet>) fleet -> List.copyOf(fleet.control.keySet())
                    .stream().filter(id -> !id.equals(fleet.leader())).limit(2).forEach(fleet::stop)},
            {"a site's relay is cut off from above only", (Consumer<SimulatedFleet>) fleet -> {
                ProcessId cut = relayOf(fleet, "east0");
                fleet.network.setLinkFilter((from, to) -> !(to.equals(cut) && from.value() < 110));
            }},
            {"a tenth of all messages is lost, as many doubled", (Consumer<SimulatedFleet>) fleet -> {
                fleet.network.setFaults(0.1, 0.1);
                fleet.network.setDelays(SimulatedNetwork.NANOS_PER_MILLISECOND,
                    100 * SimulatedNetwork.NANOS_PER_MILLISECOND);
            }}};
    }

    /**
     * The failure happens at several times after the commit, also when a parent has the change and its child
     * has not.
     */
    @Test(dataProvider = "failures")
    public void aChangeTakesEffectWithinTheBoundDuringAFailure(String what,
                                                               Consumer<SimulatedFleet> failure) {
        for (int seed = 0; seed < 12; seed++) {
            SimulatedFleet fleet = started(100 + seed);
            assertTrue(fleet.change("east", "node-2"));
            assertTrue(fleet.purge(100));
            fleet.network.run(seed * SECOND / 10);
            failure.accept(fleet);
            fleet.network.run(EFFECT_BOUND);
            String at = what + ", seed " + seed;
            assertEquals(fleet.behind(id -> true), List.of(), at);
            for (int i = 0; i < 30; i++) {
                fleet.network.run(SECOND / 2);
                assertEquals(fleet.wronglyFresh(), List.of(), at);
            }
            assertEquals(fleet.behind(id -> true), List.of(), at);
        }
    }

    @Test
    public void committedChangesTakeEffectAfterTheLeaderFails() {
        for (int seed = 0; seed < 12; seed++) {
            SimulatedFleet fleet = started(200 + seed);
            assertTrue(fleet.change("", "before"));
            fleet.network.run(SECOND / 4 + seed * SECOND / 20);
            fleet.stop(fleet.leader());
            fleet.network.run(EFFECT_BOUND);
            assertEquals(fleet.behind(id -> true), List.of(), "seed " + seed);
            assertTrue(fleet.change("", "after"), "another leader within 4 s");
            fleet.network.run(EFFECT_BOUND);
            assertEquals(fleet.behind(id -> true), List.of(), "seed " + seed);
        }
    }

    @Test
    public void surplusLeaseHoldersAreHarmlessAndNotRenewed() {
        SimulatedFleet fleet = started(3);
        List<ProcessId> candidates = fleet.all().stream().filter(id -> "east0".equals(fleet.groupOf.get(id)))
            .toList();
        ProcessId third = candidates.stream().filter(id -> !fleet.holders("east0").contains(id)).findFirst()
            .orElseThrow();
        long requestedMillis = fleet.network.now() / SimulatedNetwork.NANOS_PER_MILLISECOND;
        fleet.relays.get(third).onMessage(fleet.network.now(), new ProcessId(101),
            new Message.LeaseReply("east0", true, 3_000, requestedMillis),
            (to, message) -> fleet.network.send(third, to,
                message));
        assertEquals(fleet.holders("east0").size(), 3);
        for (int i = 0; i < 20; i++) {
            fleet.change("east", "node-" + i % 3);
            fleet.purge(10);
            fleet.network.run(SECOND / 4);
        }
        fleet.network.run(EFFECT_BOUND);
        assertEquals(fleet.behind(id -> true), List.of());
        fleet.network.run(10 * SECOND);
        assertEquals(fleet.holders("east0").size(), 2, "the surplus lease was not renewed");
    }

    @Test
    public void aPartitionedRegionKeepsItsStateAndIsNotFresh() {
        SimulatedFleet fleet = started(4);
        Set<ProcessId> west = new HashSet<>(fleet.all().stream()
            .filter(id -> "west".equals(fleet.regionOf.get(id))).toList());
        fleet.network.setLinkFilter((from, to) -> west.contains(from) == west.contains(to));
        fleet.network.run(fleet.settings.freshnessLeaseNanos);
        for (int i = 0; i < 40; i++) {
            fleet.change("", "everywhere");
            fleet.purge(450);
            fleet.network.run(SECOND);
            assertEquals(fleet.wronglyFresh(), List.of());
        }
        fleet.network.run(EFFECT_BOUND);
        assertEquals(fleet.behind(id -> !west.contains(id)), List.of(), "other regions are not affected");
        for (ProcessId id : west) {
            assertFalse(fleet.subscribers.get(id).freshness().isFresh(fleet.network.now()));
            assertTrue(
                fleet.subscribers.get(id).configuration().value(new ResourceKey("", "everywhere")) != null);
        }
        fleet.network.setLinkFilter((from, to) -> true);
        fleet.network.run(25 * SECOND);
        assertEquals(fleet.behind(id -> true), List.of());
        for (ProcessId id : west) {
            assertTrue(fleet.subscribers.get(id).freshness().isFresh(fleet.network.now()),
                id + " is fresh again");
            assertEquals(fleet.applied.get(id).purgeCount, fleet.purges, id + " received each purge");
        }
    }

    /** The backlog of an hour at 450 a second, which the log just retains, and one that exceeds the log. */
    @DataProvider
    public Object[][] backlogs() {
        return new Object[][] {{1_620_000, false}, {2_400_000, true}};
    }

    @Test(dataProvider = "backlogs")
    public void anHoursBacklogIsCaughtUpWithOrReset(int backlog, boolean exceedsLog) {
        SimulatedFleet fleet = started(5);
        fleet.purge(100);
        fleet.network.run(2 * SECOND);
        fleet.network
            .setLinkFilter(
                (from, to) -> "west".equals(fleet.regionOf.get(from)) == "west".equals(fleet.regionOf
                    .get(to)));
        for (int put = 0; put < backlog; put += 30_000) {
            assertTrue(fleet.purge(30_000));
            fleet.network.run(SECOND);
        }
        fleet.network.setLinkFilter((from, to) -> true);
        int seconds = 0;
        while (!fleet.behind(id -> true).isEmpty() && seconds < 200) {
            fleet.network.run(SECOND);
            seconds++;
        }
        assertEquals(fleet.behind(id -> true), List.of(), "after " + seconds + " s");
        fleet.applied.forEach((id, applied) -> {
            if ("west".equals(fleet.regionOf.get(id))) {
                assertEquals(applied.resetCount > 1, exceedsLog,
                    id + " was reset " + applied.resetCount + " times");
                assertTrue(exceedsLog || applied.purgeCount == fleet.purges,
                    id + " had " + applied.purgeCount);
            }
        });
    }

    @Test
    public void aProxyThatStartsDuringAChangeReceivesIt() {
        for (int step = 0; step < 20; step++) {
            SimulatedFleet fleet = started(300 + step);
            ProcessId starting = new ProcessId(115);
            fleet.stop(starting);
            assertTrue(fleet.change("east", "node-2"));
            fleet.network.run(step * SECOND / 10);
            fleet.start(starting);
            fleet.network.run(EFFECT_BOUND);
            assertEquals(fleet.behind(id -> true), List.of(), "step " + step);
        }
    }

    @Test
    public void theCoreCommitsOnlyWithAMajority() {
        SimulatedFleet fleet = started(6);
        List<ProcessId> machines = List.copyOf(fleet.control.keySet());
        List.of(machines.get(0), machines.get(1)).forEach(fleet::stop);
        fleet.network.run(EFFECT_BOUND);
        assertTrue(fleet.change("", "with three"));
        fleet.network.run(EFFECT_BOUND);
        assertEquals(fleet.behind(id -> true), List.of());
        fleet.stop(machines.get(2));
        fleet.network.run(2 * fleet.settings.freshnessLeaseNanos);
        assertFalse(fleet.change("", "with two"));
        assertTrue(
            fleet.subscribers.values().stream().noneMatch(s -> s.freshness().isFresh(fleet.network.now())));
        List.of(machines.get(0), machines.get(1), machines.get(2)).forEach(fleet::start);
        fleet.network.run(START);
        assertTrue(fleet.change("", "again"));
        fleet.network.run(EFFECT_BOUND);
        assertEquals(fleet.behind(id -> true), List.of());
    }

    @DataProvider
    public Object[][] seeds() {
        return IntStream.range(0, 40).mapToObj(seed -> new Object[] {seed}).toArray(Object[][]::new);
    }

    /**
     * Loss, duplication, delay, reordering, partitions and crashes at random: no state regresses, nothing
     * takes effect twice and no process counts as fresh that is not.
     */
    @Test(dataProvider = "seeds")
    public void nothingCommittedIsLostUnderRandomFaults(int seed) {
        Random random = new Random(seed);
        SimulatedFleet fleet = started(1_000 + seed);
        fleet.network.setFaults(0.05, 0.1);
        fleet.network.setDelays(SimulatedNetwork.NANOS_PER_MILLISECOND,
            200 * SimulatedNetwork.NANOS_PER_MILLISECOND);
        for (int step = 0; step < 60; step++) {
            fleet.change(step % 3 == 0 ? "" : TreeTopology.REGIONS.get(step % 2),
                "node-" + random.nextInt(10));
            fleet.purge(1 + random.nextInt(300));
            disturb(fleet, random);
            fleet.network.run(SECOND / 4 + random.nextInt((int) SECOND));
            assertEquals(fleet.wronglyFresh(), List.of(), "seed " + seed + ", step " + step);
        }
        fleet.network.setFaults(0, 0);
        fleet.network.setLinkFilter((from, to) -> true);
        fleet.all().stream().filter(id -> !fleet.runs(id)).toList().forEach(fleet::start);
        fleet.network.run(40 * SECOND);
        assertTrue(fleet.committedSequences.size() > 5, fleet.committedSequences + " committed");
        assertEquals(fleet.behind(id -> true), List.of(), "seed " + seed);
        assertTrue(
            fleet.subscribers.values().stream().allMatch(s -> s.freshness().isFresh(fleet.network.now())));
    }

    private static void disturb(SimulatedFleet fleet, Random random) {
        List<ProcessId> all = fleet.all();
        ProcessId any = all.get(random.nextInt(all.size()));
        boolean isControl = any.value() < TreeTopology.CONTROL_MACHINES.size();
        switch (random.nextInt(6)) {
            case 0, 1 -> {
                if (!fleet.runs(any)) {
                    fleet.start(any);
                } else if (!isControl
                    || fleet.control.size() > TreeTopology.CONTROL_MACHINES.size() / 2 + 1) {
                    fleet.stop(any);
                }
            }
            case 2 -> fleet.network.setLinkFilter((from, to) -> !from.equals(any) && !to.equals(any));
            case 3 -> fleet.network.setLinkFilter((from, to) -> !to.equals(any));
            case 4 -> fleet.network.setLinkFilter((from, to) -> true);
            default -> {}
        }
    }
}
