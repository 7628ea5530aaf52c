package spurroad.control.distribution.replication;

import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import spurroad.control.distribution.DistributionSettings;
import spurroad.control.distribution.ProcessId;
import spurroad.control.distribution.log.Command;
import spurroad.control.distribution.log.LogEntry;
import spurroad.control.distribution.message.Message;
import spurroad.control.distribution.message.Message.AppendEntries;
import spurroad.control.distribution.message.Message.AppendEntriesReply;
import spurroad.control.distribution.message.Message.InstallSnapshot;
import spurroad.control.distribution.message.Message.RequestVote;
import spurroad.control.distribution.message.Message.RequestVoteReply;
import spurroad.control.distribution.message.Outbox;
import spurroad.control.distribution.message.Participant;
import spurroad.control.distribution.state.ConfigurationState;
import spurroad.control.distribution.state.Freshness;
import spurroad.control.distribution.state.PurgeLog;

/**
 * One replica of the core's replicated log, after Raft (Ongaro and Ousterhout, 2014): the leader of a term is
 * elected by a majority, an entry is committed once a majority stores it, and all replicas apply the
 * committed entries in the same order.
 *
 * <p>Differences from Raft: an election begins with a pre-vote (Ongaro's thesis, 9.6); a replica that has
 * contact with a leader does not answer vote requests at all; election timeouts are staggered by rank
 * ({@link ElectionTimer}); a snapshot is one message; the set of members is fixed; there are no client reads
 * at the leader; and messages carry the times that {@link Freshness} needs.
 *
 * <p>Not thread-safe.
 */
public final class RaftReplica implements Participant {
    private final DistributionSettings settings;
    private final List<ProcessId> others;
    private final PersistentState persistent;
    private final ConfigurationState configuration;
    private final PurgeLog purges;
    private final Freshness freshness;
    private final StateMachine stateMachine;
    private final RoleState roleState;
    private final Election election;
    private final Voter voter;
    private final FollowerReplication followerReplication;
    private LeaderReplication leaderReplication; // of the latest term that this replica led; null before

    /**
     * Starts a replica as a follower.
     *
     * @param nowNanos the time, in nanoseconds of a monotonic clock
     * @param members the members of the core, including this replica, in the same order at all members
     * @param persistent state of the replica's previous run, or a new one
     * @param listener receives each command that is committed from now on
     * @param seed the seed of the random part of election timeouts
     */
    public RaftReplica(long nowNanos, DistributionSettings settings, ProcessId self, List<ProcessId> members,
                       PersistentState persistent, CommitListener listener, long seed) {
        this.settings = settings;
        this.persistent = persistent;
        others = members.stream().filter(member -> !member.equals(self)).toList();
        configuration = new ConfigurationState(settings.configurationLogCapacity);
        purges = new PurgeLog(settings.maxPurgeLogCapacity, settings.maxPurgeLogCapacity);
        freshness = new Freshness(settings.freshnessLeaseNanos);
        stateMachine = new StateMachine(persistent.log(), settings.replicatedLogCapacity, configuration,
            purges, listener);
        ElectionTimer timer = new ElectionTimer(settings, self, List.copyOf(members), new Random(seed));
        roleState = new RoleState(nowNanos, self, persistent, timer);
        election = new Election(self, others, persistent, roleState);
        voter = new Voter(persistent, roleState);
        followerReplication = new FollowerReplication(persistent, roleState, stateMachine, freshness);
    }

    /** Handles a message of another replica; messages that are not exchanged between replicas are ignored. */
    @Override
    public void onMessage(long nowNanos, ProcessId from, Message message, Outbox outbox) {
        if (message instanceof RequestVote request) {
            onRequestVote(nowNanos, from, request, outbox);
        } else if (message instanceof RequestVoteReply reply) {
            onRequestVoteReply(nowNanos, from, reply, outbox);
        } else if (message instanceof AppendEntries append) {
            outbox.send(from, followerReplication.onAppendEntries(nowNanos, from, append));
        } else if (message instanceof AppendEntriesReply reply) {
            onAppendEntriesReply(nowNanos, from, reply, outbox);
        } else if (message instanceof InstallSnapshot install) {
            followerReplication.onInstallSnapshot(nowNanos, from, install)
                .ifPresent(reply -> outbox.send(from, reply));
        }
    }

