package spurroad.balancer.statistics;

/**
 * A sum and a weight whose contributions fade exponentially with age, so that their quotient is a moving
 * average without a window to store.
 *
 * <p>Both fade by the factor exp(-age / time constant). They are brought up to date when they are read or
 * added to, not by a timer. Invariants: times never go back; reading twice at the same time changes nothing.
 * Called from the load balancer's thread only.
 */
public final class DecayingAverage {
    /** Time constant in nanoseconds of what has to follow load: some tens of requests at an endpoint. */
    public static final long SHORT_TERM_NANOS = 4_000_000_000L;
    /**
     * Time constant in nanoseconds of what would be mostly chance over a few seconds: rates, failed connects.
     */
    public static final long LONG_TERM_NANOS = 20_000_000_000L;
    /** Observations that the expected value counts for, where few were made: an endpoint's, a proxy's. */
    public static final double PRIOR_WEIGHT = 2;

    private static final double MIN_WEIGHT = 1e-9; // observations; a quotient of nothing is no NaN

    private final double timeConstantNanos;
    private long updatedNanos;
    private long elapsedTimeAddedNanos;
    private double sum;
    private double weight;

    /** Creates an empty average, whose contributions fade to 1/e in the given time in nanoseconds. */
    public DecayingAverage(long timeConstantNanos) {
        this.timeConstantNanos = timeConstantNanos;
    }

    /** Adds to the sum and to the weight; adding zeros only brings both up to date. */
    public void add(long now, double addedSum, double addedWeight) {
        decayTo(now);
        sum += addedSum;
        weight += addedWeight;
    }

    /** Adds the time in nanoseconds since the last such call to the weight; nothing at the first call. */
    public void addElapsedTime(long now) {
        long elapsedNanos = elapsedTimeAddedNanos == 0 ? 0 : now - elapsedTimeAddedNanos;
        add(now, 0, (double) elapsedNanos);
        elapsedTimeAddedNanos = now;
    }

    /** Returns the faded sum. */
    public double sum(long now) {
        decayTo(now);
        return sum;
    }

    /** Returns the faded weight. */
    public double weight(long now) {
        decayTo(now);
        return weight;
    }

    /**
     * Returns the sum over the weight.
     *
     * @param priorWeight weight of {@code prior} relative to the observations
     * @param prior value that is expected without observations
     */
    public double mean(long now, double priorWeight, double prior) {
        decayTo(now);
        return (sum + priorWeight * prior) / Math.max(MIN_WEIGHT, weight + priorWeight);
    }

    private void decayTo(long now) {
        if (now <= updatedNanos) {
            return;
        }
        double remaining = Math.exp((updatedNanos - now) / timeConstantNanos);
        sum *= remaining;
        weight *= remaining;
        updatedNanos = now;
    }
}
