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
 * Verifies that the processes of the distribution are unchanged to the bit: the same calls result in the same
 * messages, timers and states. A change of behavior comes with new digests and their reason; a change that
 * only moves or renames code comes with none.
 */
public class FleetTraceTest {
    private static final long MS = SimulatedNetwork.NANOS_PER_MILLISECOND;
    private static final long SECOND = SimulatedNetwork.NANOS_PER_SECOND;
    private static final long STARTUP_NANOS = 8 * SECOND; // elections, leases, first parents

    private static Object[] row(String name, long seed, Consumer<TracedFleet> script, String digest) {
        return new Object[] {name, seed, script, digest};
    }

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {
            row("calm", 1, FleetTraceTest::calm,
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
    public void decidesAsBefore(String name, long seed, Consumer<TracedFleet> script, String digest) {
        Trace trace = Trace.named("fleet-" + name);
        TracedFleet fleet = new TracedFleet(seed, trace);
        script.accept(fleet);
        fleet.writeFinalState();
        assertEquals(trace.digest(), digest, name);
    }

    private static void calm(TracedFleet fleet) {
        fleet.startAll();
        fleet.network.run(STARTUP_NANOS);
        fleet.runWithCommands(12 * SECOND, 130 * MS, 3);
        fleet.network.run(10 * SECOND);
    }

    private static void lossy(TracedFleet fleet) {
        fleet.network.setFaults(0.08, 0.08);
        fleet.network.setDelays(MS, 120 * MS);
        fleet.startAll();
        fleet.network.run(STARTUP_NANOS);
        fleet.runWithCommands(12 * SECOND, 170 * MS, 5);
        fleet.network.setFaults(0.35, 0.1);
        fleet.network.setDelays(20 * MS, 400 * MS);
        fleet.runWithCommands(12 * SECOND, 210 * MS, 20);
        fleet.network.setFaults(0, 0);
        fleet.network.run(8 * SECOND);
    }

    private static void partitions(TracedFleet fleet) {
        fleet.startAll();
        fleet.network.run(STARTUP_NANOS);
        int leader = fleet.leader().value();
        partitionFor(fleet, 4 * SECOND, id -> id == leader); // from all others
        partitionFor(fleet, 4 * SECOND, id -> id <= 1 || (id >= 100 && id < 104)); // with relays of the east
        partitionFor(fleet, 9 * SECOND, id -> id >= 200); // one region
        partitionFor(fleet, 6 * SECOND, id -> id >= 110 && id < 120); // a site
        partitionFor(fleet, 4 * SECOND, id -> id < 3); // three of five
        fleet.network.setLinkFilter((from, to) -> from.value() < 100 || to.value() != 100); // one way only
        fleet.runWithCommands(5 * SECOND, 300 * MS, 4);
        fleet.network.setLinkFilter((from, to) -> true);
        fleet.network.run(62 * SECOND); // until the purges retained for former children are dropped
        fleet.runWithCommands(3 * SECOND, 300 * MS, 4);
    }

    private static void partitionFor(TracedFleet fleet, long duration, IntPredicate oneSide) {
        fleet.network.setLinkFilter((from, to) -> oneSide.test(from.value()) == oneSide.test(to.value()));
        fleet.runWithCommands(duration, 310 * MS, 4);
        fleet.network.setLinkFilter((from, to) -> true);
        fleet.runWithCommands(5 * SECOND, 310 * MS, 4);
    }

    private static void restarts(TracedFleet fleet) {
        fleet.startAll();
        fleet.network.run(STARTUP_NANOS);
        for (ProcessId id : fleet.all()) {
            fleet.stop(id);
            fleet.runWithCommands(700 * MS, 100 * MS, 3);
            fleet.start(id);
            fleet.runWithCommands(400 * MS, 200 * MS, 3);
        }
        List<ProcessId> core = TreeTopology.CONTROL_MACHINES;
        core.forEach(fleet::stop);
        fleet.network.run(2 * SECOND);
        core.forEach(fleet::start);
        fleet.runWithCommands(6 * SECOND, 250 * MS, 3);
        replaceDisk(fleet);
    }

    /**
     * Restarts a replica with an empty disk. That is legal only if all others have all committed entries, and
     * has an effect only under a leader that does not know the replica's progress yet.
     */
    private static void replaceDisk(TracedFleet fleet) {
        ProcessId leader = fleet.leader();
        ProcessId replaced = fleet.all().get(leader.value() == 4 ? 3 : 4);
        fleet.network.run(SECOND);
        fleet.stop(replaced);
        fleet.loseDisk(replaced);
        fleet.stop(leader);
        fleet.network.run(3 * SECOND);
        fleet.start(replaced);
        fleet.runWithCommands(3 * SECOND, 250 * MS, 3);
        fleet.start(leader);
        fleet.runWithCommands(3 * SECOND, 250 * MS, 3);
    }

    /** More purges than relays retain, while a site is partitioned, so that its processes must be reset. */
    private static void manyPurges(TracedFleet fleet) {
        fleet.startAll();
        fleet.network.run(STARTUP_NANOS);
        fleet.runWithCommands(2 * SECOND, 200 * MS, 900);
        fleet.network.setLinkFilter((from, to) -> isOfLastSite(from) == isOfLastSite(to));
        fleet.runWithCommands(9 * SECOND, 200 * MS, 900);
        fleet.network.setLinkFilter((from, to) -> true);
        fleet.runWithCommands(6 * SECOND, 200 * MS, 400);
        fleet.network.run(8 * SECOND);
    }

    private static boolean isOfLastSite(ProcessId id) {
        return id.value() >= 220;
    }

    private static void slowReaders(TracedFleet fleet) {
        fleet.readsSlowly(1, 60 * MS);
        fleet.readsSlowly(2, 700 * MS);
        fleet.readsSlowly(100, 900 * MS);
        fleet.readsSlowly(110, 1_100 * MS);
        fleet.readsSlowly(111, 300 * MS);
        fleet.readsSlowly(113, 800 * MS);
        fleet.readsSlowly(114, 2_500 * MS);
        fleet.readsSlowly(213, 1_300 * MS);
        fleet.startAll();
        fleet.network.run(STARTUP_NANOS);
        fleet.runWithCommands(20 * SECOND, 90 * MS, 30);
        fleet.network.run(6 * SECOND);
    }

    /**
     * More commands than the core's log retains, so that a replica that has lost its disk is sent a snapshot.
     */
    private static void longLog(TracedFleet fleet) {
        fleet.startAll();
        fleet.network.run(STARTUP_NANOS);
        for (int burst = 0; burst < 34; burst++) {
            for (int i = 0; i < 500; i++) {
                fleet.propose(i == 0 ? fleet.purges(2) : fleet.change());
            }
            fleet.network.run(260 * MS);
        }
        fleet.network.run(2 * SECOND);
        replaceDisk(fleet);
    }
}
