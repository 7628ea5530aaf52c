package spurroad.balancer.request;

import java.util.HashMap;
import java.util.Map;
import spurroad.balancer.context.ActiveDeployment;
import spurroad.balancer.context.EventContext;
import spurroad.balancer.context.RandomDraws;
import spurroad.balancer.endpoint.Attempt;
import spurroad.balancer.endpoint.EndpointState;
import spurroad.balancer.endpoint.EndpointTable;
import spurroad.balancer.overload.LoadShedder;
import spurroad.balancer.overload.TenantQuotas;
import spurroad.balancer.statistics.RecentKeySet;
import spurroad.model.CacheKey;
import spurroad.model.Decisions;
import spurroad.model.LoadReport;
import spurroad.model.Outcome;
import spurroad.model.RequestClass;
import spurroad.model.RequestClassId;
import spurroad.model.RequestId;
import spurroad.model.TenantId;

/**
 * Takes each request from its arrival to its single final answer.
 *
 * <p>A request passes through {@link LoadShedder}, then {@link OriginFetch} or {@link CandidateSelection},
 * then {@link AttemptDispatch}. This class also handles the end of each attempt: a cache miss continues at
 * the origin, and after any other failure {@link RetryPolicy} decides. The modules return the next step and
 * this class applies it, so that none of them calls another. Invariant: each accepted request either waits,
 * has an attempt in flight, or gets its final answer in the same call.
 */
public final class RequestPipeline {
    // fraction of the latency objective: mean Retry-After of a rejection; queues have advanced by then
    private static final double RETRY_AFTER_FRACTION = 0.5;
    private static final int MAX_REJECTED_KEYS = 4_096;
    // longer than clients take to retry a rejected request
    private static final long REJECTED_KEY_MAX_AGE_NANOS = 4_000_000_000L;

    private final ActiveDeployment deployment;
    private final EventContext event;
    private final RandomDraws random;
    private final EndpointTable endpoints;
    private final TenantQuotas tenantQuotas;
    private final LoadShedder loadShedder;
    private final OriginFetch originFetch;
    private final CandidateSelection selection;
    private final AttemptDispatch dispatch;
    private final RetryPolicy retryPolicy;
    private final RetryBudget retryBudget;
    private final WaitQueue waitQueue;
    private final Map<RequestId, PendingRequest> requests = new HashMap<>();
    private final RecentKeySet rejectedKeys = new RecentKeySet(MAX_REJECTED_KEYS);
    private long nextSequence;

    /** Creates a pipeline of the given modules. */
    public RequestPipeline(ActiveDeployment deployment, EventContext event, RandomDraws random,
                           EndpointTable endpoints, TenantQuotas tenantQuotas, LoadShedder loadShedder,
                           OriginFetch originFetch, CandidateSelection selection, AttemptDispatch dispatch,
                           RetryPolicy retryPolicy, RetryBudget retryBudget, WaitQueue waitQueue) {
        this.deployment = deployment;
        this.event = event;
        this.random = random;
        this.endpoints = endpoints;
        this.tenantQuotas = tenantQuotas;
        this.loadShedder = loadShedder;
        this.originFetch = originFetch;
        this.selection = selection;
        this.dispatch = dispatch;
        this.retryPolicy = retryPolicy;
        this.retryBudget = retryBudget;
        this.waitQueue = waitQueue;
    }

    /** Handles the arrival of a request; the parameters are those of {@code LoadBalancer.onRequest}. */
    public void onRequest(RequestId id, RequestClassId requestClassId, TenantId tenant, CacheKey key,
                          boolean write, long workNanos, long timeoutNanos) {
        RequestArrival arrival = RequestArrival.of(id, requestClass(requestClassId), key, write, workNanos,
            timeoutNanos, random);
        PendingRequest request = new PendingRequest(arrival, nextSequence, event.now(),
            deployment.settings().maxAttempts());
        nextSequence++;
        // a retry of a rejected request must not count against the tenant's quota again
        if (!rejectedKeys.removeIfRecent(key, event.now(), REJECTED_KEY_MAX_AGE_NANOS)) {
            tenantQuotas.countRequest(tenant);
        }
        request.setOverQuota(tenantQuotas.drawOverQuota(tenant));
        requests.put(id, request);
        retryBudget.onRequest();
        admit(request);
    }

