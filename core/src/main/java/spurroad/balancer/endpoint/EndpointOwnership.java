package spurroad.balancer.endpoint;

import spurroad.balancer.context.ActiveDeployment;
import spurroad.balancer.context.EventContext;
import spurroad.balancer.peer.PeerUpdates;
import spurroad.balancer.peer.UpdateBudget;
import spurroad.model.CacheKey;
import spurroad.model.PeerUpdate;

/**
 * Both sides of an endpoint's ownership: telling the owner of attempts there, and, for endpoints that this
 * proxy owns, telling all proxies the queue length and the fraction of its keys that the endpoint keeps.
 *
 * <p>That fraction falls while a request is expected to take longer at the endpoint than at the mean of all,
 * and grows back slowly otherwise: keys leave in place of single requests, and stay away, as each move costs
 * a cache miss. Used by the endpoints' owners only; the origin that the proxies themselves fetch from has
 * none.
 */
public final class EndpointOwnership {
    // of the cached fraction, per second, for each unit of excess: cached copies move slower than queues
    private static final double GAIN = 0.4;
    private static final double RECOVERY = 0.1; // units by which keys come home by themselves
    private static final double MIN_EXCESS = -1; // units
    private static final double MAX_EXCESS = 3; // units
    // of the shortest latency objective, over the mean of all endpoints: one unit
    private static final double EXCESS_UNIT_FRACTION = 0.5;
    // of the shortest latency objective: more queueing is published to all proxies
    private static final double OVERLOADED_WAIT_FRACTION = 0.1;

    private final ActiveDeployment deployment;
    private final EventContext event;
    private final EndpointTable endpoints;
    private final ServiceTimeModel serviceTimes;
    private final PeerUpdates peers;

    /** Creates the two sides over the endpoints of a proxy. */
    public EndpointOwnership(ActiveDeployment deployment, EventContext event, EndpointTable endpoints,
                             ServiceTimeModel serviceTimes, PeerUpdates peers) {
        this.deployment = deployment;
        this.event = event;
        this.endpoints = endpoints;
        this.serviceTimes = serviceTimes;
        this.peers = peers;
    }

    /** Notifies the owner of an endpoint, where gossip is on; the origin that proxies fetch from has none. */
    public void tellOwner(EndpointState endpoint, PeerUpdate.Topic topic, double value, CacheKey key) {
        if (deployment.gossipEnabled() && !endpoints.isOrigin(endpoint)) {
            long id = endpoint.id().value();
            peers.sendToOwner(id, new PeerUpdate(topic, id, value, key));
        }
    }

    /**
     * As the owner: records that an attempt from some proxy began or ended, and notifies all if that is due.
     */
    public void onInFlightUpdate(EndpointState endpoint, PeerUpdate update) {
        long now = event.now();
        endpoint.onInFlightUpdate(update, now, serviceTimes.defaultNanos());
        CachedFraction cached = endpoint.cachedFraction();
        if (now - cached.updatedNanos() >= UpdateBudget.MIN_INTERVAL_NANOS) {
            cached.grow(GAIN * (RECOVERY - excess(endpoint)), now);
        }
        double waitNanos = OVERLOADED_WAIT_FRACTION * deployment.shortestObjectiveNanos();
        boolean overloaded = endpoint.load().reportedLoad()
            >= serviceTimes.softLimit(endpoint, waitNanos, now);
        if (endpoint.ownership().tryPublish(cached.fraction(), overloaded, now,
            deployment.fleet().proxyCount())) {
            peers.sendToAll(endpoint.loadUpdate());
        }
    }

    /** As the owner: replies to a proxy's query for the queue and whether a key is cached. */
    public void onCacheQuery(EndpointState endpoint, PeerUpdate query) {
        if (query.value() < deployment.fleet().proxyCount()) { // else there is no such proxy
            peers.sendTo((int) query.value(), endpoint.cacheStatus(query.key(), event.now()));
        }
    }

    /** Returns how far the expected time at an endpoint is over the mean of all, in units, bounded. */
    private double excess(EndpointState endpoint) {
        long now = event.now();
        double meanNanos = endpoints.cacheEndpoints().stream()
            .mapToDouble(each -> serviceTimes.expectedNanos(each, 0, now)).average().orElse(0);
        double overNanos = serviceTimes.expectedNanos(endpoint, 0, now) - meanNanos;
        double units = overNanos / (EXCESS_UNIT_FRACTION * deployment.shortestObjectiveNanos());
        return Math.max(MIN_EXCESS, Math.min(MAX_EXCESS, units));
    }
}
