package spurroad.control.distribution.replication;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.control.Trace;
import spurroad.control.distribution.DistributionSettings;
import spurroad.control.distribution.ProcessId;
import spurroad.control.distribution.log.Command;
import spurroad.control.distribution.log.LogEntry;
import spurroad.control.distribution.log.LogSnapshot;
import spurroad.control.distribution.message.Message.AppendEntries;
import spurroad.control.distribution.message.Message.AppendEntriesReply;
import spurroad.control.distribution.message.Message.InstallSnapshot;
import spurroad.control.distribution.message.Message.RequestVote;
import spurroad.control.distribution.message.Message.RequestVoteReply;
import spurroad.control.distribution.message.Outbox;
import spurroad.control.distribution.state.ConfigurationState;
import spurroad.control.distribution.state.ResourceKey;
import spurroad.control.distribution.state.Scope;
import spurroad.control.distribution.support.MessageTrace;
import spurroad.control.distribution.support.StateTrace;
import spurroad.control.distribution.support.TracedParticipant;

/**
 * Compares the behavior of one replica with recorded traces: under leaders and candidates that are simulated
 * at random, and when a core of one replica compacts its log. The leaders follow the protocol: committed
 * entries are never lost.
 */
public class FollowerTraceTest {
    private static final long NANOS_PER_MILLISECOND = DistributionSettings.NANOS_PER_MILLISECOND;
    private static final long STEP_NANOS = 50 * NANOS_PER_MILLISECOND; // divides all timeouts
    private static final int STEPS = 6_000;
    private static final ProcessId SELF = new ProcessId(0);
    private static final ProcessId LEADER = new ProcessId(1);
    private static final ProcessId CANDIDATE = new ProcessId(2);
    private static final List<ProcessId> MEMBERS = IntStream.range(0, 5).mapToObj(ProcessId::new).toList();

    private final DistributionSettings settings = new DistributionSettings();

    /** The log of the simulated leaders and its committed state. */
    private static final class LeaderLog {
        private final Random random;
        private final List<LogEntry> entries = new ArrayList<>();
        private final ConfigurationState committed = new ConfigurationState(0);
        private long term = 1;
        private long commitIndex;
        private long purgeCount;

        private LeaderLog(Random random) {
            this.random = random;
        }

        private void appendAndCommit() {
            for (int i = random.nextInt(4); i > 0; i--) {
                Command command = random.nextInt(4) == 0 ? new Command.Purge(new long[] {i, term})
                    : new Command.ConfigurationChange(new ResourceKey("", "r" + random.nextInt(6)),
                        new byte[] {1});
                entries.add(new LogEntry(term, command));
            }
            long target = commitIndex + random.nextInt((int) (entries.size() - commitIndex) + 1);
            while (commitIndex < target) {
                commit(entries.get((int) commitIndex++).command());
            }
        }

        private void commit(Command command) {
            if (command instanceof Command.ConfigurationChange change) {
                committed.append(change.key(), change.value());
            } else if (command instanceof Command.Purge purge) {
                purgeCount += purge.hashes().length;
            }
        }

        /**
         * Starts the term of a new leader, which has the committed entries and some of the uncommitted ones.
         */
        private void startTerm(long laterTerm) {
            term = laterTerm;
            int retainedCount = (int) commitIndex + random.nextInt(entries.size() - (int) commitIndex + 1);
            entries.subList(retainedCount, entries.size()).clear();
            entries.add(new LogEntry(term, new Command.NoOp()));
        }

        private long termAt(long index) {
            return index == 0 ? 0 : entries.get((int) index - 1).term();
        }

        private AppendEntries appendEntries(long nearIndex, long nowNanos) {
            int maxDistance = random.nextInt(10) == 0 ? 60 : 4;
            long previous = Math.min(entries.size(),
                Math.max(0, nearIndex + 1 - random.nextInt(maxDistance)));
            int last = (int) Math.min(entries.size(), previous + random.nextInt(6));
            return new AppendEntries(term, previous, termAt(previous),
                entries.subList((int) previous, last),
                commitIndex - Math.min(commitIndex, random.nextInt(3)), nowNanos / NANOS_PER_MILLISECOND,
                random.nextInt(10) * 50 - 1,
                Math.max(0, nowNanos / NANOS_PER_MILLISECOND - 50L * random.nextInt(10)));
        }

