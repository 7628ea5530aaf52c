package spurroad.balancer.request;

import spurroad.balancer.context.ActiveDeployment;
import spurroad.balancer.context.EventContext;
import spurroad.balancer.endpoint.Attempt;
import spurroad.balancer.endpoint.EndpointOwnership;
import spurroad.balancer.endpoint.EndpointState;
import spurroad.balancer.endpoint.EndpointTable;
import spurroad.balancer.endpoint.IdleConnections;
import spurroad.balancer.endpoint.OutlierDetector;
import spurroad.balancer.endpoint.ServiceTimeModel;
import spurroad.balancer.overload.ConcurrencyLimit;
import spurroad.balancer.overload.LoadShedder;
import spurroad.balancer.peer.OwnershipState;
import spurroad.balancer.peer.PeerUpdates;
import spurroad.model.CacheKey;
import spurroad.model.Outcome;
import spurroad.model.PeerUpdate;

/**
 * Passes the end of an attempt on to the modules that learn from it: service times, the origin's concurrency
 * limit, idle connections, and either outlier detection or, with gossip, the owner of the endpoint.
 */
public final class AttemptFeedback {
    private static final long ORIGIN_OWNER_SUBJECT = 0;

    private final ActiveDeployment deployment;
    private final EventContext event;
    private final EndpointTable endpoints;
    private final ServiceTimeModel serviceTimes;
    private final ConcurrencyLimit originLimit;
    private final IdleConnections idleConnections;
    private final OutlierDetector outlierDetector;
    private final EndpointOwnership ownership;
    private final PeerUpdates peers;

    /** Creates the distribution to the modules that learn. */
    public AttemptFeedback(ActiveDeployment deployment, EventContext event, EndpointTable endpoints,
                           ServiceTimeModel serviceTimes, ConcurrencyLimit originLimit,
                           IdleConnections idleConnections, OutlierDetector outlierDetector,
                           EndpointOwnership ownership, PeerUpdates peers) {
        this.deployment = deployment;
        this.event = event;
        this.endpoints = endpoints;
        this.serviceTimes = serviceTimes;
        this.originLimit = originLimit;
        this.idleConnections = idleConnections;
        this.outlierDetector = outlierDetector;
        this.ownership = ownership;
        this.peers = peers;
    }

    /**
     * Handles the end of an attempt.
     *
     * @param proxyDelayNanos part of the attempt's time for which this proxy itself was stalled: on a part of
     *     a core that passed for slow endpoints, and rejections brought clients back at once
     */
    void onAttemptEnd(Attempt attempt, Outcome outcome, long proxyDelayNanos) {
        long tookNanos = Math.max(0, event.now() - attempt.sentNanos() - proxyDelayNanos);
        EndpointState endpoint = attempt.endpoint();
        if (outcome.hasReply()) {
            outlierDetector.onReply(endpoint);
        }
        idleConnections.onConnectResult(outcome == Outcome.NO_CONNECTION);
        if (endpoints.isOrigin(endpoint)) {
            recordAtOrigin(attempt, outcome, tookNanos);
        } else {
            recordAtCache(attempt, outcome, tookNanos);
        }
    }

    private void recordAtOrigin(Attempt attempt, Outcome outcome, long tookNanos) {
        boolean timed = outcome == Outcome.SUCCEEDED || outcome == Outcome.TIMED_OUT
            || outcome == Outcome.REJECTED;
        long readNanos = timed ? originLimit.onAttemptEnd(attempt, tookNanos, outcome, event.now())
            : tookNanos;
        serviceTimes.recordForEndpoint(attempt, timed, readNanos, event.now());
    }

    private void recordAtCache(Attempt attempt, Outcome outcome, long tookNanos) {
        boolean timed = outcome == Outcome.SUCCEEDED;
        serviceTimes.recordForEndpoint(attempt, timed, tookNanos, event.now());
        boolean cancelledByUs = outcome == Outcome.CANCELLED && attempt.isCancellationRequested();
        if (outcome == Outcome.NOT_SENT || cancelledByUs) {
            return; // no evidence on the endpoint
        }
        serviceTimes.recordOverall(attempt, timed, tookNanos, event.now());
        if (deployment.gossipEnabled()) {
            tellOwners(attempt, outcome, tookNanos);
        } else {
            outlierDetector.onAttemptEnd(attempt, outcome, timed, tookNanos);
        }
    }

    /**
     * A read that succeeds notifies the endpoint's owner that its key is cached; a write's end the origin's
     * how.
     */
    private void tellOwners(Attempt attempt, Outcome outcome, long tookNanos) {
        boolean succeeded = outcome == Outcome.SUCCEEDED;
        double remaining = OwnershipState.remainingWeight(tookNanos);
        ownership.tellOwner(attempt.endpoint(), PeerUpdate.Topic.IN_FLIGHT,
            succeeded ? -remaining : remaining,
            attempt.isWrite() ? CacheKey.NONE : attempt.key());
        if (attempt.isWrite() && outcome != Outcome.REJECTED) {
            boolean late = !succeeded || LoadShedder.indicatesQueueing(attempt.requestClass(), tookNanos);
            peers.sendToOwner(ORIGIN_OWNER_SUBJECT, PeerUpdate.ofOriginWrite(late));
        }
    }
}
