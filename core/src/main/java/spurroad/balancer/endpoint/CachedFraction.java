package spurroad.balancer.endpoint;

/**
 * Which fraction of its keys an endpoint keeps, as its owner publishes it: the soft limit where proxies talk.
 *
 * <p>Each key has a number between 0 and 1 at each endpoint, the same at every proxy, and stays while that is
 * below the fraction. So the same keys leave a full endpoint everywhere and stay away until it has had room
 * for long: a key that moves pays for a cache miss, so it moves slower than queues do. Invariant: at least
 * {@link #MIN_FRACTION} stays.
 */
public final class CachedFraction {
    /**
     * Least fraction of its keys that an endpoint keeps; with none nothing would show that it has recovered.
     */
    static final double MIN_FRACTION = 0.05;

    private static final long MAX_AGE_NANOS = 20_000_000_000L; // an owner may have gone
    private static final long MAX_ADJUSTMENT_INTERVAL_NANOS = 4_000_000_000L; // a first adjustment covers no more

    private double fraction = 1;
    private long updatedNanos = Long.MIN_VALUE / 2;

    /**
     * Returns whether a key, by its ring point, stays at the endpoint; all do where no owner published
     * lately.
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

    /** Applies an update from the endpoint's owner. */
    void set(double newFraction, long now) {
        fraction = newFraction;
        updatedNanos = now;
    }

    /**
     * As the owner: grows by e to the given rate a second since the last call; a negative rate shrinks it.
     */
    void adjust(double growthRatePerSecond, long now) {
        double seconds = Math.min(MAX_ADJUSTMENT_INTERVAL_NANOS, now - updatedNanos) / 1e9;
        double adjusted = fraction * Math.exp(growthRatePerSecond * seconds);
        set(Math.max(MIN_FRACTION, Math.min(1, adjusted)), now);
    }
}
