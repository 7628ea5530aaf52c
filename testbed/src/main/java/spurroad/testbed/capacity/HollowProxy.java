package spurroad.testbed.capacity;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import spurroad.balancer.LoadBalancer;
import spurroad.model.CacheKey;
import spurroad.model.Decisions;
import spurroad.model.Endpoint;
import spurroad.model.EndpointId;
import spurroad.model.Fleet;
import spurroad.model.LoadReport;
import spurroad.model.Outcome;
import spurroad.model.PeerUpdate;
import spurroad.model.RequestClassId;
import spurroad.model.RequestId;
import spurroad.model.TenantId;

/**
 * The load balancer of one proxy, driven in simulated time without sockets: requests for uniformly random
 * keys come in, and each attempt succeeds after the same time. Hollow as the nodes of Kubernetes' kubemark
 * are: real decisions, no traffic. Not thread-safe.
 */
final class HollowProxy {
    private static final RequestClassId READS = new RequestClassId(0);
    private static final TenantId TENANT = new TenantId(0);
    private static final LoadReport LOW_LOAD = new LoadReport(1, 0);
    private static final long REQUEST_TIMEOUT_NANOS = 4 * SyntheticFleet.SECOND_NANOS;

    private record Attempt(RequestId request, int number, long endNanos) {}

    private final LoadBalancer loadBalancer;
    private final Decisions decisions = new Decisions();
    private final Random keys;
    private final long serviceNanos;
    private final Consumer<Decisions.SendPeerUpdate> peers;
    // in the order of their ends, as all take equally long
    private final Deque<Attempt> attempts = new ArrayDeque<>();
    private final Set<EndpointId> connected = new HashSet<>();
    private long requests;
    private long probes;

    /**
     * Creates a proxy that knows some nodes.
     *
     * @param serviceNanos duration of an attempt
     * @param peers receives the updates that the proxy sends to others
     */
    HollowProxy(Fleet fleet, List<Endpoint> nodes, long serviceNanos,
                Consumer<Decisions.SendPeerUpdate> peers) {
        loadBalancer = new LoadBalancer(SyntheticFleet.deployment(fleet), fleet.proxyIndex() + 1);
        keys = new Random(fleet.proxyIndex());
        this.serviceNanos = serviceNanos;
        this.peers = peers;
        onEndpointUpdate(0, nodes, true);
    }

    /** Takes an endpoint list, complete or as changes. */
    void onEndpointUpdate(long now, List<Endpoint> nodes, boolean complete) {
        decisions.clear();
        loadBalancer.onEndpointUpdate(now, nodes, complete, decisions);
        carryOutDecisions(now);
    }

    /** Takes a request; attempts that are over by now end before it. */
    void onRequest(long now) {
        endAttempts(now);
        decisions.clear();
        loadBalancer.onRequest(now, new RequestId(++requests), READS, TENANT,
            new CacheKey(keys.nextLong() | 1),
            false, 0,
            REQUEST_TIMEOUT_NANOS, decisions);
        carryOutDecisions(now);
    }

    /** Takes another proxy's update. */
    void onPeerUpdate(long now, PeerUpdate update) {
        decisions.clear();
        loadBalancer.onPeerUpdate(now, update, decisions);
        carryOutDecisions(now);
    }

    private void endAttempts(long now) {
        while (!attempts.isEmpty() && attempts.peek().endNanos <= now) {
            Attempt attempt = attempts.remove();
            decisions.clear();
            loadBalancer.onAttemptEnd(attempt.endNanos, attempt.request, attempt.number, Outcome.SUCCEEDED,
                LoadReport.NONE, true, 0,
                decisions);
            carryOutDecisions(attempt.endNanos);
        }
    }

    private void carryOutDecisions(long now) {
        for (Decisions.StartAttempt start : decisions.attemptsToStart) {
            attempts.add(new Attempt(start.request(), 0, now + serviceNanos));
            connected.add(start.endpoint());
        }
        connected.removeAll(decisions.idleConnectionsToClose);
        List<Decisions.SendPeerUpdate> updates = decisions.peerUpdates.isEmpty() ? List.of()
            : List.copyOf(decisions.peerUpdates);
        List<EndpointId> probed = decisions.loadProbes.isEmpty() ? List.of()
            : List.copyOf(decisions.loadProbes);
        updates.forEach(peers);
        for (EndpointId node : probed) {
            probes++;
            decisions.clear();
            loadBalancer.onLoadProbeEnd(now, node, Outcome.SUCCEEDED, LOW_LOAD, decisions);
            carryOutDecisions(now);
        }
    }

    /** Returns the number of requests so far. */
    long requests() {
        return requests;
    }

    /** Returns the number of load probes so far. */
    long probes() {
        return probes;
    }

    /** Returns the number of nodes to which a connection is open. */
    int connections() {
        return connected.size();
    }
}
