package spurroad.control.distribution.replication;

/**
 * The role of a replica in its current term: Raft's three roles, with the candidate split in two because a
 * pre-vote precedes the vote.
 */
enum Role {
    /** Accepts entries from a leader, or waits for one. */
    FOLLOWER,
    /** Requests pre-votes for the next term without entering it. */
    PRE_CANDIDATE,
    /** Has entered a term and requests votes in it. */
    CANDIDATE,
    /** Was elected by a majority in the current term. */
    LEADER;

    /**
     * Returns whether the protocol allows a transition from this role to another, or to the same role again.
     */
    boolean canBecome(Role next) {
        return switch (next) {
            case FOLLOWER -> true; // a later term, or a leader of the current one
            case PRE_CANDIDATE -> this != LEADER; // the election timer ran out
            case CANDIDATE -> this == PRE_CANDIDATE; // a majority would vote for it
            case LEADER -> this == CANDIDATE; // a majority voted for it
        };
    }
}
