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

/** Tests the complete tree of processes under failures, in simulated time and with encoded messages. */
public class TreeFailureTest {
    private static final long SECOND_NANOS = SimulatedNetwork.NANOS_PER_SECOND;
    private static final long STARTUP_NANOS = 20 * SECOND_NANOS; // elections, leases, first parents
    private static final long MAX_EFFECT_NANOS = 4 * SECOND_NANOS;

    private static SimulatedFleet startedFleet(long seed) {
        SimulatedFleet fleet = new SimulatedFleet(seed);
        fleet.network.run(STARTUP_NANOS / 2);
        assertTrue(fleet.change("", "everywhere"), "no leader was elected");
        assertTrue(fleet.change("east", "node-1"));
        fleet.network.run(STARTUP_NANOS);
        return fleet;
    }

    private static ProcessId relayOf(SimulatedFleet fleet, String group) {
        return fleet.leaseHolders(group).iterator().next();
    }

    private static void stopAll(SimulatedFleet fleet, Iterable<ProcessId> ids) {
        new HashSet<>(List.copyOf((Set<ProcessId>) ids)).forEach(fleet::stop);
    }

    @Test
    public void treeStartsWithLeasedRelaysAndReachesAllProcesses() {
        SimulatedFleet fleet = startedFleet(1);
        for (String group : List.of("east", "west", "east0", "east1", "west0", "west1")) {
            assertEquals(fleet.leaseHolders(group).size(), 2, "number of relays of " + group);
        }
        assertEquals(fleet.processesBehind(id -> true), List.of());
        fleet.relays.forEach((id, relay) -> {
            if (relay.isRelay() && fleet.groupOf.get(id).length() == 4) {
                assertTrue(relay.subscriber().parent().value() < TreeTopology.CONTROL_MACHINES.size(),
                    id + " should have a control machine as its parent");
            }
        });
        long fresh = fleet.subscribers.values().stream()
            .filter(s -> s.freshness().isFresh(fleet.network.now()))
            .count();
        assertEquals(fresh, fleet.subscribers.size());
    }

    @Test
    public void proxyReceivesOnlyItsScope() {
        SimulatedFleet fleet = startedFleet(2);
        fleet.applied.forEach((id, applied) -> assertEquals(applied.sequences.keySet().stream()
            .anyMatch(key -> key.region().equals("east")), fleet.regionOf.get(id).equals("east")));
    }

    @DataProvider
    public Object[][] failures() {
        return new Object[][] {
            {"a relay of a site stops",
                (Consumer<SimulatedFleet>) fleet -> fleet.stop(relayOf(fleet, "east0"))},
            {"both relays of a site stop",
                (Consumer<SimulatedFleet>) fleet -> stopAll(fleet, fleet.leaseHolders("east0"))},
            {"a relay of a region stops",
                (Consumer<SimulatedFleet>) fleet -> fleet.stop(relayOf(fleet, "east"))},
            {"a relay of a region and one of a site stop", (Consumer<SimulatedFleet>) fleet -> {
                fleet.stop(relayOf(fleet, "east"));
                fleet.stop(relayOf(fleet, "east0"));
            }},
            {"a relay of a region and a complete site stop", (Consumer<SimulatedFleet>) fleet -> {
                fleet.stop(relayOf(fleet, "east"));
                fleet.all().stream().filter(id -> id.value() >= 110 && id.value() < 116).forEach(fleet::stop);
            }},
            {"a control machine that is not the leader stops",
                (Consumer<SimulatedFleet>) fleet -> fleet.control.keySet()
                    .stream().filter(id -> !id.equals(fleet.leader())).findFirst().ifPresent(fleet::stop)},
            {"two of five control machines stop",
                (Consumer<SimulatedFleet>) fleet -> List.copyOf(fleet.control.keySet())
                    .stream().filter(id -> !id.equals(fleet.leader())).limit(2).forEach(fleet::stop)},
            {"a relay of a site receives nothing from its parents", (Consumer<SimulatedFleet>) fleet -> {
                ProcessId cut = relayOf(fleet, "east0");
                fleet.network.setLinkFilter((from, to) -> !(to.equals(cut) && from.value() < 110));
            }},
            {"a tenth of all messages is lost, and a tenth duplicated", (Consumer<SimulatedFleet>) fleet -> {
                fleet.network.setFaults(0.1, 0.1);
                fleet.network.setDelays(SimulatedNetwork.NANOS_PER_MILLISECOND,
                    100 * SimulatedNetwork.NANOS_PER_MILLISECOND);
            }}};
    }

    /**
     * Injects the failure at several times after the commit, including times when a parent has the change and
     * its child does not.
     */
    @Test(dataProvider = "failures")
    public void changeTakesEffectWithinBoundDuringFailure(String description,
                                                          Consumer<SimulatedFleet> failure) {
        for (int seed = 0; seed < 12; seed++) {
            SimulatedFleet fleet = startedFleet(100 + seed);
            assertTrue(fleet.change("east", "node-2"));
            assertTrue(fleet.purge(100));
            fleet.network.run(seed * SECOND_NANOS / 10);
            failure.accept(fleet);
            fleet.network.run(MAX_EFFECT_NANOS);
            String failureCase = description + ", seed " + seed;
            assertEquals(fleet.processesBehind(id -> true), List.of(), failureCase);
            for (int i = 0; i < 30; i++) {
                fleet.network.run(SECOND_NANOS / 2);
                assertEquals(fleet.processesWronglyFresh(), List.of(), failureCase);
            }
            assertEquals(fleet.processesBehind(id -> true), List.of(), failureCase);
        }
    }