    private RequestClass requestClass(RequestClassId id) {
        int lastIndex = deployment.settings().requestClasses().size() - 1; // a reload may have removed some
        return deployment.settings().requestClasses().get(Math.min(id.value(), lastIndex));
    }

    private void admit(PendingRequest request) {
        boolean shed = !request.hasAttempts()
            && loadShedder.shouldShed(request.isOverQuota(), request.isWrite(), request.keyDraw());
        if (shed) {
            reject(request);
        } else {
            route(request);
        }
    }

    private void route(PendingRequest request) {
        boolean toOrigin = originFetch.isNeeded(request);
        applyStep(request, toOrigin ? originFetch.enqueue(request) : selection.select(request));
    }

    private void applyStep(PendingRequest request, NextStep step) {
        switch (step.action()) {
            case DISPATCH -> dispatch(request, step.endpoint());
            case REJECT -> reject(request);
            case WAIT -> {
                // the request continues with the awaited event, or in endWaits once its wait has expired
            }
        }
    }

    private void dispatch(PendingRequest request, EndpointState endpoint) {
        if (!dispatch.tryStart(request, endpoint)) {
            reject(request);
        }
    }

    /** Handles the end of an attempt; the parameters are those of {@code LoadBalancer.onAttemptEnd}. */
    public void onAttemptEnd(RequestId id, int number, Outcome outcome, LoadReport report,
                             boolean finalAnswerSent, long proxyDelayNanos) {
        PendingRequest request = requests.get(id);
        Attempt attempt = request == null ? null : request.attemptInFlight(number);
        if (attempt == null) {
            return; // already ended
        }
        if (outcome == Outcome.SUCCEEDED) {
            request.onSuccess();
        }
        recordSuccess(request, proxyDelayNanos);
        if (finalAnswerSent) {
            finish(request); // also requests the cancellation of this attempt, which the host ignores
        }
        attempt.endpoint().onReport(report, event.now());
        dispatch.onAttemptEnd(request, attempt, outcome, proxyDelayNanos);
        if (endpoints.isOrigin(attempt.endpoint())) {
            endFetch(request);
        }
        if (!request.isFinished()) {
            continueAfterAttempt(request, attempt.endpoint(), outcome);
        }
        removeIfComplete(request);
    }

    private void recordSuccess(PendingRequest request, long proxyDelayNanos) {
        if (request.hasSucceeded() && !request.isFinished()) {
            long completedNanos = event.now() - proxyDelayNanos;
            loadShedder.onSuccess(request.requestClass(), request.objectiveEndNanos() - completedNanos);
        }
    }

    private void continueAfterAttempt(PendingRequest request, EndpointState endpoint, Outcome outcome) {
        boolean missed = outcome == Outcome.CACHE_MISS && endpoints.origin() != null;
        if (!missed) {
            request.exclude(endpoint);
        }
        if (missed && !endpoints.isOrigin(endpoint)) {
            request.setCacheMissed(true);
            route(request);
        } else if (retryPolicy.allowsRetry(request, outcome)) {
            admit(request);
        } else {
            loadShedder.onFailure();
            reject(request);
        }
    }

    /** Continues the requests that wait for the load of an endpoint that has just reported it. */
    public void onLoadReport(EndpointState endpoint) {
        for (PendingRequest request : waitQueue.awaitingReplies()) {
            if (request.waitReason() == WaitReason.LOAD_REPLIES) {
                applyStep(request, selection.onLoadReport(request, endpoint));
            }
        }
    }

