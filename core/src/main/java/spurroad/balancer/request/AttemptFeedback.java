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
 * Reports the end of each attempt to the modules that base their estimates on it: service times, the origin's
 * concurrency limit, idle connections, and either outlier detection or, with gossip, the owner of the
 * endpoint.
 */
public final class AttemptFeedback {
    // subject of updates on how origin writes end; the proxy that owns it is the owner of the origin
    private static final long ORIGIN_SUBJECT = 0;

    private final ActiveDeployment deployment;
    private final EventContext event;
    private final EndpointTable endpoints;
    private final ServiceTimeModel serviceTimes;
    private final ConcurrencyLimit originLimit;
    private final IdleConnections idleConnections;
    private final OutlierDetector outlierDetector;
    private final EndpointOwnership ownership;
    private final PeerUpdates peers;

    /** Creates feedback that reports to the given modules. */
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
     * Reports the end of an attempt.
     *
     * @param proxyDelayNanos part of the attempt's duration, in nanoseconds, during which this proxy itself
     *     was stalled. It is subtracted: on a fraction of a CPU core the stalls made endpoints look slow, and
     *     the rejections that followed made clients retry at once
     */
    void onAttemptEnd(Attempt attempt, Outcome outcome, long proxyDelayNanos) {
        long durationNanos = Math.max(0, event.now() - attempt.sentNanos() - proxyDelayNanos);
        EndpointState endpoint = attempt.endpoint();
        if (outcome.hasReply()) {
            outlierDetector.onReply(endpoint);
        }
        idleConnections.onConnectResult(outcome == Outcome.NO_CONNECTION);
        if (endpoints.isOrigin(endpoint)) {
            recordOriginAttempt(attempt, outcome, durationNanos);
        } else {
            recordCacheAttempt(attempt, outcome, durationNanos);
        }
    }

    private void recordOriginAttempt(Attempt attempt, Outcome outcome, long durationNanos) {
        boolean isServiceTimeSample = outcome == Outcome.SUCCEEDED || outcome == Outcome.TIMED_OUT
            || outcome == Outcome.REJECTED;
        long readEquivalentNanos = isServiceTimeSample
            ? originLimit.onAttemptEnd(attempt, durationNanos, outcome, event.now())
            : durationNanos;
        serviceTimes.recordForEndpoint(attempt, isServiceTimeSample, readEquivalentNanos, event.now());
    }

    private void recordCacheAttempt(Attempt attempt, Outcome outcome, long durationNanos) {
        boolean isServiceTimeSample = outcome == Outcome.SUCCEEDED;
        serviceTimes.recordForEndpoint(attempt, isServiceTimeSample, durationNanos, event.now());
        boolean cancelledByProxy = outcome == Outcome.CANCELLED && attempt.isCancellationRequested();
        if (outcome == Outcome.NOT_SENT || cancelledByProxy) {
            return; // shows nothing about the endpoint
        }
        serviceTimes.recordOverall(attempt, isServiceTimeSample, durationNanos, event.now());
        if (deployment.gossipEnabled()) {
            notifyOwners(attempt, outcome, durationNanos);
        } else {
            outlierDetector.onAttemptEnd(attempt, outcome, isServiceTimeSample, durationNanos);
        }
    }

    /**
     * Notifies the endpoint's owner that an attempt ended; a successful read means that its key is now
     * cached, a failed one that this is uncertain. Also notifies the origin's owner whether a write was late,
     * unless it was rejected.
     */
    private void notifyOwners(Attempt attempt, Outcome outcome, long durationNanos) {
        boolean succeeded = outcome == Outcome.SUCCEEDED;
        double remainingWeight = OwnershipState.remainingWeight(durationNanos);
        ownership.notifyOwner(attempt.endpoint(), PeerUpdate.Topic.IN_FLIGHT,
            succeeded ? -remainingWeight : remainingWeight,
            attempt.isWrite() ? CacheKey.NONE : attempt.key());
        if (attempt.isWrite() && outcome != Outcome.REJECTED) {
            boolean isLate = !succeeded
                || LoadShedder.indicatesQueueing(attempt.requestClass(), durationNanos);
            peers.sendToOwner(ORIGIN_SUBJECT, PeerUpdate.ofOriginWrite(isLate));
        }
    }
}
