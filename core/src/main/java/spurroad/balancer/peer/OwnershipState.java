package spurroad.balancer.peer;

import spurroad.balancer.statistics.DecayingAverage;
import spurroad.balancer.statistics.RecentKeySet;
import spurroad.model.CacheKey;
import spurroad.model.PeerUpdate;

/**
 * The state that a proxy keeps of an endpoint that it owns, derived from the attempts that all proxies
 * report.
 *
 * <p>An attempt has a weight of 1 when it begins, which decays exponentially. When it succeeds, its remaining
 * weight is removed; when it fails, the remaining weight is left to decay, as the endpoint may still be
 * working on it or may be failing its requests. So {@link #fleetInFlight} follows the attempts in flight from
 * the whole fleet, and lost messages reduce its accuracy for about a second only. The keys whose last read
 * succeeded are recorded: the endpoint is likely to have them cached.
 */
public final class OwnershipState {
    // time constant; an attempt that never succeeds counts for about this long
    private static final long FLEET_IN_FLIGHT_DECAY_NANOS = 1_000_000_000L;
    // after a shorter duration the remaining weight would round to 1, the value of an attempt that begins
    private static final long MIN_DURATION_NANOS = 1_000_000L;
    private static final int MAX_CACHED_KEYS = 4_000; // minutes of reads by hundreds of proxies
    private static final long CACHED_KEY_MAX_AGE_NANOS = 20_000_000_000L;
    // a new owner has recorded few keys: for this long any key may be cached
    private static final long ASSUME_CACHED_NANOS = 4_000_000_000L;
    // of the cached fraction; smaller changes are not published
    private static final double MIN_PUBLISHED_CHANGE = 0.05;

    private final DecayingAverage fleetInFlight = new DecayingAverage(FLEET_IN_FLIGHT_DECAY_NANOS);
    private final DecayingAverage serviceTime = new DecayingAverage(DecayingAverage.SHORT_TERM_NANOS);
    private final RecentKeySet cachedKeys = new RecentKeySet(MAX_CACHED_KEYS);
    // the first update is sent immediately
    private final UpdateBudget updateBudget = new UpdateBudget(Double.MAX_VALUE,
        UpdateBudget.MIN_INTERVAL_NANOS);
    private long ownedSinceNanos = Long.MAX_VALUE;
    private double publishedCachedFraction = 1;

    /**
     * Records that an attempt began (value 1), succeeded (its negated remaining weight) or failed (its
     * remaining weight), and returns the estimated service time per queued request, in nanoseconds.
     *
     * <p>A failed attempt can only raise the service time. Successful attempts alone do not show that an
     * endpoint is overloaded, as those that it completes at all end in time; and quick failures do not show
     * that it is fast, as an endpoint that fails everything is quick.
     *
     * @param serviceTimeNanos the estimate before this update
     * @param defaultServiceTimeNanos the estimate for an endpoint that has not been observed yet
     */
    public double onInFlightUpdate(PeerUpdate update, long now, double serviceTimeNanos,
                                   double defaultServiceTimeNanos) {
        double weightChange = update.value();
        double inFlightBefore = fleetInFlight.sum(now);
        ownedSinceNanos = Math.min(ownedSinceNanos, now);
        cachedKeys.remove(update.key()); // it is being written, or may not be cached any more
        double durationNanos = -FLEET_IN_FLIGHT_DECAY_NANOS * Math.log(Math.abs(weightChange));
        boolean succeeded = weightChange < 0;
        boolean slowerThanEstimated = weightChange < 1
            && durationNanos > serviceTimeNanos * (inFlightBefore + 1);
        if (succeeded || slowerThanEstimated) {
            serviceTime.add(now, durationNanos, inFlightBefore + 1);
        }
        if (succeeded) {
            cachedKeys.add(update.key(), now);
        }
        if (weightChange == 1) {
            updateBudget.earn(UpdateBudget.CREDIT_PER_ATTEMPT);
        }
        fleetInFlight.add(now, inFlightChange(weightChange, inFlightBefore), 0);
        return serviceTime.mean(now, DecayingAverage.PRIOR_WEIGHT, defaultServiceTimeNanos);
    }

    private static double inFlightChange(double weightChange, double inFlightBefore) {
        if (weightChange == 1) {
            return 1;
        }
        return weightChange < 0 ? Math.max(weightChange, -inFlightBefore) : 0;
    }

    /** Returns the attempts in flight at the endpoint from all proxies; those without a known end decay. */
    public double fleetInFlight(long now) {
        return fleetInFlight.sum(now);
    }

    /** Returns the remaining weight of an attempt after a duration in nanoseconds, above 0 and below 1. */
    public static double remainingWeight(long durationNanos) {
        double bounded = Math.max(MIN_DURATION_NANOS,
            Math.min(DecayingAverage.LONG_TERM_NANOS, durationNanos));
        return Math.exp(-bounded / FLEET_IN_FLIGHT_DECAY_NANOS);
    }

    /**
     * Returns whether the endpoint is likely to have a key cached.
     *
     * @param startedLongAgo whether the endpoint may have cached keys before this proxy became its owner
     */
    public boolean isCached(CacheKey key, boolean startedLongAgo, long now) {
        boolean assumesAnyKeyCached = startedLongAgo && now - ownedSinceNanos < ASSUME_CACHED_NANOS;
        return assumesAnyKeyCached || cachedKeys.contains(key, now, CACHED_KEY_MAX_AGE_NANOS);
    }

    /**
     * Returns whether to notify all proxies of the endpoint now: the endpoint has changed, and the update
     * budget allows a broadcast, which is then spent.
     *
     * @param overloaded whether the queue exceeds the soft limit, which always counts as a change
     */
    public boolean tryPublish(double cachedFraction, boolean overloaded, long now, int proxies) {
        boolean changed = overloaded
            || Math.abs(cachedFraction - publishedCachedFraction) > MIN_PUBLISHED_CHANGE;
        if (!changed || !updateBudget.trySpend(now, proxies)) {
            return false;
        }
        publishedCachedFraction = cachedFraction;
        return true;
    }
}
