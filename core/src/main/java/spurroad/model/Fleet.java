package spurroad.model;

/**
 * The position of a proxy among the proxies of its deployment.
 *
 * @param zone zone of the proxy, or null if unknown
 * @param proxyIndex index of the proxy in the fleet, from 0
 * @param proxyCount number of proxies in the fleet
 * @param gossipEnabled whether proxies may send updates to one another
 */
public record Fleet(ZoneId zone, int proxyIndex, int proxyCount, boolean gossipEnabled) {
    /** A single proxy without gossip, in an unknown zone. */
    public static final Fleet STANDALONE = new Fleet(null, 0, 1, false);

    /**
     * Returns the index of the proxy that owns an endpoint, given by its id, or a tenant, given by its index:
     * the same at every proxy. Without gossip each proxy owns everything that it observes.
     */
    public int owner(long subject) {
        long spread = subject * SplitMix64.GAMMA; // assigns consecutive numbers to different proxies
        return gossipEnabled ? (int) Long.remainderUnsigned(spread >>> 32, proxyCount) : proxyIndex;
    }
}
