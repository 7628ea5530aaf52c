package spurroad.balancer.endpoint;

import spurroad.balancer.context.ActiveDeployment;
import spurroad.balancer.context.EventContext;
import spurroad.balancer.peer.PeerUpdates;
import spurroad.balancer.peer.UpdateBudget;
import spurroad.model.CacheKey;
import spurroad.model.PeerUpdate;

/**
 * Handles both sides of endpoint ownership: notifies an endpoint's owner of attempts there, and, for the
 * endpoints that this proxy owns, notifies all proxies of the queue length and of the fraction of its keys
 * that the endpoint keeps.
 *
 * <p>That fraction falls while a request is expected to take longer at the endpoint than the mean over all
 * endpoints, and otherwise grows back slowly. Keys move instead of single requests, and they stay away for a
 * while, because each move costs a cache miss. Only the endpoints' owners compute the fraction; the origin
 * from which the proxies themselves fetch has no owner.
 */
public final class EndpointOwnership {
    // growth rate of the cached fraction per second and unit of excess; low, so that cached copies move more
    // slowly than queues change
    private static final double GROWTH_RATE_PER_EXCESS_UNIT = 0.4;
    // below this excess the cached fraction grows, so that keys return while the endpoint is at the mean
    private static final double RECOVERY_EXCESS_UNITS = 0.1;
    private static final double MIN_EXCESS_UNITS = -1;
    private static final double MAX_EXCESS_UNITS = 3;
    // one unit of excess: expected time above the mean of all endpoints, as a fraction of the shortest
    // latency objective
    private static final double EXCESS_UNIT_OBJECTIVE_FRACTION = 0.5;
    // with more queueing than this fraction of the shortest latency objective, an endpoint counts as
    // overloaded and its queue length is published to all proxies
    private static final double OVERLOADED_WAIT_OBJECTIVE_FRACTION = 0.1;

    private final ActiveDeployment deployment;
    private final EventContext event;
    private final EndpointTable endpoints;
    private final ServiceTimeModel serviceTimes;
    private final PeerUpdates peers;

    /** Creates the ownership logic for the endpoints of a proxy. */
    public EndpointOwnership(ActiveDeployment deployment, EventContext event, EndpointTable endpoints,
                             ServiceTimeModel serviceTimes, PeerUpdates peers) {
        this.deployment = deployment;
        this.event = event;
        this.endpoints = endpoints;
        this.serviceTimes = serviceTimes;
        this.peers = peers;
    }

    /**
     * Notifies an endpoint's owner if gossip is enabled; the origin that the proxies fetch from has no owner.
     */
    public void notifyOwner(EndpointState endpoint, PeerUpdate.Topic topic, double value, CacheKey key) {
        if (deployment.gossipEnabled() && !endpoints.isOrigin(endpoint)) {
            long id = endpoint.id().value();
            peers.sendToOwner(id, new PeerUpdate(topic, id, value, key));
        }
    }

    /**
     * Records, as the owner, that an attempt from some proxy began or ended, and notifies all proxies if an
     * update is due.
     */
    public void onInFlightUpdate(EndpointState endpoint, PeerUpdate update) {
        long now = event.now();
        endpoint.onInFlightUpdate(update, now, serviceTimes.defaultNanos());
        CachedFraction cachedFraction = endpoint.cachedFraction();
        if (now - cachedFraction.updatedNanos() >= UpdateBudget.MIN_INTERVAL_NANOS) {
            cachedFraction
                .adjust(GROWTH_RATE_PER_EXCESS_UNIT * (RECOVERY_EXCESS_UNITS - excessUnits(endpoint)), now);
        }
        double maxWaitNanos = OVERLOADED_WAIT_OBJECTIVE_FRACTION * deployment.shortestObjectiveNanos();
        boolean overloaded = endpoint.load().reportedQueueLength()
            >= serviceTimes.softLimit(endpoint, maxWaitNanos, now);
        if (endpoint.ownership().tryPublish(cachedFraction.fraction(), overloaded, now,
            deployment.fleet().proxyCount())) {
            peers.sendToAll(endpoint.loadUpdate());
        }
    }

    /** Replies, as the owner, to a proxy that queries the queue length and whether a key is cached. */
    public void onCacheQuery(EndpointState endpoint, PeerUpdate query) {
        if (query.value() < deployment.fleet().proxyCount()) { // ignores the index of an unknown proxy
            peers.sendTo((int) query.value(), endpoint.cacheStatus(query.key(), event.now()));
        }
    }

    /**
     * Returns how far the expected time at an endpoint exceeds the mean of all cache endpoints, in units of
     * {@link #EXCESS_UNIT_OBJECTIVE_FRACTION} and bounded.
     */
    private double excessUnits(EndpointState endpoint) {
        long now = event.now();
        double meanNanos = endpoints.cacheEndpoints().stream()
            .mapToDouble(cacheEndpoint -> serviceTimes.expectedNanos(cacheEndpoint, 0, now)).average()
            .orElse(0);
        double excessNanos = serviceTimes.expectedNanos(endpoint, 0, now) - meanNanos;
        double units = excessNanos / (EXCESS_UNIT_OBJECTIVE_FRACTION * deployment.shortestObjectiveNanos());
        return Math.max(MIN_EXCESS_UNITS, Math.min(MAX_EXCESS_UNITS, units));
    }
}
