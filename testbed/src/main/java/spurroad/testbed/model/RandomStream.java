package spurroad.testbed.model;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * The random numbers of one part of an environment. Each part has a stream of its own, so that a change to
 * one part doesn't alter the draws of another. Not thread-safe.
 */
public final class RandomStream {
    /** The golden ratio as a 64-bit fraction; it spreads neighbouring seeds over the range. */
    private static final long SEED_MULTIPLIER = 0x9e3779b97f4a7c15L;

    private final UniformRandomProvider source;
    private final ZigguratSampler.Exponential exponential;

    /** Creates the stream that belongs to a seed and the name of a part. */
    public RandomStream(long seed, String part) {
        source = RandomSource.XO_SHI_RO_256_PP.create(seed * SEED_MULTIPLIER + part.hashCode());
        exponential = ZigguratSampler.Exponential.of(source);
    }

    UniformRandomProvider source() {
        return source;
    }

    /** Draws a number from 0 (inclusive) to 1 (exclusive). */
    public double nextFraction() {
        return source.nextDouble();
    }

    /** Returns true with a probability; draws no number where the probability is 0. */
    public boolean nextBoolean(double probability) {
        return probability > 0 && source.nextDouble() < probability;
    }

    /** Draws an integer from 0 (inclusive) to a bound (exclusive). */
    public int below(int n) {
        return source.nextInt(n);
    }

    /**
     * Draws a duration in nanoseconds.
     *
     * @param meanNanos the mean duration
     * @param spread from 0, always the mean, to 1, exponentially distributed
     */
    public long nextDurationNanos(double meanNanos, double spread) {
        return Math.max(0, Math.round(meanNanos * (1 - spread + spread * exponential.sample())));
    }
}
