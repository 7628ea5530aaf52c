package spurroad.control.distribution.replication;

import java.util.List;
import java.util.Random;
import spurroad.control.distribution.DistributionSettings;
import spurroad.control.distribution.ProcessId;

/**
 * Determines when a replica that has no contact with a leader starts an election. Differs from Raft, which
 * draws all timeouts from one range: here each replica has a time slot that depends on its rank after the
 * last leader, and random jitter of a few slots is added. With 24 replicas, votes are therefore seldom split.
 */
final class ElectionTimer {
    /** Upper bound of the random jitter, in slots. */
    private static final int JITTER_SLOTS = 3;

    private final DistributionSettings settings;
    private final ProcessId self;
    private final List<ProcessId> members;
    private final Random random;
    private long deadlineNanos;

    /** Creates a timer that must be restarted before its first use. */
    ElectionTimer(DistributionSettings settings, ProcessId self, List<ProcessId> members, Random random) {
        this.settings = settings;
        this.self = self;
        this.members = members;
        this.random = random;
    }

    /** Restarts the timer; {@code lastLeader} is the last known leader, or null if there was none. */
    void restart(long nowNanos, ProcessId lastLeader) {
        int lastLeaderIndex = lastLeader == null ? -1 : members.indexOf(lastLeader);
        int rank = Math.floorMod(members.indexOf(self) - 1 - lastLeaderIndex, members.size());
        double jitter = JITTER_SLOTS * random.nextDouble();
        deadlineNanos = nowNanos + settings.electionTimeoutNanos
            + (long) ((rank + jitter) * settings.electionStaggerNanos);
    }

    /** Returns the time at which the timer expires, in nanoseconds. */
    long deadlineNanos() {
        return deadlineNanos;
    }
}
