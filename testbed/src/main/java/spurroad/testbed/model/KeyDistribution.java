package spurroad.testbed.model;

import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateDiscreteSampler;
import spurroad.testbed.scenario.Scenario.Load;

/**
 * Draws the cache key of each request: ranks are Zipf distributed and drift over the keys with time; a part
 * of all requests may ask for one hot key.
 */
final class KeyDistribution {
    private static final double NANOS_PER_SECOND = 1e9;

    private final Load load;
    private final RandomStream random;
    /** Null where all keys are equally popular. */
    private final SharedStateDiscreteSampler zipfRanks;
    private double hotKeyFraction;
    private int hotKey;

    KeyDistribution(Load load, RandomStream random) {
        this.load = load;
        this.random = random;
        zipfRanks = load.zipf() > 0
            ? RejectionInversionZipfSampler.of(random.source(), load.keys(), load.zipf()) : null;
    }

    /** Draws the key of a request that is due at a time. */
    int nextKey(long dueNanos) {
        if (random.nextBoolean(hotKeyFraction)) {
            return hotKey;
        }
        int rank = zipfRanks == null ? random.below(load.keys()) : zipfRanks.sample() - 1;
        long drift = (long) (load.drift() * dueNanos / NANOS_PER_SECOND);
        return (int) ((rank + drift) % load.keys());
    }

    /** Draws a new hot key, which a fraction of all requests asks for from now on; 0 for none. */
    void setHotKeyFraction(double fraction) {
        hotKeyFraction = fraction;
        hotKey = random.below(load.keys());
    }
}
