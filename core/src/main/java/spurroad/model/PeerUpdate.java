package spurroad.model;

/**
 * A message from one proxy to another about an endpoint, a tenant or the origin: a hint that expires, and
 * that may be lost, duplicated or wrong.
 *
 * @param subject id of an endpoint, index of a tenant, or 0 for the origin
 * @param value depends on the topic: a change of weight, a queue length, the index of a proxy, or a fraction
 * @param serviceTimeNanos service time per queued request, with {@link Topic#LOAD} and
 *     {@link Topic#CACHE_STATUS} only
 * @param cachedFraction fraction of its keys that the endpoint keeps, with {@link Topic#LOAD}; 1 or 0 with
 *     {@link Topic#CACHE_STATUS}
 * @param key the key concerned, with {@link Topic#IN_FLIGHT}, {@link Topic#CACHE_QUERY} and
 *     {@link Topic#CACHE_STATUS} only
 */
public record PeerUpdate(Topic topic, long subject, double value, long serviceTimeNanos,
                         double cachedFraction, CacheKey key) {
    /** Creates an update without a service time, a cached fraction or a key. */
    public PeerUpdate(Topic topic, long subject, double value) {
        this(topic, subject, value, 0, 1, CacheKey.NONE);
    }

    /** Creates an update about a key. */
    public PeerUpdate(Topic topic, long subject, double value, CacheKey key) {
        this(topic, subject, value, 0, 1, key);
    }

    /** Creates an update with the load of an endpoint. */
    public PeerUpdate(Topic topic, long subject, double value, long serviceTimeNanos,
                      double cachedFraction) {
        this(topic, subject, value, serviceTimeNanos, cachedFraction, CacheKey.NONE);
    }

    /** Creates the update that reports the end of a write to the origin's owner. */
    public static PeerUpdate ofOriginWrite(boolean late) {
        return new PeerUpdate(Topic.ORIGIN_WRITE, 0, late ? 1 : 0);
    }

    /** The topic of an update. The order of the constants defines their codes on the wire. */
    public enum Topic {
        /**
         * To an endpoint's owner: an attempt there began (1), succeeded (its negated remaining weight) or
         * failed (its remaining weight). The key is that of a write when it begins, and of a read when it
         * ends.
         */
        IN_FLIGHT,
        /**
         * From an endpoint's owner to all proxies: the endpoint's queue length over all proxies, and the
         * fraction of its keys that it keeps.
         */
        LOAD,
        /** To a tenant's owner: a request of the tenant arrived. */
        TENANT_REQUEST,
        /** From a tenant's owner to all proxies: the fraction of the tenant's requests over its quota. */
        OVER_QUOTA,
        /** To the origin's owner, if endpoints fetch: a write ended in time (0), or late or failed (1). */
        ORIGIN_WRITE,
        /** From the origin's owner to all proxies: the admitted fraction of requests to the origin. */
        ORIGIN_ADMISSION,
        /**
         * To an endpoint's owner, from the proxy with the index {@code value}: asks whether the endpoint has
         * a key cached.
         */
        CACHE_QUERY,
        /** The owner's answer: as {@link #LOAD}, but the fraction is 1 if the key is cached, otherwise 0. */
        CACHE_STATUS
    }
}
