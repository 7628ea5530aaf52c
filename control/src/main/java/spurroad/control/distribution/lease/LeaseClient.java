package spurroad.control.distribution.lease;

import java.util.List;
import java.util.Random;
import spurroad.control.distribution.DistributionSettings;
import spurroad.control.distribution.MonotonicTime;
import spurroad.control.distribution.ProcessId;
import spurroad.control.distribution.message.Message.LeaseReply;
import spurroad.control.distribution.message.Message.LeaseRequest;
import spurroad.control.distribution.message.Outbox;

/**
 * A candidate's side of a relay lease: requests the lease from the first grantor that answers, renews it, and
 * counts its duration from the time of the request, so that the lease ends at the holder before it ends at
 * the grantor (Gray and Cheriton, "Leases", 1989).
 *
 * <p>Not thread-safe. Times are nanoseconds of a monotonic clock.
 */
public final class LeaseClient {
    private static final long NOT_HELD = Long.MIN_VALUE;
    /**
     * Age of a request at which its reply counts as late: a process that handles replies so slowly is
     * overloaded.
     */
    private static final long LATE_REPLY_NANOS = DistributionSettings.NANOS_PER_SECOND;
    /** Backoff after a late reply, and after all grantors have left a request unanswered. */
    private static final long BACKOFF_NANOS = 5 * DistributionSettings.NANOS_PER_SECOND;
    /** Maximum lease duration that a grantor may set. */
    private static final long MAX_DURATION_MILLIS = 10_000;
    /** Number of requests after which the first grantor is tried again. */
    private static final int REQUESTS_BETWEEN_FIRST_GRANTOR_TRIALS = 10;

    private final DistributionSettings settings;
    private final String group;
    private final List<ProcessId> grantors;
    private final Random random;
    private int grantorIndex;
    private int requestCount;
    private int consecutiveUnanswered;
    private int consecutiveUnavailable;
    private boolean isReplyAwaited;
    private long nextRequestNanos;
    private long heldUntilNanos = NOT_HELD;

    /**
     * Creates a client that holds no lease and sends its first request within one lease interval.
     *
     * @param nowNanos the current time
     * @param group the group whose lease is requested
     * @param grantors at least one grantor, in the same order at all candidates of the group
     * @param random source of the jitter of requests
     */
    public LeaseClient(long nowNanos, DistributionSettings settings, String group, List<ProcessId> grantors,
                       Random random) {
        this.settings = settings;
        this.group = group;
        this.grantors = List.copyOf(grantors);
        this.random = random;
        nextRequestNanos = nowNanos + (long) (random.nextDouble() * settings.leaseIntervalNanos);
    }

    /** Returns whether the lease is held at {@code nowNanos}. */
    public boolean isHeld(long nowNanos) {
        return nowNanos < heldUntilNanos;
    }

    /**
     * Returns when the lease ends unless it is renewed, in nanoseconds, or {@code Long.MIN_VALUE} before the
     * first lease and after a release.
     */
    public long heldUntilNanos() {
        return heldUntilNanos;
    }

    /**
     * Requests or renews the lease if that is due.
     *
     * @param isWanted whether the lease is to be requested or renewed
     */
    public void onTimer(long nowNanos, boolean isWanted, Outbox outbox) {
        if (nowNanos < nextRequestNanos) {
            return;
        }
        if (!isWanted) {
            nextRequestNanos = nowNanos + settings.leaseIntervalNanos;
            return;
        }
        if (isReplyAwaited) {
            advanceGrantor();
            consecutiveUnanswered++;
        }
        if (consecutiveUnanswered >= grantors.size()) {
            consecutiveUnanswered = 0;
            isReplyAwaited = false;
            nextRequestNanos = nowNanos + BACKOFF_NANOS;
        } else {
            sendRequest(nowNanos, outbox);
        }
    }

    private void sendRequest(long nowNanos, Outbox outbox) {
        requestCount++;
        if (requestCount % REQUESTS_BETWEEN_FIRST_GRANTOR_TRIALS == 0) {
            grantorIndex = 0;
        }
        isReplyAwaited = true;
        nextRequestNanos = nowNanos + settings.requestTimeoutNanos;
        outbox.send(grantors.get(grantorIndex),
            new LeaseRequest(group, MonotonicTime.toMillis(nowNanos)));
    }

    /**
     * Handles a grantor's reply. A late reply is ignored, because a process that reads so slowly must not be
     * a relay; the lease is requested again only after a backoff.
     */
    public void onReply(long nowNanos, ProcessId from, LeaseReply reply) {
        boolean isPlausible = reply.echoMillis() <= MonotonicTime.toMillis(nowNanos);
        if (!reply.group().equals(group) || !isPlausible) {
            return;
        }
        long requestedNanos = MonotonicTime.toNanos(reply.echoMillis());
        if (nowNanos - requestedNanos >= LATE_REPLY_NANOS) {
            isReplyAwaited = false;
            nextRequestNanos = Math.max(nextRequestNanos, nowNanos + BACKOFF_NANOS);
        } else {
            onTimelyReply(nowNanos, from, reply, requestedNanos);
        }
    }

    private void onTimelyReply(long nowNanos, ProcessId from, LeaseReply reply, long requestedNanos) {
        consecutiveUnanswered = 0;
        consecutiveUnavailable = 0;
        if (reply.isGranted()) {
            long durationMillis = Math.min(reply.durationMillis(), MAX_DURATION_MILLIS);
            heldUntilNanos = Math.max(heldUntilNanos,
                requestedNanos + MonotonicTime.toNanos(durationMillis));
        }
        if (isAwaitedFrom(from)) {
            isReplyAwaited = false;
            long jitterNanos = (long) (random.nextDouble() * settings.leaseIntervalNanos / 4);
            nextRequestNanos = nowNanos + settings.leaseIntervalNanos - jitterNanos;
        }
    }

    /**
     * Handles the reply of a grantor that currently grants no leases: the next grantor is tried without
     * delay, until each grantor was tried once.
     */
    public void onGrantorUnavailable(long nowNanos, ProcessId from) {
        if (!isAwaitedFrom(from)) {
            return;
        }
        isReplyAwaited = false;
        consecutiveUnanswered = 0;
        advanceGrantor();
        consecutiveUnavailable++;
        boolean wereAllTried = consecutiveUnavailable % grantors.size() == 0;
        nextRequestNanos = wereAllTried ? nowNanos + settings.leaseIntervalNanos : nowNanos;
    }

    private boolean isAwaitedFrom(ProcessId grantor) {
        return isReplyAwaited && grantor.equals(grantors.get(grantorIndex));
    }

    private void advanceGrantor() {
        grantorIndex = (grantorIndex + 1) % grantors.size();
    }

    /** Stops holding the lease at this process; the lease expires later at the grantor. */
    public void release() {
        heldUntilNanos = NOT_HELD;
    }

    /** Returns when to call {@link #onTimer} next, in nanoseconds. */
    public long nextTimerNanos() {
        return nextRequestNanos;
    }
}
