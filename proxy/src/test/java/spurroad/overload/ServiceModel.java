package spurroad.overload;

/**
 * How a {@link FakeEndpoint} serves requests.
 *
 * @param concurrency number of requests served at once
 * @param queueLimit number of requests that may wait; further ones are rejected
 * @param meanServiceNanos mean of the exponentially distributed service time
 * @param missFraction fraction of reads that a cache node answers with a miss
 * @param largeValueFraction fraction of values that are large
 */
record ServiceModel(int concurrency, int queueLimit, long meanServiceNanos, double missFraction,
                    double largeValueFraction) {
    private static final long NANOS_PER_MS = 1_000_000L;

    /** A cache node of the load drivers. */
    static ServiceModel cacheNode() {
        return new ServiceModel(32, 64, 15 * NANOS_PER_MS, 0.15, 0.02);
    }

    /** The origin behind the cache nodes. */
    static ServiceModel origin() {
        return new ServiceModel(64, 128, 30 * NANOS_PER_MS, 0, 0.02);
    }
}
