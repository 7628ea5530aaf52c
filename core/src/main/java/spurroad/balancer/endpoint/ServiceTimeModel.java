package spurroad.balancer.endpoint;

import spurroad.balancer.context.ActiveDeployment;

/**
 * Converts queue lengths to times and back: how long a request is expected to take at an endpoint, and how
 * long the queue may be so that a request waits no longer than a given time.
 *
 * <p>By Little's law, the duration of a completed attempt divided by the queue length when it was sent,
 * including the attempt itself, is the service time per request in the queue. If an endpoint has completed
 * few attempts, the mean of all endpoints counts as two observations. Endpoints differ in speed: a slow
 * endpoint has a lower soft limit, and five requests at a fast endpoint may be a shorter wait than three at a
 * slow one.
 */
public final class ServiceTimeModel {
    private static final double MIN_SOFT_LIMIT = 2; // requests; minimum required by the design
    // of the shortest latency objective: default duration of a request while its candidates' queues are empty
    private static final double DEFAULT_TIME_FRACTION = 0.1;

    private final ActiveDeployment deployment;
    private final EndpointTable endpoints;
    private final ServiceTime overall = new ServiceTime();

    /** Creates a model without observations. */
    public ServiceTimeModel(ActiveDeployment deployment, EndpointTable endpoints) {
        this.deployment = deployment;
        this.endpoints = endpoints;
    }

    /**
     * Returns the service time of an endpoint without observations, in nanoseconds per request in the queue.
     */
    public double defaultNanos() {
        return deployment.shortestObjectiveNanos() * DEFAULT_TIME_FRACTION / Ring.CANDIDATES;
    }

    /** Returns the service time of an endpoint, in nanoseconds per request in its queue. */
    public double serviceTimeNanos(EndpointState endpoint, long now) {
        LoadSource source = endpoint.load().source(now);
        // the service time of cache endpoints says nothing about an origin that gets few requests because
        // cache misses were rejected
        boolean isOrigin = endpoints.isOrigin(endpoint);
        double priorNanos = isOrigin ? defaultNanos() : overall.meanNanos(source, now, defaultNanos());
        if (deployment.gossipEnabled() && source == LoadSource.REPORTED && !isOrigin) {
            return endpoint.load().ownerServiceTimeNanos();
        }
        return endpoint.serviceTime().meanNanos(source, now, priorNanos);
    }

    /**
     * Returns the queue length in requests below which a request waits less than the given time, at least
     * {@link #MIN_SOFT_LIMIT}.
     */
    public double softLimit(EndpointState endpoint, double waitNanos, long now) {
        return Math.max(MIN_SOFT_LIMIT, waitNanos / serviceTimeNanos(endpoint, now));
    }

    /**
     * Returns how long a request sent now is expected to take, in nanoseconds.
     *
     * @param requestsAhead requests waiting at this proxy that will be sent to the endpoint first
     */
    public double expectedNanos(EndpointState endpoint, int requestsAhead, long now) {
        return serviceTimeNanos(endpoint, now) * (endpoint.queueLength(now) + requestsAhead + 1);
    }

    /** Records an attempt's end for its endpoint; the duration counts only if it reflects the queue. */
    public void recordForEndpoint(Attempt attempt, boolean reflectsQueue, long durationNanos, long now) {
        attempt.endpoint().serviceTime().record(attempt, reflectsQueue, durationNanos, now);
    }

    /**
     * Records an attempt's end for the mean of all cache endpoints; the duration counts only if it reflects
     * the queue.
     */
    public void recordOverall(Attempt attempt, boolean reflectsQueue, long durationNanos, long now) {
        overall.record(attempt, reflectsQueue, durationNanos, now);
    }
}
