package spurroad.control.distribution.replication;

import java.util.List;
import java.util.Optional;
import spurroad.control.distribution.MonotonicTime;
import spurroad.control.distribution.ProcessId;
import spurroad.control.distribution.log.LogEntry;
import spurroad.control.distribution.message.Message.AppendEntries;
import spurroad.control.distribution.message.Message.AppendEntriesReply;
import spurroad.control.distribution.message.Message.InstallSnapshot;
import spurroad.control.distribution.state.Freshness;

/**
 * The follower's side of replication: checks that a leader's entries are consistent with the log, stores them
 * and applies committed entries. Differs from Raft in two ways: a rejection carries a hint at which index the
 * logs may agree, and a snapshot is sent in one message, which is answered like entries.
 */
final class FollowerReplication {
    private final PersistentState persistent;
    private final ReplicatedLog log;
    private final RoleState roleState;
    private final StateMachine stateMachine;
    private final Freshness freshness;

    /** Creates the follower's side of a replica. */
    FollowerReplication(PersistentState persistent, RoleState roleState, StateMachine stateMachine,
                        Freshness freshness) {
        this.persistent = persistent;
        this.log = persistent.log();
        this.roleState = roleState;
        this.stateMachine = stateMachine;
        this.freshness = freshness;
    }

    /** Follows the sender unless its term has ended, and stores its entries; returns the reply. */
    AppendEntriesReply onAppendEntries(long nowNanos, ProcessId from, AppendEntries append) {
        if (append.term() < persistent.currentTerm()) {
            return reply(nowNanos, false, 0, append.sentAtMillis());
        }
        roleState.followLeader(nowNanos, from, append.term());
        long previousIndex = append.previousLogIndex();
        if (previousIndex < log.startIndex()) {
            // compacted entries are committed, so they agree with every leader's log
            return reply(nowNanos, true, log.startIndex(), append.sentAtMillis());
        }
        if (!log.matches(previousIndex, append.previousLogTerm())) {
            return reply(nowNanos, false, lastPossibleMatch(previousIndex), append.sentAtMillis());
        }
        long lastIndex = store(previousIndex, append.entries());
        stateMachine.applyUpTo(Math.min(append.leaderCommitIndex(), lastIndex));
        if (stateMachine.commitIndex() >= append.leaderCommitIndex()) {
            freshness.onReport(nowNanos, append.echoMillis(), append.ageMillis());
        }
        return reply(nowNanos, true, lastIndex, append.sentAtMillis());
    }

    private long lastPossibleMatch(long mismatchIndex) {
        return Math.min(log.lastIndex(), Math.max(stateMachine.commitIndex(), mismatchIndex - 1));
    }

    /**
     * Stores the entries that follow an index and are missing from the log; returns the index of the last
     * entry.
     */
    private long store(long previousIndex, List<LogEntry> entries) {
        long index = previousIndex;
        for (LogEntry entry : entries) {
            index++;
            if (log.knowsTermAt(index) && log.termAt(index) != entry.term()) {
                log.truncateFrom(index);
            }
            if (!log.knowsTermAt(index)) {
                log.append(entry);
            }
        }
        return index;
    }

    /**
     * Installs a snapshot in place of entries that the leader has compacted; returns the reply, or empty if
     * the leader's term has ended.
     */
    Optional<AppendEntriesReply> onInstallSnapshot(long nowNanos, ProcessId from, InstallSnapshot install) {
        if (install.term() < persistent.currentTerm()) {
            return Optional.empty();
        }
        roleState.followLeader(nowNanos, from, install.term());
        stateMachine.install(install.snapshot());
        return Optional.of(reply(nowNanos, true, stateMachine.commitIndex(), install.sentAtMillis()));
    }

    private AppendEntriesReply reply(long nowNanos, boolean isSuccess, long logIndex, long echoMillis) {
        return new AppendEntriesReply(persistent.currentTerm(), isSuccess, logIndex, echoMillis,
            MonotonicTime.toMillis(nowNanos));
    }
}
