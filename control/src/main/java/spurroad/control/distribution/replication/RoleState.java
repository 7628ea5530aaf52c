package spurroad.control.distribution.replication;

import spurroad.control.distribution.ProcessId;

/**
 * The role of a replica in its current term and the leader that it follows. All role changes are made in this
 * class and restart the election timer in the cases in which Raft does.
 */
final class RoleState {
    private static final long NEVER = Long.MIN_VALUE;

    private final ProcessId self;
    private final PersistentState persistent;
    private final ElectionTimer electionTimer;
    private Role role = Role.FOLLOWER;
    private ProcessId leader;
    private ProcessId lastLeader;
    private long lastLeaderContactNanos = NEVER;

    /**
     * Creates the state of a follower that has had no contact with a leader, and starts its election timer.
     */
    RoleState(long nowNanos, ProcessId self, PersistentState persistent, ElectionTimer electionTimer) {
        this.self = self;
        this.persistent = persistent;
        this.electionTimer = electionTimer;
        electionTimer.restart(nowNanos, null);
    }

    Role role() {
        return role;
    }

    boolean isLeader() {
        return role == Role.LEADER;
    }

    /** Returns the leader of the current term, or null while it is unknown. */
    ProcessId leader() {
        return leader;
    }

    /** Returns the time at which the election timer expires, in nanoseconds. */
    long electionDeadlineNanos() {
        return electionTimer.deadlineNanos();
    }

    /**
     * Returns whether a leader is known and its latest message was received within a timeout.
     *
     * <p>Always true for a leader that has never followed another leader, because there is no contact time to
     * compare with.
     */
    boolean hasLeaderContactWithin(long nowNanos, long timeoutNanos) {
        return leader != null
            && (lastLeaderContactNanos == NEVER || nowNanos - lastLeaderContactNanos < timeoutNanos);
    }

    /**
     * Enters a later term as a follower without a known leader; does nothing for the current or an earlier
     * term.
     */
    void enterLaterTerm(long nowNanos, long term) {
        if (term <= persistent.currentTerm()) {
            return;
        }
        persistent.enterTerm(term);
        if (role != Role.FOLLOWER) {
            restartElectionTimer(nowNanos);
        }
        become(Role.FOLLOWER);
        leader = null;
    }

    /** Follows the leader of a term that is not earlier than the current one. */
    void followLeader(long nowNanos, ProcessId leaderOfTerm, long term) {
        enterLaterTerm(nowNanos, term);
        become(Role.FOLLOWER);
        leader = leaderOfTerm;
        lastLeader = leaderOfTerm;
        lastLeaderContactNanos = nowNanos;
        restartElectionTimer(nowNanos);
    }

    /** Abandons the leader and starts a pre-vote; the term does not change. */
    void becomePreCandidate(long nowNanos) {
        become(Role.PRE_CANDIDATE);
        leader = null;
        restartElectionTimer(nowNanos);
    }

    /** Enters the next term and votes for this replica itself. */
    void becomeCandidate() {
        become(Role.CANDIDATE);
        persistent.enterTerm(persistent.currentTerm() + 1);
        persistent.voteFor(self);
    }

    /** Becomes the leader of the current term. */
    void becomeLeader() {
        become(Role.LEADER);
        leader = self;
        lastLeader = self;
    }

    /**
     * Restarts the election timer from the current time, so that another replica can win the election first.
     */
    void restartElectionTimer(long nowNanos) {
        electionTimer.restart(nowNanos, lastLeader);
    }

    private void become(Role next) {
        if (!role.canBecome(next)) {
            throw new IllegalStateException("no transition of a replica from role " + role + " to " + next);
        }
        role = next;
    }
}
