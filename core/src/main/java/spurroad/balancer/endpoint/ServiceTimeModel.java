package spurroad.balancer.endpoint;

import spurroad.balancer.context.ActiveDeployment;

/**
 * Turns queue lengths into times and back: how long a request is expected to take at an endpoint, and how
 * long a queue there may be so that a request waits no longer than it should.
 *
 * <p>By Little's law a completed attempt's time over the queue length that it met, itself included, is the
 * service time of a unit of that length. Where an endpoint has completed few attempts, the mean of all stands
 * in for two. Endpoints differ in speed: the soft limit of a slow one falls by itself, and five requests at a
 * fast one are a shorter queue than three at a slow one.
 */
public final class ServiceTimeModel {
    private static final double MIN_SOFT_LIMIT = 2; // requests; the design's floor
    // of the shortest latency objective, for a request that finds the candidates' queues empty
    private static final double DEFAULT_TIME_FRACTION = 0.1;

    private final ActiveDeployment deployment;
    private final EndpointTable endpoints;
    private final ServiceTime overall = new ServiceTime();

    /** Creates a model in which nothing is known. */
    public ServiceTimeModel(ActiveDeployment deployment, EndpointTable endpoints) {
        this.deployment = deployment;
        this.endpoints = endpoints;
    }

    /** Returns the service time of an endpoint of which nothing is known, in nanoseconds. */
    public double defaultNanos() {
        return deployment.shortestObjectiveNanos() * DEFAULT_TIME_FRACTION / Ring.CANDIDATES;
    }

    /** Returns the time per request in an endpoint's queue, in nanoseconds. */
    public double serviceTimeNanos(EndpointState endpoint, long now) {
        LoadSource source = endpoint.load().source(now);
        // the caches' service time is no guide to an origin that gets few requests: its misses were rejected
        boolean isOrigin = endpoints.isOrigin(endpoint);
        double priorNanos = isOrigin ? defaultNanos() : overall.meanNanos(source, now, defaultNanos());
        if (deployment.gossipEnabled() && source == LoadSource.REPORTED && !isOrigin) {
            return endpoint.load().ownerServiceTimeNanos();
        }
        return endpoint.serviceTime().meanNanos(source, now, priorNanos);
    }

    /** Returns the queue length below which a request waits less than so many nanoseconds. */
    public double softLimit(EndpointState endpoint, double waitNanos, long now) {
        return Math.max(MIN_SOFT_LIMIT, waitNanos / serviceTimeNanos(endpoint, now));
    }

    /**
     * Returns how long a request sent now is expected to take, in nanoseconds.
     *
     * @param requestsAhead requests here that go there before it
     */
    public double expectedNanos(EndpointState endpoint, int requestsAhead, long now) {
        return serviceTimeNanos(endpoint, now) * (endpoint.queueLength(now) + requestsAhead + 1);
    }

    /** Records an attempt's end for its endpoint; the time counts where it reflects the queue. */
    public void recordForEndpoint(Attempt attempt, boolean reflectsQueue, long durationNanos, long now) {
        attempt.endpoint().serviceTime().record(attempt, reflectsQueue, durationNanos, now);
    }

    /** Records an attempt's end for the mean of all cache endpoints. */
    public void recordOverall(Attempt attempt, boolean reflectsQueue, long durationNanos, long now) {
        overall.record(attempt, reflectsQueue, durationNanos, now);
    }
}
