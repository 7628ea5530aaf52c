package spurroad.balancer.request;

import java.util.function.Function;
import spurroad.balancer.context.ActiveDeployment;
import spurroad.balancer.context.EventContext;
import spurroad.balancer.endpoint.Attempt;
import spurroad.balancer.endpoint.EndpointOwnership;
import spurroad.balancer.endpoint.EndpointState;
import spurroad.balancer.endpoint.EndpointTable;
import spurroad.balancer.endpoint.IdleConnections;
import spurroad.balancer.endpoint.OutlierDetector;
import spurroad.model.CacheKey;
import spurroad.model.Decisions;
import spurroad.model.Outcome;
import spurroad.model.PeerUpdate;
import spurroad.model.RequestId;

/** Starts, cancels and ends attempts, and records which attempts are in flight at which endpoint. */
public final class AttemptDispatch {
    private final ActiveDeployment deployment;
    private final EventContext event;
    private final EndpointTable endpoints;
    private final OutlierDetector outlierDetector;
    private final IdleConnections idleConnections;
    private final EndpointOwnership ownership;
    private final RetryPolicy retryPolicy;
    private final AttemptFeedback feedback;

    /** Creates a dispatcher that starts only the attempts that {@code retryPolicy} allows. */
    public AttemptDispatch(ActiveDeployment deployment, EventContext event, EndpointTable endpoints,
                           OutlierDetector outlierDetector, IdleConnections idleConnections,
                           EndpointOwnership ownership, RetryPolicy retryPolicy, AttemptFeedback feedback) {
        this.deployment = deployment;
        this.event = event;
        this.endpoints = endpoints;
        this.outlierDetector = outlierDetector;
        this.idleConnections = idleConnections;
        this.ownership = ownership;
        this.retryPolicy = retryPolicy;
        this.feedback = feedback;
    }

    /** Starts an attempt at an endpoint if the retry policy allows it, and returns whether it was started. */
    boolean tryStart(PendingRequest request, EndpointState endpoint) {
        if (!retryPolicy.mayAttempt(request, endpoint)) {
            return false;
        }
        Attempt attempt = new Attempt(request.id(), request.attempts().size(), request.requestClass(),
            request.key(), request.isWrite(), endpoint, event.now());
        request.onAttemptStart(attempt);
        endpoint.onAttemptStart(attempt);
        outlierDetector.onAttemptStart(endpoint);
        endpoints.onAttemptStart(endpoint);
        idleConnections.onAttemptStart(endpoint);
        // a write invalidates the endpoint's cached copy of its key
        ownership.notifyOwner(endpoint, PeerUpdate.Topic.IN_FLIGHT, 1,
            request.isWrite() ? request.key() : CacheKey.NONE);
        long expiryNanos = request.isWrite() ? request.deadlineNanos() : request.lastUsefulNanos();
        event.decisions().attemptsToStart.add(new Decisions.StartAttempt(request.id(), endpoint.id(),
            expiryNanos - event.now(), request.deduplicatedUntilNanos()));
        return true;
    }

    /**
     * Records the end of an attempt.
     *
     * @param proxyDelayNanos part of the attempt's duration, in nanoseconds, during which this proxy was
     *     stalled
     */
    void onAttemptEnd(PendingRequest request, Attempt attempt, Outcome outcome, long proxyDelayNanos) {
        EndpointState endpoint = attempt.endpoint();
        request.onAttemptEnd(attempt, outcome);
        endpoint.onAttemptEnd(attempt);
        feedback.onAttemptEnd(attempt, outcome, proxyDelayNanos);
        attempt.end();
        if (endpoint.isIdle()) {
            idleConnections.onIdle(endpoint);
        }
    }

    /** Cancels the attempts of a request that are in flight, if the settings allow cancellation. */
    void cancelAll(PendingRequest request) {
        request.attempts().forEach(this::cancel);
    }

    /**
     * Cancels the attempts in flight at an unresponsive endpoint that may be retried at another endpoint, if
     * the settings allow cancellation.
     *
     * @param pendingRequests finds a pending request by its id; returns null for an unknown id
     */
    void cancelRetryable(EndpointState endpoint, Function<RequestId, PendingRequest> pendingRequests) {
        for (Attempt attempt : endpoint.inFlight()) {
            PendingRequest request = pendingRequests.apply(attempt.requestId());
            if (request != null && retryPolicy.mayCancelForRetry(request)) {
                cancel(attempt);
            }
        }
    }

    private void cancel(Attempt attempt) {
        if (attempt.isInFlight() && deployment.settings().cancellationAllowed()
            && attempt.requestCancellation()) {
            event.decisions().attemptsToCancel
                .add(new Decisions.CancelAttempt(attempt.requestId(), attempt.number()));
        }
    }
}