        private InstallSnapshot installSnapshot(long nowNanos) {
            return new InstallSnapshot(term,
                new LogSnapshot(commitIndex, termAt(commitIndex), committed.snapshot(Scope.ALL), purgeCount),
                nowNanos / NANOS_PER_MILLISECOND);
        }
    }

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {
            {1, "7feacf2efa175947514a7bc3965167baa0da86e7ae46707e6687cad3895d5842"},
            {2, "284fd7148ea1b1d91dff3a374c5dc46c04721ebb51f12177fd300410da4cb4c4"},
            {3, "3de93796906c6556dd625a0a68228994b495442eec28eea42fca0ad3d0281b39"},
        };
    }

    @Test(dataProvider = "seeds")
    public void replicaUnderSimulatedLeadersProducesRecordedTrace(int seed, String digest) {
        Trace trace = Trace.named("follower-" + seed);
        Random random = new Random(seed);
        LeaderLog log = new LeaderLog(random);
        PersistentState persistent = new PersistentState();
        RaftReplica replica = start(trace, persistent, 0, seed);
        long nowNanos = 0;
        for (int step = 0; step < STEPS; step++) {
            nowNanos += random.nextInt(random.nextInt(12) == 0 ? 40 : 5) * STEP_NANOS;
            log.appendAndCommit();
            boolean isDeposed = persistent.currentTerm() > log.term;
            if (random.nextInt(isDeposed ? 3 : 60) == 0) {
                log.startTerm(Math.max(log.term, persistent.currentTerm()) + 1 + random.nextInt(2));
            }
            if (random.nextInt(400) == 0) {
                replica = start(trace, persistent, nowNanos, step);
            }
            callAtRandom(trace, random, log, replica, persistent, nowNanos);
            traceState(trace, nowNanos, replica, persistent);
        }
        PersistentStateTrace.full(trace, persistent);
        assertEquals(trace.digest(), digest);
    }

    private RaftReplica start(Trace trace, PersistentState persistent, long nowNanos, long seed) {
        return new RaftReplica(nowNanos, settings, SELF, MEMBERS, persistent, (index, command) -> {
            trace.part('a').number(index);
            MessageTrace.command(trace, command);
        }, seed);
    }

    private static void callAtRandom(Trace trace, Random random, LeaderLog log, RaftReplica replica,
                                     PersistentState persistent, long nowNanos) {
        Outbox outbox = TracedParticipant.traced(trace, (to, message) -> {});
        int kind = random.nextInt(100);
        trace.number(nowNanos).number(kind);
        if (kind < 20) {
            replica.onTimer(nowNanos, outbox);
        } else if (kind < 65) {
            replica.onMessage(nowNanos, LEADER, log.appendEntries(persistent.log().lastIndex(), nowNanos),
                outbox);
        } else if (kind < 67) {
            replica.onMessage(nowNanos, LEADER, log.installSnapshot(nowNanos), outbox);
        } else if (kind < 70) {
            AppendEntries outdated = log.appendEntries(persistent.log().lastIndex(), nowNanos);
            replica.onMessage(nowNanos, LEADER,
                new AppendEntries(persistent.currentTerm() - 1, 0, 0, List.of(), 0,
                    outdated.sentAtMillis(), outdated.ageMillis(), outdated.echoMillis()),
                outbox);
        } else if (kind < 88) {
            replica.onMessage(nowNanos, CANDIDATE, voteRequest(random, persistent), outbox);
        } else if (kind < 97) {
            boolean isGranted = random.nextBoolean(); // only one vote, which is not a majority
            replica.onMessage(nowNanos, CANDIDATE,
                new RequestVoteReply(persistent.currentTerm() + random.nextInt(2), isGranted,
                    random.nextBoolean()),
                outbox);
        } else {
            replica.onMessage(nowNanos, CANDIDATE,
                new AppendEntriesReply(persistent.currentTerm() + random.nextInt(10) / 9, true,
                    0, nowNanos / NANOS_PER_MILLISECOND, nowNanos / NANOS_PER_MILLISECOND),
                outbox);
        }
    }

    private static RequestVote voteRequest(Random random, PersistentState persistent) {
        long lastTerm = Math.max(0, persistent.log().lastTerm() + 1 - random.nextInt(3));
        return new RequestVote(Math.max(1, persistent.currentTerm() + 2 - random.nextInt(4)),
            Math.max(0, persistent.log().lastIndex() + 1 - random.nextInt(3)), lastTerm,
            random.nextInt(4) > 0);
    }

    private static void traceState(Trace trace, long nowNanos, RaftReplica replica,
                                   PersistentState persistent) {
        trace.part('=').number(replica.nextTimerNanos());
        StateTrace.replica(trace, nowNanos, replica);
        for (int later = 1; later < 30; later += 3) {
            trace.flag(replica.isConnected(nowNanos + later * STEP_NANOS));
        }
        PersistentStateTrace.summary(trace, persistent);
        trace.end();
    }

    /** Compacts the log twice, each time exactly when it reaches its capacity. */
    @Test
    public void compactionProducesRecordedTrace() {
        Trace trace = Trace.named("compaction");
        PersistentState persistent = new PersistentState();
        RaftReplica replica = new RaftReplica(0, settings, SELF, List.of(SELF), persistent,
            (index, command) -> trace.part('a').number(index), 1);
        long nowNanos = 10 * DistributionSettings.NANOS_PER_SECOND;
        replica.onTimer(nowNanos, (to, message) -> {});
        for (int step = 0; step < 200; step++) {
            nowNanos += settings.heartbeatIntervalNanos;
            int commands = step % 100 == 0 ? settings.replicatedLogCapacity - 50 : 1;
            for (int i = 0; i < commands; i++) {
                replica.propose(
                    new Command.ConfigurationChange(new ResourceKey("", "r" + i % 9), new byte[] {1}));
            }
            replica.onTimer(nowNanos, (to, message) -> {});
            traceState(trace, nowNanos, replica, persistent);
        }
        assertEquals(trace.digest(), "642bc3c6450c91a32a67f4143206d985b9f6dcbee858e671b4ed9de8b407dc5e");
    }
}
