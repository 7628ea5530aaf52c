package spurroad.balancer.endpoint;

/**
 * The fraction of its keys that an endpoint keeps, as its owner publishes it. With gossip this fraction is
 * the endpoint's soft limit.
 *
 * <p>Each key has a number from 0 to 1 at each endpoint, which is the same at every proxy, and stays at the
 * endpoint while that number is below the fraction. All proxies therefore move the same keys away from a full
 * endpoint, and these keys return only after the endpoint has had spare capacity for a while. A key that
 * moves costs a cache miss, so the fraction changes more slowly than queue lengths do. Invariant: at least
 * {@link #MIN_FRACTION} of the keys stay.
 */
public final class CachedFraction {
    /**
     * Lower bound of the fraction. An endpoint without any keys would get no requests that could show its
     * recovery.
     */
    static final double MIN_FRACTION = 0.05;

    // an older fraction is ignored: the owner may be gone
    private static final long MAX_AGE_NANOS = 20_000_000_000L;
    private static final long MAX_ADJUSTMENT_INTERVAL_NANOS = 4_000_000_000L; // bounds the first adjustment

    private double fraction = 1;
    private long updatedNanos = Long.MIN_VALUE / 2;

    /**
     * Returns whether a key, given by its ring point, stays at the endpoint. All keys stay if no owner has
     * published a fraction recently.
     */
    boolean retains(long ringPoint, long endpointId, long now) {
        return now - updatedNanos > MAX_AGE_NANOS || Ring.uniform(ringPoint ^ endpointId) < fraction;
    }

    double fraction() {
        return fraction;
    }

    long updatedNanos() {
        return updatedNanos;
    }

    /** Sets the fraction that the endpoint's owner has computed. */
    void set(double newFraction, long now) {
        fraction = newFraction;
        updatedNanos = now;
    }

    /**
     * Adjusts the fraction, as the owner, for the time since the last update, and keeps it within its bounds.
     *
     * @param growthRatePerSecond exponential growth rate: at 1 the fraction grows by the factor e in a
     *     second; a negative rate shrinks it
     */
    void adjust(double growthRatePerSecond, long now) {
        double seconds = Math.min(MAX_ADJUSTMENT_INTERVAL_NANOS, now - updatedNanos) / 1e9;
        double adjusted = fraction * Math.exp(growthRatePerSecond * seconds);
        set(Math.max(MIN_FRACTION, Math.min(1, adjusted)), now);
    }
}
