package spurroad.balancer.context;

import java.util.Random;

/**
 * The random numbers that decisions use, each kind by its name, all from one generator.
 *
 * <p>With the same seed and the same events the draws come in the same order, so that a run can be repeated
 * to the bit; a draw must therefore only be made where its decision needs it. Called from the load balancer's
 * thread only.
 */
public final class RandomDraws {
    private final Random random;

    /** Starts the generator from a seed. */
    public RandomDraws(long seed) {
        random = new Random(seed);
    }

    /** Returns the ring point at which a request without a key starts. */
    public long ringPoint() {
        return random.nextLong();
    }

    /**
     * Returns the draw of a request, from 0 to 1, which decides all that is up to chance for this request.
     */
    public double requestDraw() {
        return random.nextDouble();
    }

    /**
     * Returns a draw from 0 to 1 for whether a request belongs to the part of its tenant's requests over its
     * quota.
     */
    public double overQuotaDraw() {
        return random.nextDouble();
    }

    /** Returns a draw from 0 to 1 for whether a request over quota is shed. */
    public double sheddingDraw() {
        return random.nextDouble();
    }

    /** Returns a factor from 0.5 to 1.5 that spreads the times at which rejected clients come back. */
    public double retryAfterFactor() {
        return 0.5 + random.nextDouble();
    }

    /** Returns a draw from 0 to 1 that spreads the times at which proxies poll discovery again. */
    public double backoffDraw() {
        return random.nextDouble();
    }

    /**
     * Returns this proxy's turn among so many, from 0 to their number, at an endpoint that staff returned.
     */
    public double firstRequestSlot(int proxyCount) {
        return random.nextDouble() * proxyCount;
    }

    /** Returns an index from 0 to size - 1, for a choice among candidates of which nothing is known. */
    public int candidateIndex(int size) {
        return random.nextInt(size);
    }
}
