package spurroad.balancer;

import spurroad.balancer.context.RandomDraws;

/**
 * Schedules subscriptions to the endpoint list: immediately after the first list, and after each failure with
 * exponential backoff. A jitter of half the backoff in either direction keeps proxies that failed together
 * from reconnecting together.
 */
final class DiscoveryPolling {
    private static final long BASE_BACKOFF_NANOS = 500_000_000L;
    // with the longest jitter, 1.5 times this, and one call a poll ends before a change counts as announced,
    // which is after 6 s
    private static final long MAX_BACKOFF_NANOS = 1_900_000_000L;
    private static final long NEVER_NANOS = Long.MAX_VALUE;

    private final RandomDraws random;
    private long backoffNanos = BASE_BACKOFF_NANOS;
    private long nextPollNanos = NEVER_NANOS;
    private boolean subscribed;

    DiscoveryPolling(RandomDraws random) {
        this.random = random;
    }

    /** Records the receipt of an endpoint list; returns whether it was the first one. */
    boolean onEndpointUpdate() {
        boolean first = !subscribed;
        if (subscribed) {
            backoffNanos = BASE_BACKOFF_NANOS;
        }
        subscribed = true;
        return first;
    }

    /** Schedules a poll after the backoff because a call failed or a subscription ended. */
    void onFailure(long now) {
        nextPollNanos = now + backoffNanos / 2 + (long) (random.backoffDraw() * backoffNanos);
        backoffNanos = Math.min(MAX_BACKOFF_NANOS, 2 * backoffNanos);
    }

    /** Clears the backoff if it has expired; returns whether it had. */
    boolean clearIfDue(long now) {
        if (nextPollNanos > now) {
            return false;
        }
        nextPollNanos = NEVER_NANOS;
        return true;
    }

    /** Returns the time at which the backoff expires, in nanoseconds; Long.MAX_VALUE if there is none. */
    long nextPollNanos() {
        return nextPollNanos;
    }
}
