package spurroad.balancer.request;

import spurroad.balancer.context.ActiveDeployment;
import spurroad.balancer.context.EventContext;
import spurroad.balancer.endpoint.EndpointState;
import spurroad.balancer.endpoint.EndpointTable;
import spurroad.balancer.endpoint.ServiceTimeModel;
import spurroad.balancer.overload.LoadShedder;
import spurroad.balancer.overload.OriginBacklog;

/**
 * Decides whether the queue at an endpoint is too long for a request: above the soft limit, so that other
 * candidates are considered first, or so long that the request would be late and is not sent there at all.
 */
public final class ExpectedLatency {
    // fraction of the latency objective: if queueing takes longer, other candidates are probed
    private static final double SOFT_LIMIT_WAIT_FRACTION = 0.1;
    // a request sent to a candidate other than the first misses the cache about half the time
    private static final double MISS_PROBABILITY_WHEN_MOVED = 0.5;
    // fraction of the time until the latency objective: a request expected to take longer is late too often
    private static final double MAX_EXPECTED_FRACTION = 0.7;
    // higher with gossip: the owners publish the queues, so the expected mean is more accurate
    private static final double MAX_EXPECTED_FRACTION_WITH_GOSSIP = 0.85;
    // fraction of the shortest latency objective: queue limit of lower priorities, so that the
    // queues stay short for the highest
    private static final double LOW_PRIORITY_QUEUE_FRACTION = 0.5;
    // shortens the queue accepted for a read that may miss: multiples of the shortest latency objective at an
    // overloaded fraction of 1
    private static final double OVERLOAD_PENALTY_OBJECTIVES = 2;
    // fraction of reads, drawn at random, that are sent without a cache query so that caches are filled
    private static final double MIN_UNQUERIED_FRACTION = 0.05;

    private final ActiveDeployment deployment;
    private final EventContext event;
    private final EndpointTable endpoints;
    private final ServiceTimeModel serviceTimes;
    private final LoadShedder loadShedder;
    private final OriginBacklog originBacklog;

    /** Creates estimates from the state of the given modules. */
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

    /** Returns the expected latency, in nanoseconds, of a request sent to an endpoint now. */
    double expectedNanos(EndpointState endpoint) {
        return serviceTimes.expectedNanos(endpoint, 0, event.now());
    }

    /**
     * Returns whether a request may go to a candidate without considering others. With gossip this depends on
     * whether the endpoint keeps the key and not on its current queue: with a limit on the queue, keys moved
     * away and back and missed the cache each time.
     */
    boolean isUnderSoftLimit(EndpointState endpoint, PendingRequest request) {
        if (deployment.gossipEnabled()) {
            return endpoint.retainsKey(request.ringPoint(), event.now());
        }
        double waitNanos = SOFT_LIMIT_WAIT_FRACTION * request.requestClass().latencyObjectiveNanos()
            + expectedMissCostNanos();
        return endpoint.queueLength(event.now()) < serviceTimes.softLimit(endpoint, waitNanos, event.now())
            && !isTooLate(endpoint, request);
    }

    /**
     * Returns the expected cost, in nanoseconds, of a cache miss at another candidate: requests wait longer
     * for the first candidate if the origin is slow, and spread sooner if it is fast.
     */
    private double expectedMissCostNanos() {
        EndpointState origin = endpoints.origin();
        return origin == null ? 0 : MISS_PROBABILITY_WHEN_MOVED * expectedNanos(origin);
    }

    /** Returns whether a request is expected to complete too late at an endpoint to be sent there. */
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
     * Returns the expected latency at an endpoint in nanoseconds. It is 0 if no attempt from this proxy is in
     * flight there and the queue is not known from gossip: the slow first requests of a starting proxy made
     * endpoints look slow, and no request was sent that could have corrected this.
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
     * Returns whether, with gossip, a request may be sent to an endpoint that may not have its key cached.
     * Otherwise the owners of the candidates are queried first. Always true for writes and for requests
     * without a key.
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
