package spurroad.balancer.statistics;

/**
 * An exponentially decayed sum and weight, whose quotient is a moving average that stores no window of
 * observations.
 *
 * <p>Both decay by the factor exp(-age / time constant), when they are read or added to and not by a timer.
 * Invariants: times never go back; reading twice at the same time changes nothing. Called from the load
 * balancer's thread only.
 */
public final class DecayingAverage {
    /**
     * Time constant in nanoseconds for values that have to follow the load: an endpoint gets some tens of
     * requests in that time.
     */
    public static final long SHORT_TERM_NANOS = 4_000_000_000L;
    /**
     * Time constant in nanoseconds for values that would be mostly noise over a few seconds, such as rates
     * and failed connects.
     */
    public static final long LONG_TERM_NANOS = 20_000_000_000L;
    /**
     * Weight of a prior value, in observations, for the averages of an endpoint or a proxy with few
     * observations.
     */
    public static final double PRIOR_WEIGHT = 2;

    private static final double MIN_WEIGHT = 1e-9; // observations; avoids NaN if there are none

    private final double timeConstantNanos;
    private long updatedNanos;
    private long elapsedTimeAddedNanos;
    private double sum;
    private double weight;

    /** Creates an empty average whose contributions decay to 1/e within the given time in nanoseconds. */
    public DecayingAverage(long timeConstantNanos) {
        this.timeConstantNanos = timeConstantNanos;
    }

    /** Adds to the sum and to the weight; adding zeros only brings the decay of both up to date. */
    public void add(long now, double addedSum, double addedWeight) {
        decayTo(now);
        sum += addedSum;
        weight += addedWeight;
    }

    /**
     * Adds the time in nanoseconds since the last call of this method to the weight; the first call adds
     * nothing.
     */
    public void addElapsedTime(long now) {
        long elapsedNanos = elapsedTimeAddedNanos == 0 ? 0 : now - elapsedTimeAddedNanos;
        add(now, 0, (double) elapsedNanos);
        elapsedTimeAddedNanos = now;
    }

    /** Returns the decayed sum at the given time. */
    public double sum(long now) {
        decayTo(now);
        return sum;
    }

    /** Returns the decayed weight at the given time. */
    public double weight(long now) {
        decayTo(now);
        return weight;
    }

    /**
     * Returns the sum divided by the weight.
     *
     * @param priorWeight weight of {@code prior}, in the unit of the weight of observations
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