    @Test
    public void committedChangesTakeEffectAfterLeaderFailure() {
        for (int seed = 0; seed < 12; seed++) {
            SimulatedFleet fleet = startedFleet(200 + seed);
            assertTrue(fleet.change("", "before"));
            fleet.network.run(SECOND_NANOS / 4 + seed * SECOND_NANOS / 20);
            fleet.stop(fleet.leader());
            fleet.network.run(MAX_EFFECT_NANOS);
            assertEquals(fleet.processesBehind(id -> true), List.of(), "seed " + seed);
            assertTrue(fleet.change("", "after"), "no other leader within 4 s");
            fleet.network.run(MAX_EFFECT_NANOS);
            assertEquals(fleet.processesBehind(id -> true), List.of(), "seed " + seed);
        }
    }

    @Test
    public void surplusLeaseHoldersAreHarmlessAndNotRenewed() {
        SimulatedFleet fleet = startedFleet(3);
        List<ProcessId> candidates = fleet.all().stream().filter(id -> "east0".equals(fleet.groupOf.get(id)))
            .toList();
        ProcessId third = candidates.stream().filter(id -> !fleet.leaseHolders("east0").contains(id))
            .findFirst()
            .orElseThrow();
        long requestedMillis = fleet.network.now() / SimulatedNetwork.NANOS_PER_MILLISECOND;
        fleet.relays.get(third).onMessage(fleet.network.now(), new ProcessId(101),
            new Message.LeaseReply("east0", true, 3_000, requestedMillis),
            (to, message) -> fleet.network.send(third, to,
                message));
        assertEquals(fleet.leaseHolders("east0").size(), 3);
        for (int i = 0; i < 20; i++) {
            fleet.change("east", "node-" + i % 3);
            fleet.purge(10);
            fleet.network.run(SECOND_NANOS / 4);
        }
        fleet.network.run(MAX_EFFECT_NANOS);
        assertEquals(fleet.processesBehind(id -> true), List.of());
        fleet.network.run(10 * SECOND_NANOS);
        assertEquals(fleet.leaseHolders("east0").size(), 2, "the surplus lease was not renewed");
    }

    @Test
    public void partitionedRegionRetainsStateAndIsNotFresh() {
        SimulatedFleet fleet = startedFleet(4);
        Set<ProcessId> west = new HashSet<>(fleet.all().stream()
            .filter(id -> "west".equals(fleet.regionOf.get(id))).toList());
        fleet.network.setLinkFilter((from, to) -> west.contains(from) == west.contains(to));
        fleet.network.run(fleet.settings.freshnessLeaseNanos);
        for (int i = 0; i < 40; i++) {
            fleet.change("", "everywhere");
            fleet.purge(450);
            fleet.network.run(SECOND_NANOS);
            assertEquals(fleet.processesWronglyFresh(), List.of());
        }
        fleet.network.run(MAX_EFFECT_NANOS);
        assertEquals(fleet.processesBehind(id -> !west.contains(id)), List.of(),
            "processes in other regions that are behind");
        for (ProcessId id : west) {
            assertFalse(fleet.subscribers.get(id).freshness().isFresh(fleet.network.now()));
            assertTrue(
                fleet.subscribers.get(id).configuration().value(new ResourceKey("", "everywhere")) != null);
        }
        fleet.network.setLinkFilter((from, to) -> true);
        fleet.network.run(25 * SECOND_NANOS);
        assertEquals(fleet.processesBehind(id -> true), List.of());
        for (ProcessId id : west) {
            assertTrue(fleet.subscribers.get(id).freshness().isFresh(fleet.network.now()),
                id + " should be fresh again");
            assertEquals(fleet.applied.get(id).purgeCount, fleet.purges,
                id + " should have received each purge");
        }
    }

    /**
     * Returns the number of purges of an hour at 450 per second, which the log just retains, and a number
     * that exceeds the log.
     */
    @DataProvider
    public Object[][] backlogs() {
        return new Object[][] {{1_620_000, false}, {2_400_000, true}};
    }

