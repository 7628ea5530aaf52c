package spurroad.control.distribution.replication;

import spurroad.control.distribution.message.Message.AppendEntriesReply;

/**
 * A leader's view of one follower: how far the logs agree, and since when a request to the follower is
 * unanswered. Times are nanoseconds of the leader's clock unless the name states another unit.
 */
final class FollowerProgress {
    /** Stands for a missing time: no such message was sent or answered. */
    static final long NEVER = Long.MIN_VALUE;

    private long nextIndex;
    private long matchIndex;
    private long latestEchoMillis = NEVER;
    private long latestSentAtMillis;
    private long unansweredSinceNanos = NEVER;

    /**
     * Creates the initial progress, which assumes that the follower's log agrees with the leader's before
     * {@code nextIndex}.
     */
    FollowerProgress(long nextIndex) {
        this.nextIndex = nextIndex;
    }

    /** Returns the index of the next entry to send. */
    long nextIndex() {
        return nextIndex;
    }

    /** Returns the highest index up to which the logs are known to agree. */
    long matchIndex() {
        return matchIndex;
    }

    /**
     * Returns when the leader sent the latest message that was answered, in milliseconds of the leader's
     * clock, or {@link #NEVER}.
     */
    long latestEchoMillis() {
        return latestEchoMillis;
    }

    /**
     * Returns the latest time at which the follower sent a reply, in milliseconds of the follower's clock.
     */
    long latestSentAtMillis() {
        return latestSentAtMillis;
    }

    /** Returns whether a reply to entries or a snapshot is awaited and not overdue. */
    boolean isReplyAwaitedWithin(long nowNanos, long timeoutNanos) {
        return isReplyAwaited() && nowNanos - unansweredSinceNanos < timeoutNanos;
    }

    /** Returns whether a reply to entries or a snapshot is awaited, even if it is overdue. */
    boolean isReplyAwaited() {
        return unansweredSinceNanos != NEVER;
    }

    /** Records that entries or a snapshot were sent. */
    void onSent(long nowNanos) {
        unansweredSinceNanos = nowNanos;
    }

    /** Handles a reply of the current term. */
    void onReply(AppendEntriesReply reply) {
        latestEchoMillis = Math.max(latestEchoMillis, reply.echoMillis());
        latestSentAtMillis = Math.max(latestSentAtMillis, reply.sentAtMillis());
        if (reply.isSuccess()) {
            onMatch(reply.logIndex());
        } else {
            onMismatch(reply.logIndex());
        }
    }

    private void onMatch(long index) {
        if (index >= nextIndex) {
            unansweredSinceNanos = NEVER;
        }
        matchIndex = Math.max(matchIndex, index);
        nextIndex = Math.max(nextIndex, matchIndex + 1);
    }

    /**
     * Moves the next index back to the entry after the follower's hint, but never forward and never to an
     * entry that is known to match.
     */
    private void onMismatch(long hintIndex) {
        nextIndex = Math.max(matchIndex, Math.min(nextIndex - 1, hintIndex)) + 1;
        unansweredSinceNanos = NEVER;
    }
}
