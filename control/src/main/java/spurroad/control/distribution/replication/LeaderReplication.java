package spurroad.control.distribution.replication;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import spurroad.control.distribution.DistributionSettings;
import spurroad.control.distribution.MonotonicTime;
import spurroad.control.distribution.ProcessId;
import spurroad.control.distribution.log.LogEntry;
import spurroad.control.distribution.message.Message.AppendEntries;
import spurroad.control.distribution.message.Message.AppendEntriesReply;
import spurroad.control.distribution.message.Message.InstallSnapshot;
import spurroad.control.distribution.message.Outbox;
import spurroad.control.distribution.state.Freshness;

/**
 * The leader's side of replication in one term: sends followers the entries that they lack, commits the
 * entries that a majority stores, and records up to which time no other entry can have been committed. An
 * entry of an earlier term is committed only together with an entry of the current term (Raft, 5.4.2).
 *
 * <p>In addition to Raft: replies from a majority to a message prove that no other leader had committed an
 * entry when the message was sent; {@link Freshness} counts from that time.
 */
final class LeaderReplication {
    private final DistributionSettings settings;
    private final PersistentState persistent;
    private final ReplicatedLog log;
    private final StateMachine stateMachine;
    private final Freshness freshness;
    private final Map<ProcessId, FollowerProgress> followers = new HashMap<>();
    private long nextHeartbeatNanos;

    /** Creates the replication of a new term, before the first entry of the term is appended to the log. */
    LeaderReplication(DistributionSettings settings, List<ProcessId> followerIds, PersistentState persistent,
                      StateMachine stateMachine, Freshness freshness) {
        this.settings = settings;
        this.persistent = persistent;
        this.log = persistent.log();
        this.stateMachine = stateMachine;
        this.freshness = freshness;
        followerIds.forEach(id -> followers.put(id, new FollowerProgress(log.lastIndex() + 1)));
    }

    /** Returns when to call {@link #onHeartbeatTimer} next, in nanoseconds. */
    long nextHeartbeatNanos() {
        return nextHeartbeatNanos;
    }

    /** Sends each follower a heartbeat, with entries unless a reply to earlier ones is awaited. */
    void onHeartbeatTimer(long nowNanos, Outbox outbox) {
        nextHeartbeatNanos = nowNanos + settings.heartbeatIntervalNanos;
        followers.forEach((id, progress) -> {
            if (progress.isReplyAwaitedWithin(nowNanos, settings.requestTimeoutNanos)) {
                sendEmptyHeartbeat(nowNanos, id, progress, outbox);
            } else {
                sendEntriesOrSnapshot(nowNanos, id, progress, outbox);
            }
        });
        advanceCommitIndex(nowNanos);
    }

    /** Handles a reply of the current term; sends further entries if the follower lacks any. */
    void onReply(long nowNanos, ProcessId from, AppendEntriesReply reply, Outbox outbox) {
        FollowerProgress progress = followers.get(from);
        if (progress == null) {
            return;
        }
        progress.onReply(reply);
        advanceCommitIndex(nowNanos);
        if (!progress.isReplyAwaited() && progress.nextIndex() <= log.lastIndex()) {
            sendEntriesOrSnapshot(nowNanos, from, progress, outbox);
        }
    }

    /** Returns whether a majority of replicas has answered a message that was sent within the timeout. */
    boolean hasMajorityContact(long nowNanos, long timeoutNanos) {
        long echoMillis = majorityEchoMillis(nowNanos);
        return echoMillis != FollowerProgress.NEVER
            && nowNanos - MonotonicTime.toNanos(echoMillis) < timeoutNanos;
    }

    private void sendEmptyHeartbeat(long nowNanos, ProcessId to, FollowerProgress progress, Outbox outbox) {
        if (log.knowsTermAt(progress.nextIndex() - 1)) {
            sendAppendEntries(nowNanos, to, progress, List.of(), outbox);
        }
    }

    private void sendEntriesOrSnapshot(long nowNanos, ProcessId to, FollowerProgress progress,
                                       Outbox outbox) {
        long previousIndex = progress.nextIndex() - 1;
        if (!log.knowsTermAt(previousIndex)) {
            progress.onSent(nowNanos);
            outbox.send(to, new InstallSnapshot(persistent.currentTerm(), log.latestSnapshot(),
                MonotonicTime.toMillis(nowNanos)));
            return;
        }
        List<LogEntry> entries = log.entriesAfter(previousIndex, settings.maxEntriesPerAppend);
        if (!entries.isEmpty()) {
            progress.onSent(nowNanos);
        }
        sendAppendEntries(nowNanos, to, progress, entries, outbox);
    }

    private void sendAppendEntries(long nowNanos, ProcessId to, FollowerProgress progress,
                                   List<LogEntry> entries, Outbox outbox) {
        long previousIndex = progress.nextIndex() - 1;
        outbox.send(to, new AppendEntries(persistent.currentTerm(), previousIndex, log.termAt(previousIndex),
            entries, stateMachine.commitIndex(), MonotonicTime.toMillis(nowNanos),
            freshness.ageMillis(nowNanos), progress.latestSentAtMillis()));
    }

    private void advanceCommitIndex(long nowNanos) {
        long majorityIndex = majorityValue(FollowerProgress::matchIndex, log.lastIndex());
        long currentTerm = persistent.currentTerm();
        if (majorityIndex > stateMachine.commitIndex() && log.termAt(majorityIndex) == currentTerm) {
            stateMachine.applyUpTo(majorityIndex);
        }
        if (stateMachine.lastAppliedTerm() == currentTerm) {
            advanceFreshness(nowNanos);
        }
    }

    private void advanceFreshness(long nowNanos) {
        long echoMillis = majorityEchoMillis(nowNanos);
        if (echoMillis != FollowerProgress.NEVER) {
            freshness.advanceTo(MonotonicTime.toNanos(echoMillis));
        }
    }

    /**
     * Returns the latest time, in milliseconds, such that a majority has answered a message sent at that time
     * or later.
     */
    private long majorityEchoMillis(long nowNanos) {
        return majorityValue(FollowerProgress::latestEchoMillis, MonotonicTime.toMillis(nowNanos));
    }

    /**
     * Returns the highest value that a majority of replicas has reached, where this replica's value is {@code
     * ownValue}.
     */
    private long majorityValue(ToLongFunction<FollowerProgress> valueOf, long ownValue) {
        long[] values = new long[followers.size() + 1];
        int count = 0;
        for (FollowerProgress progress : followers.values()) {
            values[count++] = valueOf.applyAsLong(progress);
        }
        values[count] = ownValue;
        Arrays.sort(values);
        return values[(values.length - 1) / 2];
    }
}
