package spurroad.control.distribution.replication;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import spurroad.control.distribution.ProcessId;
import spurroad.control.distribution.message.Message.RequestVote;
import spurroad.control.distribution.message.Message.RequestVoteReply;
import spurroad.control.distribution.message.Outbox;

/**
 * The candidate's side of an election. A pre-vote first determines whether a majority would elect this
 * replica, without changing the term of any replica; the vote in a new term follows (Ongaro's thesis, 3.4 and
 * 9.6). A replica that rejoins after a network partition therefore does not depose the leader.
 */
final class Election {
    private final ProcessId self;
    private final List<ProcessId> others;
    private final PersistentState persistent;
    private final RoleState roleState;
    private final Set<ProcessId> votes = new HashSet<>();

    /** Creates the election of a replica; {@code others} are the other members of the core. */
    Election(ProcessId self, List<ProcessId> others, PersistentState persistent, RoleState roleState) {
        this.self = self;
        this.others = others;
        this.persistent = persistent;
        this.roleState = roleState;
    }

    /** Starts an election; returns whether it is already won, as it is in a core of one member. */
    boolean start(long nowNanos, Outbox outbox) {
        roleState.becomePreCandidate(nowNanos);
        return requestVotes(outbox);
    }

    /** Handles a vote; returns whether it wins the election. A reply to an earlier request is ignored. */
    boolean onReply(long nowNanos, ProcessId voter, RequestVoteReply reply, Outbox outbox) {
        if (!reply.isGranted()) {
            roleState.enterLaterTerm(nowNanos, reply.term());
            return false;
        }
        Role expectedRole = reply.isPreVote() ? Role.PRE_CANDIDATE : Role.CANDIDATE;
        if (roleState.role() != expectedRole || reply.term() != candidateTerm()) {
            return false;
        }
        votes.add(voter);
        return countVotes(outbox);
    }

    private boolean requestVotes(Outbox outbox) {
        votes.clear();
        votes.add(self);
        RequestVote request = new RequestVote(candidateTerm(), persistent.log().lastIndex(),
            persistent.log().lastTerm(), isPreVote());
        others.forEach(other -> outbox.send(other, request));
        return countVotes(outbox);
    }

    private boolean countVotes(Outbox outbox) {
        boolean isMajority = votes.size() > (others.size() + 1) / 2;
        if (isMajority && isPreVote()) {
            roleState.becomeCandidate();
            return requestVotes(outbox);
        }
        return isMajority;
    }

    private boolean isPreVote() {
        return roleState.role() == Role.PRE_CANDIDATE;
    }

    private long candidateTerm() {
        return isPreVote() ? persistent.currentTerm() + 1 : persistent.currentTerm();
    }
}
