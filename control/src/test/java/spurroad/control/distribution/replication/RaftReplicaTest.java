package spurroad.control.distribution.replication;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.control.distribution.DistributionSettings;
import spurroad.control.distribution.ProcessId;
import spurroad.control.distribution.log.Command;
import spurroad.control.distribution.state.ConfigurationUpdate;
import spurroad.control.distribution.state.ResourceKey;
import spurroad.control.distribution.state.Scope;
import spurroad.control.distribution.support.SimulatedNetwork;

/**
 * Tests a core of replicas: no committed entry is lost, all replicas commit the same entries in the same
 * order, and a replica that counts as fresh has all of them.
 */
public class RaftReplicaTest {
    private static final long SECOND = SimulatedNetwork.NANOS_PER_SECOND;

    /** A core on a simulated network, which compares the committed commands of all replicas. */
    private static final class Core {
        final SimulatedNetwork network;
        final List<ProcessId> members;
        final Map<ProcessId, PersistentState> persistentStates = new HashMap<>();
        final Map<ProcessId, RaftReplica> replicas = new LinkedHashMap<>();
        final Map<Long, Command> committed = new HashMap<>();
        final Map<Long, Long> commitTimes = new HashMap<>();
        private long seed;

        Core(int size, long seed) {
            this.seed = seed;
            network = new SimulatedNetwork(seed);
            members = IntStream.range(0, size).mapToObj(ProcessId::new).toList();
            members.forEach(this::start);
        }

        void start(ProcessId id) {
            PersistentState persistent = persistentStates.computeIfAbsent(id,
                unused -> new PersistentState());
            RaftReplica replica = new RaftReplica(network.now(), new DistributionSettings(), id, members,
                persistent,
                this::onCommit, seed++);
            replicas.put(id, replica);
            network.add(id, replica);
        }

        void stop(ProcessId id) {
            network.stop(id);
            replicas.remove(id);
        }

        private void onCommit(long index, Command command) {
            Command previous = committed.putIfAbsent(index, command);
            commitTimes.putIfAbsent(index, network.now());
            if (previous != null) {
                assertEquals(describe(command), describe(previous), "index " + index);
            }
        }

        ProcessId leader() {
            List<ProcessId> connected = replicas.entrySet().stream()
                .filter(entry -> entry.getValue().isLeader() && entry.getValue().isConnected(network.now()))
                .map(Map.Entry::getKey)
                .toList();
            assertTrue(connected.size() <= 1, "leaders with a majority: " + connected);
            return connected.isEmpty() ? null : connected.get(0);
        }

        boolean propose(String name) {
            ProcessId leader = leader();
            return leader != null && replicas.get(leader).propose(change(name)).isPresent();
        }

        Set<String> committedNames() {
            Set<String> names = new HashSet<>();
            committed.values().forEach(command -> names.add(describe(command)));
            return names;
        }
    }

    private static Command change(String name) {
        return new Command.ConfigurationChange(new ResourceKey("", name), new byte[] {1});
    }