    @Test(dataProvider = "backlogs")
    public void backlogWithinLogIsCaughtUpAndLongerOneIsReset(int backlog, boolean exceedsLog) {
        SimulatedFleet fleet = startedFleet(5);
        fleet.purge(100);
        fleet.network.run(2 * SECOND_NANOS);
        fleet.network
            .setLinkFilter(
                (from, to) -> "west".equals(fleet.regionOf.get(from)) == "west".equals(fleet.regionOf
                    .get(to)));
        for (int purgedCount = 0; purgedCount < backlog; purgedCount += 30_000) {
            assertTrue(fleet.purge(30_000));
            fleet.network.run(SECOND_NANOS);
        }
        fleet.network.setLinkFilter((from, to) -> true);
        int seconds = 0;
        while (!fleet.processesBehind(id -> true).isEmpty() && seconds < 200) {
            fleet.network.run(SECOND_NANOS);
            seconds++;
        }
        assertEquals(fleet.processesBehind(id -> true), List.of(), "after " + seconds + " s");
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
    public void proxyThatStartsDuringChangeReceivesIt() {
        for (int step = 0; step < 20; step++) {
            SimulatedFleet fleet = startedFleet(300 + step);
            ProcessId starting = new ProcessId(115);
            fleet.stop(starting);
            assertTrue(fleet.change("east", "node-2"));
            fleet.network.run(step * SECOND_NANOS / 10);
            fleet.start(starting);
            fleet.network.run(MAX_EFFECT_NANOS);
            assertEquals(fleet.processesBehind(id -> true), List.of(), "step " + step);
        }
    }

    @Test
    public void coreCommitsOnlyWithMajority() {
        SimulatedFleet fleet = startedFleet(6);
        List<ProcessId> machines = List.copyOf(fleet.control.keySet());
        List.of(machines.get(0), machines.get(1)).forEach(fleet::stop);
        fleet.network.run(MAX_EFFECT_NANOS);
        assertTrue(fleet.change("", "with three"));
        fleet.network.run(MAX_EFFECT_NANOS);
        assertEquals(fleet.processesBehind(id -> true), List.of());
        fleet.stop(machines.get(2));
        fleet.network.run(2 * fleet.settings.freshnessLeaseNanos);
        assertFalse(fleet.change("", "with two"));
        assertTrue(
            fleet.subscribers.values().stream().noneMatch(s -> s.freshness().isFresh(fleet.network.now())));
        List.of(machines.get(0), machines.get(1), machines.get(2)).forEach(fleet::start);
        fleet.network.run(STARTUP_NANOS);
        assertTrue(fleet.change("", "again"));
        fleet.network.run(MAX_EFFECT_NANOS);
        assertEquals(fleet.processesBehind(id -> true), List.of());
    }

    @DataProvider
    public Object[][] seeds() {
        return IntStream.range(0, 40).mapToObj(seed -> new Object[] {seed}).toArray(Object[][]::new);
    }

    /**
     * Injects loss, duplication, delay, reordering, partitions and crashes at random. No state may regress,
     * nothing may take effect twice, and no stale process may count as fresh.
     */
    @Test(dataProvider = "seeds")
    public void committedStateIsNotLostUnderRandomFaults(int seed) {
        Random random = new Random(seed);
        SimulatedFleet fleet = startedFleet(1_000 + seed);
        fleet.network.setFaults(0.05, 0.1);
        fleet.network.setDelays(SimulatedNetwork.NANOS_PER_MILLISECOND,
            200 * SimulatedNetwork.NANOS_PER_MILLISECOND);
        for (int step = 0; step < 60; step++) {
            fleet.change(step % 3 == 0 ? "" : TreeTopology.REGIONS.get(step % 2),
                "node-" + random.nextInt(10));
            fleet.purge(1 + random.nextInt(300));
            injectRandomFault(fleet, random);
            fleet.network.run(SECOND_NANOS / 4 + random.nextInt((int) SECOND_NANOS));
            assertEquals(fleet.processesWronglyFresh(), List.of(), "seed " + seed + ", step " + step);
        }
        fleet.network.setFaults(0, 0);
        fleet.network.setLinkFilter((from, to) -> true);
        fleet.all().stream().filter(id -> !fleet.isRunning(id)).toList().forEach(fleet::start);
        fleet.network.run(40 * SECOND_NANOS);
        assertTrue(fleet.committedSequences.size() > 5, fleet.committedSequences + " committed");
        assertEquals(fleet.processesBehind(id -> true), List.of(), "seed " + seed);
        assertTrue(
            fleet.subscribers.values().stream().allMatch(s -> s.freshness().isFresh(fleet.network.now())));
    }

    private static void injectRandomFault(SimulatedFleet fleet, Random random) {
        List<ProcessId> all = fleet.all();
        ProcessId affectedProcess = all.get(random.nextInt(all.size()));
        boolean isControl = affectedProcess.value() < TreeTopology.CONTROL_MACHINES.size();
        switch (random.nextInt(6)) {
            case 0, 1 -> {
                if (!fleet.isRunning(affectedProcess)) {
                    fleet.start(affectedProcess);
                } else if (!isControl
                    || fleet.control.size() > TreeTopology.CONTROL_MACHINES.size() / 2 + 1) {
                    fleet.stop(affectedProcess);
                }
            }
            case 2 -> fleet.network
                .setLinkFilter((from, to) -> !from.equals(affectedProcess) && !to.equals(affectedProcess));
            case 3 -> fleet.network.setLinkFilter((from, to) -> !to.equals(affectedProcess));
            case 4 -> fleet.network.setLinkFilter((from, to) -> true);
            default -> {}
        }
    }
}
