package spurroad.control.distribution.publish;

import java.util.Random;
import spurroad.control.distribution.DistributionSettings;

/**
 * Limits the rate at which a publisher accepts new children, with a token bucket. A rejected subscriber is
 * assigned a time to retry; these times are spread over the period in which all recently rejected subscribers
 * can be accepted. Times are nanoseconds of a monotonic clock.
 */
final class SubscriptionRateLimiter {
    private static final long REJECTION_WINDOW_NANOS = DistributionSettings.NANOS_PER_SECOND;
    private static final long MIN_RETRY_MILLIS = 10;
    private static final double MIN_SPREAD = 0.5; // fraction of the time to accept all rejected subscribers

    private final int tokensPerSecond;
    private final int maxTokens;
    private final Random random;
    private double tokens;
    private long refilledAtNanos = Long.MIN_VALUE;
    private int rejectedCount; // since the start of the rejection window
    private long windowStartNanos;

    /** Creates a full bucket. */
    SubscriptionRateLimiter(int tokensPerSecond, int maxTokens, Random random) {
        this.tokensPerSecond = tokensPerSecond;
        this.maxTokens = maxTokens;
        this.random = random;
        tokens = maxTokens;
    }

    /** Takes a token if one is available; returns whether it did. */
    boolean tryAcquire(long nowNanos) {
        refill(nowNanos);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    private void refill(long nowNanos) {
        if (refilledAtNanos != Long.MIN_VALUE) {
            double newTokens = (double) (nowNanos - refilledAtNanos) * tokensPerSecond
                / DistributionSettings.NANOS_PER_SECOND;
            tokens = Math.min(maxTokens, tokens + newTokens);
        }
        refilledAtNanos = nowNanos;
    }

    /** Counts a rejection; returns after how many milliseconds the rejected subscriber may retry. */
    long retryAfterMillis(long nowNanos) {
        if (nowNanos - windowStartNanos > REJECTION_WINDOW_NANOS) {
            windowStartNanos = nowNanos;
            rejectedCount = 0;
        }
        rejectedCount++;
        double queueMillis = 1_000.0 * rejectedCount / tokensPerSecond;
        return MIN_RETRY_MILLIS + (long) (queueMillis * (MIN_SPREAD + random.nextDouble()));
    }
}