    private static String describe(Command command) {
        return command instanceof Command.ConfigurationChange change ? change.key().name()
            : command.getClass().getSimpleName();
    }

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{1}, {2}, {3}, {5}, {24}};
    }

    @Test(dataProvider = "sizes")
    public void electsOneLeaderAndAppliesCommittedEntriesAtAllReplicas(int size) {
        Core core = new Core(size, size);
        core.network.run(10 * SECOND);
        assertNotNull(core.leader());
        assertTrue(core.propose("a"));
        core.network.run(SECOND);
        core.replicas.forEach((id, replica) -> {
            assertEquals(replica.configuration().sequence(), 1, "at " + id);
            assertTrue(replica.freshness().isFresh(core.network.now()), "at " + id);
        });
    }

    @Test
    public void replacesFailedLeaderAndRetainsCommittedEntries() {
        Core core = new Core(5, 3);
        core.network.run(10 * SECOND);
        core.propose("kept");
        core.network.run(SECOND);
        ProcessId first = core.leader();
        core.propose("perhaps lost");
        core.stop(first);
        core.network.run(4 * SECOND);
        assertNotNull(core.leader(), "another leader within 4 s");
        assertTrue(core.propose("later"));
        core.network.run(SECOND);
        core.start(first);
        core.network.run(5 * SECOND);
        for (RaftReplica replica : core.replicas.values()) {
            assertNotNull(replica.configuration().value(new ResourceKey("", "kept")));
            assertNotNull(replica.configuration().value(new ResourceKey("", "later")));
        }
    }

    @Test
    public void commitsNothingAndLosesFreshnessWithoutMajority() {
        Core core = new Core(5, 5);
        core.network.run(10 * SECOND);
        ProcessId leader = core.leader();
        Set<ProcessId> minority = Set.of(leader,
            core.members.stream().filter(member -> !member.equals(leader)).findFirst()
                .orElseThrow());
        core.network.setLinkFilter((from, to) -> minority.contains(from) == minority.contains(to));
        assertTrue(core.replicas.get(leader).propose(change("in the minority")).isPresent());
        core.network.run(10 * SECOND);
        assertFalse(core.committedNames().contains("in the minority"));
        assertFalse(core.replicas.get(leader).isConnected(core.network.now()));
        assertFalse(core.replicas.get(leader).freshness().isFresh(core.network.now()));
        assertTrue(core.propose("in the majority"));
        core.network.run(SECOND);
        core.network.setLinkFilter((from, to) -> true);
        core.network.run(5 * SECOND);
        assertEquals(core.replicas.get(leader).configuration().value(new ResourceKey("", "in the minority")),
            null);
        assertNotNull(
            core.replicas.get(leader).configuration().value(new ResourceKey("", "in the majority")));
    }

    @Test
    public void replicaReturningFromPartitionDoesNotDeposeLeader() {
        Core core = new Core(5, 8);
        core.network.run(10 * SECOND);
        ProcessId leader = core.leader();
        long term = core.replicas.get(leader).lastAppliedTerm();
        ProcessId partitioned = core.members.stream().filter(member -> !member.equals(leader)).findFirst()
            .orElseThrow();
        core.network.setLinkFilter((from, to) -> !from.equals(partitioned) && !to.equals(partitioned));
        core.network.run(30 * SECOND);
        core.network.setLinkFilter((from, to) -> true);
        core.network.run(10 * SECOND);
        assertEquals(core.leader(), leader);
        assertEquals(core.replicas.get(partitioned).lastAppliedTerm(), term);
    }

    @Test
    public void sendsSnapshotToReplicaBehindCompactedLog() {
        Core core = new Core(3, 9);
        core.network.run(10 * SECOND);
        ProcessId leader = core.leader();
        ProcessId stopped = core.members.stream().filter(member -> !member.equals(leader)).findFirst()
            .orElseThrow();
        core.stop(stopped);
        core.persistentStates.remove(stopped);
        int changes = 2 * new DistributionSettings().replicatedLogCapacity + 10;
        for (int i = 0; i < changes; i++) {
            core.propose("name-" + i % 50);
            if (i % 400 == 0) {
                core.network.run(SECOND);
            }
        }
        core.network.run(5 * SECOND);
        core.start(stopped);
        core.network.run(5 * SECOND);
        RaftReplica restarted = core.replicas.get(stopped);
        assertEquals(restarted.configuration().sequence(), changes);
        assertEquals(restarted.configuration().snapshot(Scope.ALL),
            core.replicas.get(leader).configuration().snapshot(Scope.ALL));
    }

    @Test
    public void restartedReplicasRecoverCommittedState() {
        Core core = new Core(3, 10);
        core.network.run(10 * SECOND);
        for (int i = 0; i < 30; i++) {
            core.propose("name-" + i);
        }
        core.network.run(SECOND);
        core.members.forEach(core::stop);
        core.members.forEach(core::start);
        core.network.run(10 * SECOND);
        core.replicas.values().forEach(replica -> assertEquals(replica.configuration().sequence(), 30));
    }

    @DataProvider
    public Object[][] seeds() {
        return IntStream.range(0, 60).mapToObj(seed -> new Object[] {seed}).toArray(Object[][]::new);
    }

    /**
     * Injects message loss, duplication, reordering, partitions and crashes at random; after they end, all
     * replicas have the same state.
     */
    @Test(dataProvider = "seeds")
    public void losesNoCommittedEntryUnderRandomFaults(int seed) {
        Random random = new Random(seed);
        Core core = new Core(3 + 2 * (seed % 2), seed);
        core.network.setFaults(0.1, 0.1);
        core.network.setDelays(SimulatedNetwork.NANOS_PER_MILLISECOND,
            200 * SimulatedNetwork.NANOS_PER_MILLISECOND);
        Map<String, Boolean> observedNames = new HashMap<>();
        for (int step = 0; step < 120; step++) {
            core.network.run(SECOND / 4 + random.nextInt((int) (SECOND / 2)));
            core.propose("change-" + step);
            core.committedNames().forEach(name -> observedNames.put(name, true));
            injectFault(core, random);
        }
        core.network.setFaults(0, 0);
        core.network.setLinkFilter((from, to) -> true);
        core.members.stream().filter(member -> !core.replicas.containsKey(member)).toList()
            .forEach(core::start);
        core.network.run(20 * SECOND);
        assertNotNull(core.leader());
        assertTrue(observedNames.size() > 10, "only " + observedNames.size() + " names were committed");
        List<ConfigurationUpdate.Snapshot> states = new ArrayList<>();
        core.replicas.values().forEach(replica -> states.add(replica.configuration().snapshot(Scope.ALL)));
        states.forEach(state -> assertEquals(state, states.get(0), "seed " + seed));
        Set<String> present = new HashSet<>();
        states.get(0).entries().forEach(entry -> present.add(entry.key().name()));
        observedNames.keySet().stream().filter(name -> name.startsWith("change"))
            .forEach(name -> assertTrue(present.contains(name), "seed " + seed + ": lost " + name));
    }

    private static void injectFault(Core core, Random random) {
        ProcessId target = core.members.get(random.nextInt(core.members.size()));
        switch (random.nextInt(8)) {
            case 0 -> {
                if (core.replicas.containsKey(target)) {
                    core.stop(target);
                } else {
                    core.start(target);
                }
            }
            case 1 -> core.network.setLinkFilter((from, to) -> !from.equals(target) && !to.equals(target));
            case 2 -> core.network.setLinkFilter((from, to) -> !to.equals(target));
            case 3 -> core.network.setLinkFilter((from, to) -> true);
            default -> {}
        }
        List<ProcessId> stopped = core.members.stream().filter(member -> !core.replicas.containsKey(member))
            .toList();
        if (stopped.size() > core.members.size() / 2) {
            core.start(stopped.get(0));
        }
    }

    /** Checks that a replica has all entries that were committed up to the time from which its age counts. */
    @Test(dataProvider = "seeds")
    public void freshReplicasHaveAllCommittedEntries(int seed) {
        Random random = new Random(1_000 + seed);
        Core core = new Core(5, 1_000 + seed);
        core.network.setDelays(SimulatedNetwork.NANOS_PER_MILLISECOND,
            150 * SimulatedNetwork.NANOS_PER_MILLISECOND);
        core.network.setFaults(0.05, 0.05);
        int checkCount = 0;
        for (int step = 0; step < 150; step++) {
            core.network.run(SECOND / 10 + random.nextInt((int) (SECOND / 3)));
            core.propose("change-" + step);
            injectFault(core, random);
            for (RaftReplica replica : core.replicas.values()) {
                long age = replica.freshness().ageMillis(core.network.now());
                if (age < 0) {
                    continue;
                }
                long completeUntilNanos = core.network.now() - age * SimulatedNetwork.NANOS_PER_MILLISECOND;
                core.commitTimes.forEach((index, at) -> assertTrue(at > completeUntilNanos
                    || replica.commitIndex() >= index,
                    "index " + index + " committed before " + completeUntilNanos));
                checkCount++;
            }
        }
        assertTrue(checkCount > 50, "checked " + checkCount);
    }
}
