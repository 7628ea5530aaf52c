package spurroad.control.distribution;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.IntPredicate;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.control.Trace;
import spurroad.control.distribution.support.SimulatedNetwork;

/**
 * Pins the behavior of the processes of the distribution: the same calls result in exactly the same messages,
 * timers and states. A commit that changes behavior updates the digests and states the reason; a commit that
 * only moves or renames code must not change them.
 */
public class FleetTraceTest {
    private static final long MILLISECOND_NANOS = SimulatedNetwork.NANOS_PER_MILLISECOND;
    private static final long SECOND_NANOS = SimulatedNetwork.NANOS_PER_SECOND;
    private static final long STARTUP_NANOS = 8 * SECOND_NANOS; // elections, leases, first parents

    private static Object[] row(String name, long seed, Consumer<TracedFleet> script, String digest) {
        return new Object[] {name, seed, script, digest};
    }

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {
            row("calm", 1, FleetTraceTest::faultFree,
                "dbbfb723bb46e99216367b9dcee28e435fc213449b3a4cd8a3ba3d0ea2c21310"),
            row("lossy", 2, FleetTraceTest::lossy,
                "c79050060e01cc34689040a7b8cc8779ac01a6b0522ebd91b05344df91bd28f1"),
            row("lossy-2", 3, FleetTraceTest::lossy,
                "b8676660419f0171a61a14156c6f63613b53edc13466e3bc0d76d93dc441e144"),
            row("cuts", 4, FleetTraceTest::partitions,
                "54f50fd906a86a3f215e00995ac9304461550dd9f77fd6433fae9ae459da5bc1"),
            row("cuts-2", 5, FleetTraceTest::partitions,
                "c59c661e4cf807e27ab472160134666a9756d1b9a9c555aa9be8e15e163ed5c6"),
            row("restarts", 6, FleetTraceTest::restarts,
                "faaefb6436983e37cab977b623ebea13f19cce6c4f0d2a526890da99817d0ae3"),
            row("purges", 7, FleetTraceTest::manyPurges,
                "b13eb1eced8ce61016090dbecce8b830ae13712371b337def598ab319529df96"),
            row("slow-readers", 8, FleetTraceTest::slowReaders,
                "b6fb7c741525551d95c4eee909ca87bf4011f549419463262fd648c1ffaf3246"),
            row("long-log", 9, FleetTraceTest::longLog,
                "c92df2bf16f418967a02f09057c28b6b4c97cadfda41d6d5d2d1a04ffd675e6e"),
        };
    }

    @Test(dataProvider = "fleets")
    public void behaviorIsUnchanged(String name, long seed, Consumer<TracedFleet> script, String digest) {
        Trace trace = Trace.named("fleet-" + name);
        TracedFleet fleet = new TracedFleet(seed, trace);
        script.accept(fleet);
        fleet.writeFinalState();
        assertEquals(trace.digest(), digest, name);
    }

    private static void faultFree(TracedFleet fleet) {
        fleet.startAll();
        fleet.network.run(STARTUP_NANOS);
        fleet.runWithCommands(12 * SECOND_NANOS, 130 * MILLISECOND_NANOS, 3);
        fleet.network.run(10 * SECOND_NANOS);
    }

    private static void lossy(TracedFleet fleet) {
        fleet.network.setFaults(0.08, 0.08);
        fleet.network.setDelays(MILLISECOND_NANOS, 120 * MILLISECOND_NANOS);
        fleet.startAll();
        fleet.network.run(STARTUP_NANOS);
        fleet.runWithCommands(12 * SECOND_NANOS, 170 * MILLISECOND_NANOS, 5);
        fleet.network.setFaults(0.35, 0.1);
        fleet.network.setDelays(20 * MILLISECOND_NANOS, 400 * MILLISECOND_NANOS);
        fleet.runWithCommands(12 * SECOND_NANOS, 210 * MILLISECOND_NANOS, 20);
        fleet.network.setFaults(0, 0);
        fleet.network.run(8 * SECOND_NANOS);
    }

    private static void partitions(TracedFleet fleet) {
        fleet.startAll();
        fleet.network.run(STARTUP_NANOS);
        int leader = fleet.leader().value();
        partitionFor(fleet, 4 * SECOND_NANOS, id -> id == leader); // isolates the leader
        partitionFor(fleet, 4 * SECOND_NANOS, id -> id <= 1 || (id >= 100 && id < 104)); // with east relays
        partitionFor(fleet, 9 * SECOND_NANOS, id -> id >= 200); // isolates one region
        partitionFor(fleet, 6 * SECOND_NANOS, id -> id >= 110 && id < 120); // isolates a site
        partitionFor(fleet, 4 * SECOND_NANOS, id -> id < 3); // splits the core three to two
        fleet.network.setLinkFilter((from, to) -> from.value() < 100 || to.value() != 100); // one direction
        fleet.runWithCommands(5 * SECOND_NANOS, 300 * MILLISECOND_NANOS, 4);
        fleet.network.setLinkFilter((from, to) -> true);
        fleet.network.run(62 * SECOND_NANOS); // until the purges retained for former children are dropped
        fleet.runWithCommands(3 * SECOND_NANOS, 300 * MILLISECOND_NANOS, 4);
    }

    private static void partitionFor(TracedFleet fleet, long durationNanos, IntPredicate isOnFirstSide) {
        fleet.network.setLinkFilter(
            (from, to) -> isOnFirstSide.test(from.value()) == isOnFirstSide.test(to.value()));
        fleet.runWithCommands(durationNanos, 310 * MILLISECOND_NANOS, 4);
        fleet.network.setLinkFilter((from, to) -> true);
        fleet.runWithCommands(5 * SECOND_NANOS, 310 * MILLISECOND_NANOS, 4);
    }

    private static void restarts(TracedFleet fleet) {
        fleet.startAll();
        fleet.network.run(STARTUP_NANOS);
        for (ProcessId id : fleet.all()) {
            fleet.stop(id);
            fleet.runWithCommands(700 * MILLISECOND_NANOS, 100 * MILLISECOND_NANOS, 3);
            fleet.start(id);
            fleet.runWithCommands(400 * MILLISECOND_NANOS, 200 * MILLISECOND_NANOS, 3);
        }
        List<ProcessId> machines = TreeTopology.CONTROL_MACHINES;
        machines.forEach(fleet::stop);
        fleet.network.run(2 * SECOND_NANOS);
        machines.forEach(fleet::start);
        fleet.runWithCommands(6 * SECOND_NANOS, 250 * MILLISECOND_NANOS, 3);
        restartWithoutPersistentState(fleet);
    }

    /**
     * Restarts a replica without its persistent state. This is safe only if all other replicas have all
     * committed entries, and has an effect only under a leader that has not tracked the replica's progress
     * yet.
     */
    private static void restartWithoutPersistentState(TracedFleet fleet) {
        ProcessId leader = fleet.leader();
        ProcessId replaced = fleet.all().get(leader.value() == 4 ? 3 : 4);
        fleet.network.run(SECOND_NANOS);
        fleet.stop(replaced);
        fleet.deletePersistentState(replaced);
        fleet.stop(leader);
        fleet.network.run(3 * SECOND_NANOS);
        fleet.start(replaced);
        fleet.runWithCommands(3 * SECOND_NANOS, 250 * MILLISECOND_NANOS, 3);
        fleet.start(leader);
        fleet.runWithCommands(3 * SECOND_NANOS, 250 * MILLISECOND_NANOS, 3);
    }

    /**
     * Commits more purges than relays retain while a site is partitioned, so that its processes must be
     * reset.
     */
    private static void manyPurges(TracedFleet fleet) {
        fleet.startAll();
        fleet.network.run(STARTUP_NANOS);
        fleet.runWithCommands(2 * SECOND_NANOS, 200 * MILLISECOND_NANOS, 900);
        fleet.network.setLinkFilter((from, to) -> isOfLastSite(from) == isOfLastSite(to));
        fleet.runWithCommands(9 * SECOND_NANOS, 200 * MILLISECOND_NANOS, 900);
        fleet.network.setLinkFilter((from, to) -> true);
        fleet.runWithCommands(6 * SECOND_NANOS, 200 * MILLISECOND_NANOS, 400);
        fleet.network.run(8 * SECOND_NANOS);
    }

    private static boolean isOfLastSite(ProcessId id) {
        return id.value() >= 220;
    }

    private static void slowReaders(TracedFleet fleet) {
        fleet.setReadInterval(1, 60 * MILLISECOND_NANOS);
        fleet.setReadInterval(2, 700 * MILLISECOND_NANOS);
        fleet.setReadInterval(100, 900 * MILLISECOND_NANOS);
        fleet.setReadInterval(110, 1_100 * MILLISECOND_NANOS);
        fleet.setReadInterval(111, 300 * MILLISECOND_NANOS);
        fleet.setReadInterval(113, 800 * MILLISECOND_NANOS);
        fleet.setReadInterval(114, 2_500 * MILLISECOND_NANOS);
        fleet.setReadInterval(213, 1_300 * MILLISECOND_NANOS);
        fleet.startAll();
        fleet.network.run(STARTUP_NANOS);
        fleet.runWithCommands(20 * SECOND_NANOS, 90 * MILLISECOND_NANOS, 30);
        fleet.network.run(6 * SECOND_NANOS);
    }

    /**
     * Commits more commands than the core's log retains, so that a replica without persistent state receives
     * a snapshot.
     */
    private static void longLog(TracedFleet fleet) {
        fleet.startAll();
        fleet.network.run(STARTUP_NANOS);
        for (int burst = 0; burst < 34; burst++) {
            for (int i = 0; i < 500; i++) {
                fleet.propose(i == 0 ? fleet.purges(2) : fleet.change());
            }
            fleet.network.run(260 * MILLISECOND_NANOS);
        }
        fleet.network.run(2 * SECOND_NANOS);
        restartWithoutPersistentState(fleet);
    }
}
