package spurroad.balancer.request;

import java.util.List;
import spurroad.balancer.context.ActiveDeployment;
import spurroad.balancer.context.EventContext;
import spurroad.balancer.context.RandomDraws;
import spurroad.balancer.endpoint.EndpointOwnership;
import spurroad.balancer.endpoint.EndpointState;
import spurroad.balancer.endpoint.LoadProbes;
import spurroad.model.PeerUpdate;

/**
 * Chooses the endpoint of an attempt by soft limits on the queues of the key's candidates ("Smarter
 * Coordinator Selection with Vnode Queue Soft Limits", Riak).
 *
 * <p>The first candidate gets the request while its queue is below the soft limit. Otherwise load probes are
 * sent to the other candidates in parallel, and the first one that replies with a queue below its limit gets
 * the request. If all have replied or the wait has expired, the candidate with the shortest queue gets it, or
 * a random candidate if none has replied. A request is rejected if its first attempt is expected to be late
 * at the chosen endpoint.
 *
 * <p>With gossip, the soft limit applies to keys instead of requests: the preferred endpoint is the first
 * candidate that keeps the key. A read that should not risk a cache miss waits while the owners of the
 * candidates are queried whether the key is cached there. If no owner confirms this in time, the read is
 * rejected.
 */
public final class CandidateSelection {
    private static final long LOAD_PROBE_WAIT_NANOS = 20_000_000L; // required by the design
    // fraction of the shortest latency objective: an owner that takes longer is too far away or too busy
    private static final double CACHE_QUERY_WAIT_FRACTION = 0.25;

    private final ActiveDeployment deployment;
    private final EventContext event;
    private final RandomDraws random;
    private final CandidateFinder finder;
    private final EndpointAvailability availability;
    private final ExpectedLatency latency;
    private final LoadProbes loadProbes;
    private final EndpointOwnership ownership;
    private final WaitQueue waitQueue;
    private boolean skipsOptionalProbes;

    /** Creates a selection from the modules that find the candidates and estimate their load. */
    public CandidateSelection(ActiveDeployment deployment, EventContext event, RandomDraws random,
                              CandidateFinder finder, EndpointAvailability availability,
                              ExpectedLatency latency, LoadProbes loadProbes, EndpointOwnership ownership,
                              WaitQueue waitQueue) {
        this.deployment = deployment;
        this.event = event;
        this.random = random;
        this.finder = finder;
        this.availability = availability;
        this.latency = latency;
        this.loadProbes = loadProbes;
        this.ownership = ownership;
        this.waitQueue = waitQueue;
    }

    /** Sets whether to skip load probes that no request waits for. */
    void setSkipsOptionalProbes(boolean skips) {
        skipsOptionalProbes = skips;
    }

    /** Returns the next step of a request that needs a cache endpoint. */
    NextStep select(PendingRequest request) {
        List<EndpointState> candidates = finder.find(request);
        if (candidates.isEmpty() || hasNoTimeLeft(request)) {
            return NextStep.REJECT;
        }
        return deployment.gossipEnabled() ? selectByKeyPlacement(request, candidates)
            : selectByQueueLength(request, candidates);
    }

    private NextStep selectByQueueLength(PendingRequest request, List<EndpointState> candidates) {
        EndpointState first = candidates.get(0);
        if (latency.isUnderSoftLimit(first, request)) {
            probeIfReportStale(first);
            return dispatchUnlessLate(request, first);
        }
        if (candidates.size() == 1 || !deployment.settings().loadProbesAllowed()) {
            probeIfReportStale(first);
            return dispatchUnlessLate(request, firstUnderLimit(request, candidates));
        }
        List<EndpointState> others = candidates.subList(1, candidates.size());
        request.setPendingReplies(new PendingReplies(candidates, others));
        waitQueue.add(request, WaitReason.LOAD_REPLIES, event.now() + LOAD_PROBE_WAIT_NANOS);
        others.forEach(loadProbes::send);
        return NextStep.WAIT;
    }

    private NextStep selectByKeyPlacement(PendingRequest request, List<EndpointState> candidates) {
        EndpointState preferred = firstUnderLimit(request, candidates);
        if (latency.maySendWithoutCacheQuery(request, preferred)) {
            return dispatchUnlessLate(request, preferred);
        }
        long waitNanos = (long) (CACHE_QUERY_WAIT_FRACTION * deployment.shortestObjectiveNanos());
        request.setPendingReplies(new PendingReplies(candidates, candidates));
        waitQueue.add(request, WaitReason.LOAD_REPLIES, event.now() + waitNanos);
        for (EndpointState candidate : candidates) {
            // if this proxy is the owner, the reply comes during the call and may end the wait
            ownership.notifyOwner(candidate, PeerUpdate.Topic.CACHE_QUERY, deployment.fleet().proxyIndex(),
                request.key());
        }
        return NextStep.WAIT;
    }