    /** Continues the requests that wait for a reply on whether an endpoint has a key cached. */
    public void onCacheStatus(EndpointState endpoint, CacheKey key, boolean cached) {
        for (PendingRequest request : waitQueue.awaitingReplies()) {
            if (request.waitReason() == WaitReason.LOAD_REPLIES && request.key().equals(key)) {
                applyStep(request, selection.onCacheStatus(request, endpoint, cached));
            }
        }
    }

    /** Finishes a request whose client has disconnected; it gets no response. */
    public void onClientDisconnect(RequestId id) {
        PendingRequest request = requests.get(id);
        if (request != null) {
            finish(request);
        }
    }

    /** Cancels the attempts in flight at an unresponsive endpoint that may be retried at another endpoint. */
    public void onUnresponsive(EndpointState endpoint) {
        dispatch.cancelRetryable(endpoint, requests::get);
    }

    /**
     * Sets whether to add no tokens to the retry budget and to skip load probes that no request waits for.
     */
    public void conserveResources(boolean conserve) {
        retryBudget.setFrozen(conserve);
        selection.setSkipsOptionalProbes(conserve);
    }

    /** Continues or rejects the requests whose waits have expired. */
    public void endWaits() {
        for (PendingRequest due = waitQueue.pollDue(); due != null; due = waitQueue.pollDue()) {
            if (due.waitReason() == WaitReason.LOAD_REPLIES) {
                applyStep(due, selection.onWaitExpired(due));
            } else {
                reject(due);
            }
        }
    }

    /** Starts queued requests at the origin while it has capacity. */
    public void startAtOrigin() {
        for (PendingRequest next = originFetch.pollStartable(); next
            != null; next = originFetch.pollStartable()) {
            waitQueue.release(next);
            dispatch(next, endpoints.origin());
        }
    }

    /** Returns when the next wait expires, in nanoseconds; Long.MAX_VALUE if there is none. */
    public long nextWaitEndNanos() {
        return waitQueue.nextDueNanos();
    }

    /** Gives a request its final answer: a rejection if the retry policy allows it, otherwise a failure. */
    private void reject(PendingRequest request) {
        boolean rejected = retryPolicy.mayReject(request);
        rejectedKeys.add(request.key(), event.now());
        finish(request);
        long retryAfterNanos = retryAfterNanos(request);
        event.decisions().responses
            .add(new Decisions.FinalResponse(request.id(), rejected, rejected ? retryAfterNanos : 0));
    }

    private long retryAfterNanos(PendingRequest request) {
        long maxRetryAfterNanos = deployment.settings().maxRetryAfterNanos();
        double meanRetryAfterNanos = request.requestClass().latencyObjectiveNanos() * RETRY_AFTER_FRACTION;
        long drawnRetryAfterNanos = (long) (meanRetryAfterNanos * random.retryAfterFactor());
        return request.isOverQuota() ? maxRetryAfterNanos
            : Math.min(maxRetryAfterNanos, drawnRetryAfterNanos);
    }

    private void finish(PendingRequest request) {
        if (request.isFinished()) {
            return;
        }
        request.finish();
        dispatch.cancelAll(request);
        waitQueue.release(request);
        endFetch(request);
        removeIfComplete(request);
    }

    /**
     * Ends the fetch that a request leads, if any. After a successful fetch its followers try the cache
     * again; otherwise they go to the origin, where one of them becomes the new leader.
     */
    private void endFetch(PendingRequest request) {
        for (PendingRequest follower : originFetch.end(request)) {
            if (follower.waitReason() == WaitReason.SHARED_FETCH) {
                waitQueue.release(follower);
                follower.setCacheMissed(!request.hasSucceeded());
                admit(follower);
            }
        }
    }

    private void removeIfComplete(PendingRequest request) {
        if (request.isFinished() && !request.hasAttemptInFlight()) {
            requests.remove(request.id());
        }
    }
}
