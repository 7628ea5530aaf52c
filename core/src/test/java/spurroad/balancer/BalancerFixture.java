package spurroad.balancer;

import java.util.ArrayList;
import java.util.List;
import spurroad.model.CacheKey;
import spurroad.model.CellId;
import spurroad.model.Decisions;
import spurroad.model.DeduplicationScope;
import spurroad.model.Deployment;
import spurroad.model.Effect;
import spurroad.model.Endpoint;
import spurroad.model.EndpointId;
import spurroad.model.EndpointKindId;
import spurroad.model.EndpointPhase;
import spurroad.model.Fleet;
import spurroad.model.LoadReport;
import spurroad.model.Outcome;
import spurroad.model.PeerUpdate;
import spurroad.model.RequestClass;
import spurroad.model.RequestClassId;
import spurroad.model.RequestId;
import spurroad.model.TenantId;
import spurroad.model.ZoneId;

/**
 * A load balancer with a simulated clock, and its latest decisions. Each call that returns decisions clears
 * the previous ones. Times are nanoseconds unless a name says otherwise.
 */
public final class BalancerFixture {
    public static final long MS = 1_000_000L;
    public static final EndpointKindId CACHE = new EndpointKindId(0);
    public static final EndpointKindId ORIGIN = new EndpointKindId(1);
    public static final RequestClassId READ = new RequestClassId(0);
    public static final RequestClassId DEDUPLICATED = new RequestClassId(1);
    public static final RequestClassId NON_IDEMPOTENT = new RequestClassId(2);
    final Deployment deployment;
    final LoadBalancer balancer;
    final Decisions decisions = new Decisions();
    long nowNanos = 100_000 * MS;
    long proxyDelayNanos;
    int attemptsStarted; // by updates from other proxies

    BalancerFixture(boolean withOrigin, DeduplicationScope scope) {
        this(withOrigin, scope, 7, Fleet.STANDALONE);
    }

    BalancerFixture(boolean withOrigin, DeduplicationScope scope, long seed, Fleet fleet) {
        deployment = new Deployment(List.of(
            new RequestClass(Effect.IDEMPOTENT, scope, 0, 1000 * MS, 0, 1, 0),
            new RequestClass(Effect.DEDUPLICATED, scope, 800 * MS, 1000 * MS, 0, 5, 0),
            new RequestClass(Effect.NON_IDEMPOTENT, scope, 0, 1000 * MS, 0, 5, 0)), List.of(5.0, 1000.0),
            withOrigin ? ORIGIN : null, true, true, true, 2000 * MS, 4, 0.3, 8000 * MS, 5 * MS,
            10_000 * MS, fleet);
        balancer = new LoadBalancer(deployment, seed);
    }

    /** Creates a fixture with the cache endpoints 0 to {@code count - 1} and optionally the origin, 99. */
    static BalancerFixture of(int count, boolean withOrigin) {
        BalancerFixture fixture = new BalancerFixture(withOrigin, DeduplicationScope.ALL);
        fixture.updateEndpoints(true, endpoints(count, withOrigin));
        return fixture;
    }

    /** Returns the first three candidates of a key, found by failing the attempts one after the other. */
    static List<Long> candidatesOf(long key) {
        BalancerFixture fixture = of(8, false);
        List<Long> found = new ArrayList<>(List.of(fixture.targetOf(1, READ, key)));
        for (int number = 0; number < 2; number++) {
            fixture.endAttempt(1, number, Outcome.NO_CONNECTION);
            found.add(fixture.firstTarget());
        }
        return found;
    }

