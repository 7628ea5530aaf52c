package spurroad.balancer.request;

import spurroad.balancer.context.ActiveDeployment;
import spurroad.balancer.context.EventContext;
import spurroad.balancer.endpoint.Attempt;
import spurroad.balancer.endpoint.EndpointState;
import spurroad.balancer.endpoint.Ring;
import spurroad.model.DeduplicationScope;
import spurroad.model.Effect;
import spurroad.model.Outcome;
import spurroad.model.RequestClass;

/**
 * Decides by effect which requests may be attempted, retried or rejected; no other class decides this.
 *
 * <p>A non-idempotent request is retried or rejected only if all earlier attempts are proven not to have run.
 * A deduplicated request that may have run is retried only at endpoints that recognise the repeat, and only
 * within the deduplication window. It is rejected only within that window and only if all endpoints recognise
 * the repeat, because a rejection promises that a retry by the client does no harm. Two attempts of a request
 * are never in flight at the same time.
 */
public final class RetryPolicy {
    private final ActiveDeployment deployment;
    private final EventContext event;
    private final RetryBudget budget;

    /** Creates a policy that limits retries by a budget. */
    public RetryPolicy(ActiveDeployment deployment, EventContext event, RetryBudget budget) {
        this.deployment = deployment;
        this.event = event;
        this.budget = budget;
    }

    /** Returns whether an attempt of a request may start at an endpoint now. */
    boolean mayAttempt(PendingRequest request, EndpointState endpoint) {
        if (request.hasAttemptInFlight() || !hasAttemptsLeft(request) || !endpoint.isReady()) {
            return false;
        }
        Attempt earlierAttempt = request.possiblyExecuted();
        if (earlierAttempt == null) {
            return true;
        }
        return switch (request.requestClass().effect()) {
            case IDEMPOTENT -> true;
            case NON_IDEMPOTENT -> false;
            case DEDUPLICATED -> isWithinDeduplicationWindow(request)
                && recognisesRepeat(request.requestClass(), earlierAttempt.endpoint(), endpoint);
        };
    }

    private static boolean recognisesRepeat(RequestClass requestClass, EndpointState first,
                                            EndpointState second) {
        return switch (requestClass.deduplicationScope()) {
            case ALL -> true;
            case ZONE -> first.listing().zone().equals(second.listing().zone());
            case CELL -> first.listing().cell().equals(second.listing().cell());
        };
    }

    /** Returns whether a request may be rejected, so that its client may retry it without harm. */
    boolean mayReject(PendingRequest request) {
        RequestClass requestClass = request.requestClass();
        if (requestClass.effect() == Effect.IDEMPOTENT) {
            return true;
        }
        if (request.hasAttemptInFlight()) {
            return false;
        }
        if (request.possiblyExecuted() == null) {
            return true;
        }
        return requestClass.effect() == Effect.DEDUPLICATED && isWithinDeduplicationWindow(request)
            && requestClass.deduplicationScope() == DeduplicationScope.ALL;
    }

    /** Returns whether an attempt in flight may be cancelled in favour of one at another endpoint. */
    boolean mayCancelForRetry(PendingRequest request) {
        return request.requestClass().effect() != Effect.NON_IDEMPOTENT && hasAttemptsLeft(request);
    }

    /**
     * Returns whether a request may be retried after an attempt that did not succeed. A retry withdraws a
     * token from the budget; without gossip, one after an attempt that is proven not to have run withdraws
     * none while fewer than {@link Ring#CANDIDATES} endpoints are excluded.
     */
    boolean allowsRetry(PendingRequest request, Outcome outcome) {
        boolean isInTime = event.now() + deployment.settings().clockTickNanos() < request.lastUsefulNanos();
        if (outcome == Outcome.NOT_SENT || !isInTime) {
            return false;
        }
        // beyond its candidates a request misses the cache, taking up capacity at one endpoint after another
        boolean isExemptFromBudget = outcome.provesNotExecuted() && request.excludedCount() < Ring.CANDIDATES
            && !deployment.gossipEnabled();
        return isExemptFromBudget || budget.tryWithdraw();
    }

    /** Returns whether attempts are left; if a reload changed the limit, the lower one applies. */
    private boolean hasAttemptsLeft(PendingRequest request) {
        int maxAttempts = Math.min(request.maxAttempts(), deployment.settings().maxAttempts());
        return request.attempts().size() < maxAttempts;
    }

    private boolean isWithinDeduplicationWindow(PendingRequest request) {
        return event.now() + deployment.settings().clockTickNanos() < request.deduplicatedUntilNanos();
    }
}
