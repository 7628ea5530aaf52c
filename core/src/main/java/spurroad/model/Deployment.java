package spurroad.model;

import java.util.List;

/**
 * The settings on which the decisions of a proxy are based; times are in nanoseconds.
 *
 * @param requestClasses the request classes, identified by their index
 * @param tenantQuotasPerSecond this proxy's share of each tenant's quota, in requests per second; tenants are
 *     identified by their index
 * @param originKind kind of the origin if the proxies fetch from it; null if the endpoints do
 * @param pollsDiscovery whether a proxy gets the endpoint list only by polling
 * @param loadProbesAllowed whether load probes may be sent to endpoints
 * @param cancellationAllowed whether an attempt in flight may be cancelled
 * @param maxRetryAfterNanos longest Retry-After of a rejection; zero if rejections carry none
 * @param maxAttempts maximum number of attempts of one request
 * @param slowStartInitialFraction fraction of a warm endpoint's requests that a cold endpoint can handle when
 *     it starts
 * @param slowStartNanos duration of an endpoint's warm-up
 * @param clockTickNanos margin by which actions precede their deadline, so that they are in time
 * @param idleTimeoutNanos how long endpoints keep an idle connection open
 * @param fleet position of this proxy in its fleet
 */
public record Deployment(List<RequestClass> requestClasses, List<Double> tenantQuotasPerSecond,
                         EndpointKindId originKind, boolean pollsDiscovery, boolean loadProbesAllowed,
                         boolean cancellationAllowed, long maxRetryAfterNanos, int maxAttempts,
                         double slowStartInitialFraction, long slowStartNanos, long clockTickNanos,
                         long idleTimeoutNanos, Fleet fleet) {
    /** Returns whether an endpoint is the origin from which the proxies fetch. */
    public boolean isOrigin(Endpoint endpoint) {
        return endpoint.kind().equals(originKind);
    }

    /** Returns these settings with another position in the fleet. */
    public Deployment withFleet(Fleet otherFleet) {
        return new Deployment(requestClasses, tenantQuotasPerSecond, originKind, pollsDiscovery,
            loadProbesAllowed, cancellationAllowed, maxRetryAfterNanos, maxAttempts,
            slowStartInitialFraction, slowStartNanos, clockTickNanos, idleTimeoutNanos, otherFleet);
    }

    /** Returns the shortest latency objective of the request classes, or the default if there are none. */
    public long shortestLatencyObjectiveNanos(long defaultNanos) {
        return requestClasses.stream().mapToLong(RequestClass::latencyObjectiveNanos).min()
            .orElse(defaultNanos);
    }
}
