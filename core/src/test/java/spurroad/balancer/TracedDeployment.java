package spurroad.balancer;

import java.util.List;
import spurroad.model.DeduplicationScope;
import spurroad.model.Deployment;
import spurroad.model.Effect;
import spurroad.model.EndpointKindId;
import spurroad.model.Fleet;
import spurroad.model.RequestClass;
import spurroad.model.ZoneId;

/**
 * A deployment for a decision trace.
 *
 * @param name of the trace
 * @param endpoints number of cache endpoints
 * @param simulatedProxies number of the deployment's proxies that are simulated
 * @param requestsPerSecond rate of requests at each simulated proxy, tripled in bursts
 */
record TracedDeployment(String name, int endpoints, int simulatedProxies, double requestsPerSecond, long seed,
                        Deployment deployment) {
    private static final long MS = 1_000_000L;
    private static final EndpointKindId ORIGIN = new EndpointKindId(1);

    /** A proxy without gossip that fetches from the origin itself, with tenants and all effects. */
    static TracedDeployment standalone() {
        return new TracedDeployment("alone", 12, 1, 150, 11,
            new Deployment(requestClasses(DeduplicationScope.ALL), List.of(20.0, 300.0), ORIGIN, true, true,
                true,
                2000 * MS,
                4, 0.3, 3000 * MS, 5 * MS, 2_000 * MS, Fleet.STANDALONE));
    }

    /** Endpoints fetch from the origin; no load probes, no cancellation, pushed endpoint lists. */
    static TracedDeployment withoutOrigin() {
        return new TracedDeployment("without-origin", 8, 1, 200, 12,
            new Deployment(requestClasses(DeduplicationScope.ZONE), List.of(), null, false, false, false, 0,
                3, 0.1,
                8000 * MS, 2 * MS, 10_000 * MS, new Fleet(null, 1, 4, false)));
    }

    static TracedDeployment oneEndpoint() {
        return new TracedDeployment("one-node", 1, 1, 60, 13,
            new Deployment(requestClasses(DeduplicationScope.CELL), List.of(5.0), ORIGIN, true, true, true,
                1000 * MS,
                2, 0.5,
                1000 * MS, 5 * MS, 1_000 * MS, Fleet.STANDALONE));
    }

    static TracedDeployment largeFleet() {
        return new TracedDeployment("400-nodes", 400, 1, 250, 14,
            new Deployment(requestClasses(DeduplicationScope.CELL), List.of(2.0, 50.0, 100.0), ORIGIN, true,
                true,
                true,
                2000 * MS, 4, 0.2, 5000 * MS, 5 * MS, 5_000 * MS, new Fleet(new ZoneId(1), 3, 100, false)));
    }

    /** Proxies with gossip; endpoints fetch from an origin behind them. */
    static TracedDeployment gossip() {
        return new TracedDeployment("talking", 10, 3, 100, 15,
            new Deployment(requestClasses(DeduplicationScope.ALL), List.of(20.0, 30.0, 500.0), null, true,
                true, true,
                2000 * MS, 4, 0.3, 4000 * MS, 5 * MS, 4_000 * MS, new Fleet(null, 0, 3, true)));
    }

    /** Proxies with gossip that fetch from the origin themselves, in several zones. */
    static TracedDeployment gossipWithOrigin() {
        return new TracedDeployment("talking-with-origin", 9, 4, 60, 16,
            new Deployment(requestClasses(DeduplicationScope.ZONE), List.of(40.0, 40.0), ORIGIN, true, true,
                true,
                500 * MS,
                5,
                0.4, 2000 * MS, 5 * MS, 3_000 * MS, new Fleet(new ZoneId(2), 0, 4, true)));
    }

    /** One of many proxies, with few requests and endpoints that operators drain and return. */
    static TracedDeployment quiet() {
        return new TracedDeployment("quiet", 20, 1, 4, 19,
            new Deployment(requestClasses(DeduplicationScope.ALL), List.of(1.0), ORIGIN, true, true, true,
                2000 * MS,
                4, 0.3,
                4000 * MS, 5 * MS, 3_000 * MS, new Fleet(null, 1, 3, false)));
    }

    /** Two of many proxies with gossip; the updates of the others are random. */
    static TracedDeployment gossipLargeFleet() {
        return new TracedDeployment("talking-400-nodes", 400, 2, 200, 17,
            new Deployment(requestClasses(DeduplicationScope.CELL), List.of(0.1), null, false, true, true,
                2000 * MS,
                4,
                0.3,
                6000 * MS, 5 * MS, 6_000 * MS, new Fleet(new ZoneId(0), 0, 100, true)));
    }

    /** An origin whose capacity is below the demand, under short latency objectives. */
    static TracedDeployment overloaded() {
        return new TracedDeployment("overloaded", 5, 1, 600, 18,
            new Deployment(List.of(
                new RequestClass(Effect.IDEMPOTENT, DeduplicationScope.ALL, 0, 60 * MS, 2, 1, 0),
                new RequestClass(Effect.DEDUPLICATED, DeduplicationScope.ALL, 300 * MS, 90 * MS, 0, 8, 0)),
                List.of(50.0, 50.0, 200.0), ORIGIN, true, true, true, 4000 * MS, 4, 0.3, 2000 * MS, 1 * MS,
                3_000 * MS, Fleet.STANDALONE));
    }

    /** Returns a deployment for the proxy with the given index in its fleet. */
    static Deployment forProxy(Deployment deployment, int index) {
        Fleet fleet = deployment.fleet();
        return deployment
            .withFleet(new Fleet(fleet.zone(), index, fleet.proxyCount(), fleet.gossipEnabled()));
    }

    /** Returns the deployment with scaled latency objectives and quotas, and another number of attempts. */
    Deployment withScaledSettings(double factor, int maxAttempts) {
        List<RequestClass> requestClasses = deployment.requestClasses().stream()
            .map(requestClass -> new RequestClass(requestClass.effect(), requestClass.deduplicationScope(),
                requestClass.deduplicationWindowNanos(),
                (long) (requestClass.latencyObjectiveNanos() * factor),
                requestClass.latencyObjectiveStretch(), requestClass.priorityWeight(),
                requestClass.lateValueFraction()))
            .toList();
        List<Double> quotasPerSecond = deployment.tenantQuotasPerSecond().stream()
            .map(quota -> quota * factor).toList();
        return new Deployment(requestClasses, quotasPerSecond, deployment.originKind(),
            deployment.pollsDiscovery(), deployment.loadProbesAllowed(), deployment.cancellationAllowed(),
            deployment.maxRetryAfterNanos(), maxAttempts, deployment.slowStartInitialFraction(),
            deployment.slowStartNanos(), deployment.clockTickNanos(), deployment.idleTimeoutNanos(),
            deployment.fleet());
    }

    private static List<RequestClass> requestClasses(DeduplicationScope scope) {
        return List.of(
            new RequestClass(Effect.IDEMPOTENT, scope, 0, 300 * MS, 0, 1, 0),
            new RequestClass(Effect.DEDUPLICATED, scope, 400 * MS, 400 * MS, 1.5, 5, 0.2),
            new RequestClass(Effect.NON_IDEMPOTENT, scope, 0, 500 * MS, 0, 5, 0));
    }
}
