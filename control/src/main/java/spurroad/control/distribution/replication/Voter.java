package spurroad.control.distribution.replication;

import spurroad.control.distribution.ProcessId;
import spurroad.control.distribution.message.Message.RequestVote;
import spurroad.control.distribution.message.Message.RequestVoteReply;

/**
 * The voter's side of an election: grants one vote per term, and only to a candidate whose log is at least as
 * up to date as the voter's, so that every leader has all committed entries.
 */
final class Voter {
    private final PersistentState persistent;
    private final RoleState roleState;

    /** Creates the voter of a replica. */
    Voter(PersistentState persistent, RoleState roleState) {
        this.persistent = persistent;
        this.roleState = roleState;
    }

    /** Answers a vote request; must be called only while this replica has no contact with a leader. */
    RequestVoteReply onRequest(long nowNanos, ProcessId candidate, RequestVote request) {
        boolean isUpToDate = persistent.log().isCoveredBy(request.lastLogIndex(), request.lastLogTerm());
        return request.isPreVote() ? preVote(nowNanos, request, isUpToDate)
            : vote(nowNanos, candidate, request, isUpToDate);
    }

    private RequestVoteReply preVote(long nowNanos, RequestVote request, boolean isUpToDate) {
        boolean wouldGrant = isUpToDate && request.term() > persistent.currentTerm();
        if (wouldGrant && roleState.role() == Role.FOLLOWER) {
            roleState.restartElectionTimer(nowNanos); // gives the other candidate time to win
        }
        long term = wouldGrant ? request.term() : persistent.currentTerm();
        return new RequestVoteReply(term, wouldGrant, true);
    }

    private RequestVoteReply vote(long nowNanos, ProcessId candidate, RequestVote request,
                                  boolean isUpToDate) {
        roleState.enterLaterTerm(nowNanos, request.term());
        boolean isCurrentTerm = request.term() == persistent.currentTerm();
        boolean hasNotVotedForOther = persistent.votedFor() == null
            || persistent.votedFor().equals(candidate);
        boolean isGranted = isCurrentTerm && !roleState.isLeader() && hasNotVotedForOther && isUpToDate;
        if (isGranted) {
            persistent.voteFor(candidate);
            roleState.restartElectionTimer(nowNanos);
        }
        return new RequestVoteReply(persistent.currentTerm(), isGranted, false);
    }
}
