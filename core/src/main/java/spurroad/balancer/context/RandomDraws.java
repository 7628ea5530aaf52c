package spurroad.balancer.context;

import java.util.Random;

/**
 * The random numbers that decisions use, with one method for each purpose, all from one generator.
 *
 * <p>With the same seed and the same events, the numbers are drawn in the same order, so that a run can be
 * repeated exactly. Therefore a number must only be drawn if its decision needs it. Called from the load
 * balancer's thread only.
 */
public final class RandomDraws {
    private final Random random;

    /** Creates a generator with the given seed. */
    public RandomDraws(long seed) {
        random = new Random(seed);
    }

    /** Returns the ring point from which the candidates of a request without a key are searched. */
    public long ringPoint() {
        return random.nextLong();
    }

    /**
     * Returns a number from 0 to 1 that is drawn once for a request and used for all random choices about it.
     */
    public double requestDraw() {
        return random.nextDouble();
    }

    /**
     * Returns a number from 0 to 1 that decides whether a request is in the fraction of its tenant's requests
     * that exceeds the quota.
     */
    public double overQuotaDraw() {
        return random.nextDouble();
    }

    /** Returns a number from 0 to 1 that decides whether a request over quota is shed. */
    public double sheddingDraw() {
        return random.nextDouble();
    }

    /** Returns a factor from 0.5 to 1.5 that spreads the times at which rejected clients retry. */
    public double retryAfterFactor() {
        return 0.5 + random.nextDouble();
    }

    /** Returns a number from 0 to 1 that spreads the times at which proxies poll discovery again. */
    public double backoffDraw() {
        return random.nextDouble();
    }

    /**
     * Returns a random time slot, from 0 to the number of proxies, for the first request to an endpoint that
     * operators returned to use.
     */
    public double firstRequestSlot(int proxyCount) {
        return random.nextDouble() * proxyCount;
    }

    /** Returns a random index from 0 to size - 1, for a choice among candidates whose load is unknown. */
    public int candidateIndex(int size) {
        return random.nextInt(size);
    }
}