    static List<Endpoint> endpoints(int count, boolean withOrigin) {
        List<Endpoint> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(endpoint(i, EndpointPhase.READY, 0));
        }
        if (withOrigin) {
            entries.add(origin(EndpointPhase.READY, 0));
        }
        return entries;
    }

    static Endpoint origin(EndpointPhase phase, long startedNanos) {
        return new Endpoint(new EndpointId(99), ORIGIN, new ZoneId(0), new CellId(0), startedNanos, 1, phase);
    }

    static Endpoint endpoint(long endpoint, EndpointPhase phase, long startedNanos) {
        return new Endpoint(new EndpointId(endpoint), CACHE, new ZoneId((int) endpoint % 2),
            new CellId((int) endpoint / 2),
            startedNanos, 1, phase);
    }

    Decisions updateEndpoints(boolean complete, List<Endpoint> entries) {
        decisions.clear();
        balancer.onEndpointUpdate(nowNanos, entries, complete, decisions);
        return decisions;
    }

    /** Updates one endpoint, which is new or has changed. */
    Decisions updateEndpoint(long id, EndpointPhase phase, long startedNanos) {
        return updateEndpoints(false, List.of(endpoint(id, phase, startedNanos)));
    }

    Decisions setDrained(long endpoint, boolean drained) {
        decisions.clear();
        balancer.onAdminDrain(nowNanos, new EndpointId(endpoint), drained, decisions);
        return decisions;
    }

    /** Returns a copy of the settings that allows load probes or not. */
    static Deployment withLoadProbes(Deployment current, boolean allowed) {
        return new Deployment(current.requestClasses(), current.tenantQuotasPerSecond(), current.originKind(),
            current.pollsDiscovery(), allowed, current.cancellationAllowed(), current.maxRetryAfterNanos(),
            current.maxAttempts(), current.slowStartInitialFraction(), current.slowStartNanos(),
            current.clockTickNanos(), current.idleTimeoutNanos(), current.fleet());
    }

    Decisions changeDeployment(Deployment next) {
        decisions.clear();
        balancer.onDeploymentChange(nowNanos, next, decisions);
        return decisions;
    }

    Decisions failDiscovery() {
        decisions.clear();
        balancer.onDiscoveryFailure(nowNanos, decisions);
        return decisions;
    }

    Decisions disconnectClient(long request) {
        decisions.clear();
        balancer.onClientDisconnect(nowNanos, new RequestId(request), decisions);
        return decisions;
    }

    Decisions request(long request, RequestClassId requestClass, long key) {
        return request(request, requestClass, key, 1, 4000 * MS);
    }

    Decisions request(long request, RequestClassId requestClass, long key, int tenant, long timeoutNanos) {
        decisions.clear();
        balancer.onRequest(nowNanos, new RequestId(request), requestClass, new TenantId(tenant),
            new CacheKey(key),
            !requestClass.equals(READ), 0, timeoutNanos, decisions);
        return decisions;
    }

    /** Returns the endpoint of the first attempt in the latest decisions. */
    long firstTarget() {
        return decisions.attemptsToStart.get(0).endpoint().value();
    }

    /** Sends a request; returns the endpoint of its first attempt, or -1 if none was started. */
    long targetOf(long request, RequestClassId requestClass, long key) {
        request(request, requestClass, key);
        return decisions.attemptsToStart.isEmpty() ? -1 : firstTarget();
    }

    Decisions endAttempt(long request, int number, Outcome outcome) {
        return endAttempt(request, number, outcome, outcome == Outcome.SUCCEEDED);
    }

    Decisions endAttempt(long request, int number, Outcome outcome, boolean completesRequest) {
        decisions.clear();
        balancer.onAttemptEnd(nowNanos, new RequestId(request), number, outcome, LoadReport.NONE,
            completesRequest, proxyDelayNanos, decisions);
        return decisions;
    }

    Decisions endLoadProbe(long endpoint, Outcome outcome, double inFlight) {
        decisions.clear();
        balancer.onLoadProbeEnd(nowNanos, new EndpointId(endpoint), outcome,
            new LoadReport(inFlight, Double.NaN),
            decisions);
        return decisions;
    }

    Decisions receive(PeerUpdate update) {
        decisions.clear();
        balancer.onPeerUpdate(nowNanos, update, decisions);
        attemptsStarted += decisions.attemptsToStart.size();
        return decisions;
    }

    /** Advances the clock by a time in milliseconds and calls the timer. */
    Decisions advance(long millis) {
        decisions.clear();
        nowNanos += millis * MS;
        balancer.onTimer(nowNanos, decisions);
        return decisions;
    }
}