    private EndpointState firstUnderLimit(PendingRequest request, List<EndpointState> candidates) {
        for (EndpointState candidate : candidates) {
            if (latency.isUnderSoftLimit(candidate, request)) {
                return candidate;
            }
        }
        return shortestQueue(request, candidates);
    }

    /** Sends a load probe to an endpoint whose last load report is stale, for the requests that follow. */
    private void probeIfReportStale(EndpointState endpoint) {
        if (!skipsOptionalProbes && endpoint.load().hasReport() && !endpoint.load().isFresh(event.now())) {
            loadProbes.send(endpoint);
        }
    }

    /**
     * Returns the next step of a request that waits for load reports, after an endpoint has reported its
     * load.
     */
    NextStep onLoadReport(PendingRequest request, EndpointState endpoint) {
        if (!request.pendingReplies().onReply(endpoint)) {
            return NextStep.WAIT;
        }
        return onReply(request, endpoint, latency.isUnderSoftLimit(endpoint, request));
    }

    /**
     * Returns the next step of a request that waits for cache queries, after an endpoint's owner has replied.
     */
    NextStep onCacheStatus(PendingRequest request, EndpointState endpoint, boolean cached) {
        if (!request.pendingReplies().onReply(endpoint)) {
            return NextStep.WAIT;
        }
        return onReply(request, endpoint, cached);
    }

    private NextStep onReply(PendingRequest request, EndpointState endpoint, boolean isAcceptable) {
        if (isAcceptable && availability.isAvailable(endpoint, request)) {
            waitQueue.release(request);
            return dispatchUnlessLate(request, endpoint);
        }
        return request.pendingReplies().isComplete() ? onWaitExpired(request) : NextStep.WAIT;
    }

    /**
     * Returns the next step of a request after its wait expired or all candidates replied, with none of them
     * acceptable: no queue below its soft limit or, with gossip, no endpoint that has the key cached.
     */
    NextStep onWaitExpired(PendingRequest request) {
        List<EndpointState> candidates = request.pendingReplies().candidates().stream()
            .filter(candidate -> availability.isAvailable(candidate, request)).toList();
        waitQueue.release(request);
        if (deployment.gossipEnabled() || candidates.isEmpty() || hasNoTimeLeft(request)) {
            return NextStep.REJECT;
        }
        EndpointState chosen = request.pendingReplies().anyReplied() ? shortestQueue(request, candidates)
            : candidates.get(random.candidateIndex(candidates.size()));
        return dispatchUnlessLate(request, chosen);
    }

    /**
     * Returns the candidate with the shortest expected latency. One whose reply is still awaited counts with
     * the mean of the others.
     */
    private EndpointState shortestQueue(PendingRequest request, List<EndpointState> candidates) {
        double meanLatencyNanos = candidates.stream().filter(candidate -> !isReplyAwaited(request, candidate))
            .mapToDouble(latency::expectedNanos).average().orElse(0);
        EndpointState shortest = null;
        double shortestLatencyNanos = 0;
        for (EndpointState candidate : candidates) {
            double latencyNanos = isReplyAwaited(request, candidate) ? meanLatencyNanos
                : latency.expectedNanos(candidate);
            if (shortest == null || Double.compare(latencyNanos, shortestLatencyNanos) < 0) {
                shortest = candidate;
                shortestLatencyNanos = latencyNanos;
            }
        }
        return shortest;
    }

    private static boolean isReplyAwaited(PendingRequest request, EndpointState candidate) {
        return request.pendingReplies() != null && request.pendingReplies().isAwaited(candidate);
    }

    private NextStep dispatchUnlessLate(PendingRequest request, EndpointState endpoint) {
        if (!request.hasAttempts() && latency.isTooLate(endpoint, request)) {
            return NextStep.REJECT;
        }
        return NextStep.dispatchTo(endpoint);
    }

    private boolean hasNoTimeLeft(PendingRequest request) {
        return request.deadlineNanos() <= event.now() + deployment.settings().clockTickNanos();
    }
}
