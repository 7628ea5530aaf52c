package spurroad.balancer.request;

import spurroad.balancer.context.ActiveDeployment;
import spurroad.balancer.context.EventContext;
import spurroad.balancer.endpoint.EndpointState;
import spurroad.balancer.endpoint.OutlierDetector;
import spurroad.balancer.endpoint.SlowStart;
import spurroad.balancer.overload.LoadShedder;
import spurroad.balancer.statistics.DecayingAverage;

/**
 * Decides whether an endpoint is available to a request: ready, not excluded after an earlier attempt,
 * allowed by outlier detection, and warm enough.
 */
public final class EndpointAvailability {
    private final ActiveDeployment deployment;
    private final EventContext event;
    private final OutlierDetector outlierDetector;
    private final LoadShedder loadShedder;
    private final DecayingAverage proxyRequests;

    /**
     * Creates the check.
     *
     * @param proxyRequests exponentially decayed number of requests at this proxy, counted by the load
     *     balancer
     */
    public EndpointAvailability(ActiveDeployment deployment, EventContext event,
                                OutlierDetector outlierDetector, LoadShedder loadShedder,
                                DecayingAverage proxyRequests) {
        this.deployment = deployment;
        this.event = event;
        this.outlierDetector = outlierDetector;
        this.loadShedder = loadShedder;
        this.proxyRequests = proxyRequests;
    }

    /** Returns whether an endpoint may be a candidate of a request. */
    boolean isAvailable(EndpointState endpoint, PendingRequest request) {
        return endpoint.isReady() && !request.excludes(endpoint)
            && outlierDetector.allows(endpoint, request.isIdempotent())
            && slowStartAllows(endpoint, request);
    }

    /**
     * Returns whether the slow start of an endpoint allows a request, by the request's random draw. An
     * endpoint that is not warm gets first attempts only, because retries of requests that others had
     * rejected overloaded cold endpoints. It gets fewer of them during overload, when clients retry as well.
     */
    boolean slowStartAllows(EndpointState endpoint, PendingRequest request) {
        SlowStart slowStart = endpoint.slowStart();
        long now = event.now();
        if (slowStart.isWarm(now, deployment.settings())) {
            return true;
        }
        if (request.hasAttempts()) {
            return false;
        }
        double demand = slowStart.demandRatio(proxyRequests.sum(now), now);
        double allowedFraction = slowStart.sustainableFraction(now, deployment.settings())
            * (1 - loadShedder.overloadedFraction());
        return request.requestDraw() * demand < allowedFraction;
    }

    /** Returns whether the warm-up of an endpoint has ended. */
    boolean isWarm(EndpointState endpoint) {
        return endpoint.slowStart().isWarm(event.now(), deployment.settings());
    }
}