    /** Starts an election or sends the leader's heartbeats, if that is due. */
    @Override
    public void onTimer(long nowNanos, Outbox outbox) {
        if (nowNanos < nextTimerNanos()) {
            return;
        }
        if (roleState.isLeader()) {
            leaderReplication.onHeartbeatTimer(nowNanos, outbox);
        } else if (election.start(nowNanos, outbox)) {
            becomeLeader(nowNanos, outbox);
        }
    }

    @Override
    public long nextTimerNanos() {
        return roleState.isLeader() ? leaderReplication.nextHeartbeatNanos()
            : roleState.electionDeadlineNanos();
    }

    /**
     * Leaves a vote request unanswered while this replica has contact with a leader, so that the candidate
     * can't depose the leader.
     */
    private void onRequestVote(long nowNanos, ProcessId from, RequestVote request, Outbox outbox) {
        boolean hasLeader = hasMajorityContact(nowNanos)
            || roleState.hasLeaderContactWithin(nowNanos, settings.electionTimeoutNanos);
        if (!hasLeader) {
            outbox.send(from, voter.onRequest(nowNanos, from, request));
        }
    }

    private void onRequestVoteReply(long nowNanos, ProcessId from, RequestVoteReply reply, Outbox outbox) {
        if (election.onReply(nowNanos, from, reply, outbox)) {
            becomeLeader(nowNanos, outbox);
        }
    }

    private void onAppendEntriesReply(long nowNanos, ProcessId from, AppendEntriesReply reply,
                                      Outbox outbox) {
        roleState.enterLaterTerm(nowNanos, reply.term());
        if (roleState.isLeader() && reply.term() == persistent.currentTerm()) {
            leaderReplication.onReply(nowNanos, from, reply, outbox);
        }
    }

    /**
     * Becomes the leader of the current term. The first entry of the term also commits the uncommitted
     * entries of earlier terms.
     */
    private void becomeLeader(long nowNanos, Outbox outbox) {
        roleState.becomeLeader();
        leaderReplication = new LeaderReplication(settings, others, persistent, stateMachine, freshness);
        append(new Command.NoOp());
        leaderReplication.onHeartbeatTimer(nowNanos, outbox);
    }

    /**
     * Appends a command to the leader's log. It is committed later, or never if this leader is deposed.
     *
     * @return the command's log index, or empty if this replica is not the leader
     */
    public OptionalLong propose(Command command) {
        if (!roleState.isLeader()) {
            return OptionalLong.empty();
        }
        append(command);
        return OptionalLong.of(persistent.log().lastIndex());
    }

    private void append(Command command) {
        persistent.log().append(new LogEntry(persistent.currentTerm(), command));
    }

    /** Returns whether this replica is the leader of the latest term that it knows. */
    public boolean isLeader() {
        return roleState.isLeader();
    }

    /**
     * Returns the leader that this replica follows, this replica itself if it is the leader, or null while no
     * leader is known.
     */
    public ProcessId leader() {
        return roleState.leader();
    }

    /**
     * Returns whether this replica is a leader in contact with a majority, or a follower in contact with its
     * leader.
     */
    public boolean isConnected(long nowNanos) {
        return roleState.isLeader() ? hasMajorityContact(nowNanos)
            : roleState.hasLeaderContactWithin(nowNanos, settings.parentTimeoutNanos);
    }

    private boolean hasMajorityContact(long nowNanos) {
        return roleState.isLeader()
            && leaderReplication.hasMajorityContact(nowNanos, settings.electionTimeoutNanos);
    }

    /** Returns the term of the last committed entry; 0 before the first. */
    public long lastAppliedTerm() {
        return stateMachine.lastAppliedTerm();
    }

    /** Returns the index of the last committed entry; 0 before the first. */
    public long commitIndex() {
        return stateMachine.commitIndex();
    }

    /** Returns the committed configuration, which only this replica advances. */
    public ConfigurationState configuration() {
        return configuration;
    }

    /** Returns the committed purges, which only this replica advances. */
    public PurgeLog purges() {
        return purges;
    }

    /** Returns the freshness of this replica, which tracks up to when it knows all committed entries. */
    public Freshness freshness() {
        return freshness;
    }
}
