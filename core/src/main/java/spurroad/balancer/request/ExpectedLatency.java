package spurroad.balancer.request;

import spurroad.balancer.context.ActiveDeployment;
import spurroad.balancer.context.EventContext;
import spurroad.balancer.endpoint.EndpointState;
import spurroad.balancer.endpoint.EndpointTable;
import spurroad.balancer.endpoint.ServiceTimeModel;
import spurroad.balancer.overload.LoadShedder;
import spurroad.balancer.overload.OriginBacklog;

/**
 * Whether the queue at an endpoint is too long for a request: over the soft limit, so that others are looked
 * at first; or so long that the request would be late, so that it is not sent there at all.
 */
public final class ExpectedLatency {
    // of the request's latency objective: queueing at an endpoint before other candidates are probed
    private static final double SOFT_LIMIT_WAIT_FRACTION = 0.1;
    // of a fetch from the origin: a request that moves misses about as often as not
    private static final double MISS_PROBABILITY_WHEN_MOVED = 0.5;
    // of the time left: a request that is expected to take longer is late too often
    private static final double MAX_EXPECTED_FRACTION = 0.7;
    // the same where owners publish the queues: their mean is more accurate
    private static final double MAX_EXPECTED_FRACTION_WITH_GOSSIP = 0.85;
    // of the shortest latency objective: lower priorities must leave short queues to the highest
    private static final double LOW_PRIORITY_QUEUE_FRACTION = 0.5;
    // latency objectives of queue less for a request that may miss, for each overloaded fraction
    private static final double OVERLOAD_PENALTY_OBJECTIVES = 2;
    // of the requests by their draw: some always go without asking, so that caches are filled
    private static final double MIN_UNQUERIED_FRACTION = 0.05;

    private final ActiveDeployment deployment;
    private final EventContext event;
    private final EndpointTable endpoints;
    private final ServiceTimeModel serviceTimes;
    private final LoadShedder loadShedder;
    private final OriginBacklog originBacklog;

    /** Creates the estimates over the given state of the endpoints. */
    public ExpectedLatency(ActiveDeployment deployment, EventContext event, EndpointTable endpoints,
                           ServiceTimeModel serviceTimes, LoadShedder loadShedder,
                           OriginBacklog originBacklog) {
        this.deployment = deployment;
        this.event = event;
        this.endpoints = endpoints;
        this.serviceTimes = serviceTimes;
        this.loadShedder = loadShedder;
        this.originBacklog = originBacklog;
    }

    /** Returns how long a request sent now is expected to take at an endpoint, in nanoseconds. */
    double expectedNanos(EndpointState endpoint) {
        return serviceTimes.expectedNanos(endpoint, 0, event.now());
    }

    /**
     * Returns whether a request may go to a candidate without looking at others. With gossip the limit is on
     * keys, not on the queue: by the queue of the moment keys left and came back, and missed each time.
     */
    boolean isUnderSoftLimit(EndpointState endpoint, PendingRequest request) {
        if (deployment.gossipEnabled()) {
            return endpoint.keepsKey(request.ringPoint(), event.now());
        }
        double waitNanos = SOFT_LIMIT_WAIT_FRACTION * request.requestClass().latencyObjectiveNanos()
            + expectedMissCostNanos();
        return endpoint.queueLength(event.now()) < serviceTimes.softLimit(endpoint, waitNanos, event.now())
            && !isTooLate(endpoint, request);
    }

    /** A request that moves may miss, so a slow origin makes for patience and a quick one spreads load. */
    private double expectedMissCostNanos() {
        EndpointState origin = endpoints.origin();
        return origin == null ? 0 : MISS_PROBABILITY_WHEN_MOVED * expectedNanos(origin);
    }

    /** Returns whether a request is expected to end too late at an endpoint to be sent there. */
    boolean isTooLate(EndpointState endpoint, PendingRequest request) {
        double queueNanos = queueNanos(endpoint);
        if (queueNanos > maxQueueNanos(request)) {
            return true;
        }
        double maxFraction = deployment.gossipEnabled() ? MAX_EXPECTED_FRACTION_WITH_GOSSIP
            : MAX_EXPECTED_FRACTION;
        return queueNanos > maxFraction * (request.objectiveEndNanos() - event.now());
    }

    /**
     * Returns the expected time at an endpoint; at one where nothing is in flight from here it counts as
     * nothing, whatever its past: the slow first requests of a starting proxy passed for slow endpoints, and
     * nothing was sent any more that could have shown better.
     */
    private double queueNanos(EndpointState endpoint) {
        boolean isQueueReported = deployment.gossipEnabled() && endpoint.load().isFresh(event.now());
        return endpoint.isIdle() && !isQueueReported ? 0 : expectedNanos(endpoint);
    }

    private double maxQueueNanos(PendingRequest request) {
        boolean isUnlimited = deployment.gossipEnabled()
            || request.requestClass().priorityWeight() >= deployment.highestPriorityWeight();
        return isUnlimited ? Double.POSITIVE_INFINITY
            : deployment.shortestObjectiveNanos() * LOW_PRIORITY_QUEUE_FRACTION;
    }

    /**
     * Returns whether, where proxies talk, a request goes to an endpoint that may not have its key cached;
     * else the owners of the candidates are queried first. Writes and requests without a key always go.
     */
    boolean maySendWithoutCacheQuery(PendingRequest request, EndpointState endpoint) {
        if (request.isWrite() || !request.hasKey() || request.requestDraw() < MIN_UNQUERIED_FRACTION) {
            return true;
        }
        if (request.requestDraw() >= originBacklog.admittedReads()) {
            return false;
        }
        double shortestObjectiveNanos = deployment.shortestObjectiveNanos();
        double maxNanos = shortestObjectiveNanos
            * (MAX_EXPECTED_FRACTION - OVERLOAD_PENALTY_OBJECTIVES * loadShedder.overloadedFraction());
        double queueNanos = endpoint.load().isFresh(event.now()) ? expectedNanos(endpoint)
            : MAX_EXPECTED_FRACTION / 2 * shortestObjectiveNanos;
        return queueNanos < maxNanos;
    }
}
