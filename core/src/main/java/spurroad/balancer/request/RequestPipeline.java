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
 * The way of a request from its arrival to its one final answer.
 *
 * <p>It flows one way: {@link LoadShedder}, then {@link OriginFetch} or {@link CandidateSelection}, then
 * {@link AttemptDispatch}. The end of an attempt comes back here: a cache miss goes to the origin, another
 * end asks {@link RetryPolicy}. The modules say what to do next and this class does it, so that none of them
 * calls another. Invariant: each accepted request either waits, has an attempt in flight, or gets its final
 * answer in the same call.
 */
public final class RequestPipeline {
    // of the latency objective until a rejected client may come again: queues have moved by then
    private static final double RETRY_AFTER_FRACTION = 0.5;
    private static final int MAX_REJECTED_KEYS = 4_096;
    // clients that come again have done so by then
    private static final long REJECTED_KEY_NANOS = 4_000_000_000L;

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

    /** Creates the pipeline from its modules. */
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

    /** Starts a request; the parameters are those of {@code LoadBalancer.onRequest}. */
    public void onRequest(RequestId id, RequestClassId requestClassId, TenantId tenant, CacheKey key,
                          boolean write, long workNanos, long timeoutNanos) {
        RequestArrival arrival = RequestArrival.of(id, requestClass(requestClassId), key, write, workNanos,
            timeoutNanos, random);
        PendingRequest request = new PendingRequest(arrival, nextSequence, event.now(),
            deployment.settings().maxAttempts());
        nextSequence++;
        // a rejected client that comes again would use up its tenant's quota twice
        if (!rejectedKeys.removeIfRecent(key, event.now(), REJECTED_KEY_NANOS)) {
            tenantQuotas.countRequest(tenant);
        }
        request.setOverQuota(tenantQuotas.drawOverQuota(tenant));
        requests.put(id, request);
        retryBudget.onRequest();
        admit(request);
    }

    private RequestClass requestClass(RequestClassId id) {
        int last = deployment.settings().requestClasses().size() - 1; // a reload may have left fewer
        return deployment.settings().requestClasses().get(Math.min(id.value(), last));
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
        perform(request, toOrigin ? originFetch.enqueue(request) : selection.select(request));
    }

    private void perform(PendingRequest request, NextStep step) {
        switch (step.action()) {
            case DISPATCH -> dispatch(request, step.endpoint());
            case REJECT -> reject(request);
            case WAIT -> {
                // its wait ends in onTimer, or with the event that it waits for
            }
        }
    }

    private void dispatch(PendingRequest request, EndpointState endpoint) {
        if (!dispatch.tryStart(request, endpoint)) {
            reject(request);
        }
    }

    /** Handles the end of an attempt; the parameters are those of {@code LoadBalancer.onAttemptEnd}. */
    public void onAttemptEnd(RequestId id, int number, Outcome outcome, LoadReport report, boolean last,
                             long proxyDelayNanos) {
        PendingRequest request = requests.get(id);
        Attempt attempt = request == null ? null : request.attemptInFlight(number);
        if (attempt == null) {
            return; // it has ended before
        }
        if (outcome == Outcome.SUCCEEDED) {
            request.onSuccess();
        }
        recordSuccess(request, proxyDelayNanos);
        if (last) {
            finish(request); // requests this attempt's cancellation too, which the host ignores
        }
        attempt.endpoint().onReport(report, event.now());
        dispatch.onAttemptEnd(request, attempt, outcome, proxyDelayNanos);
        if (endpoints.isOrigin(attempt.endpoint())) {
            endFetch(request);
        }
        if (!request.isFinished()) {
            continueAfterAttempt(request, attempt.endpoint(), outcome);
        }
        forgetIfComplete(request);
    }

    private void recordSuccess(PendingRequest request, long proxyDelayNanos) {
        if (request.hasSucceeded() && !request.isFinished()) {
            long completedNanos = event.now() - proxyDelayNanos;
            loadShedder.onSuccess(request.requestClass(), request.objectiveNanos() - completedNanos);
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

    /** Goes on with the requests that wait for an endpoint's load, which has just been reported. */
    public void onLoadReport(EndpointState endpoint) {
        for (PendingRequest request : waitQueue.awaitingReplies()) {
            if (request.waitReason() == WaitReason.LOAD_REPLIES) {
                perform(request, selection.onLoadReport(request, endpoint));
            }
        }
    }

    /** Goes on with the requests that wait to hear whether an endpoint has a key cached. */
    public void onCacheStatus(EndpointState endpoint, CacheKey key, boolean cached) {
        for (PendingRequest request : waitQueue.awaitingReplies()) {
            if (request.waitReason() == WaitReason.LOAD_REPLIES && request.key().equals(key)) {
                perform(request, selection.onCacheStatus(request, endpoint, cached));
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

    /** Cancels what waits for an unresponsive endpoint and may be attempted elsewhere. */
    public void onUnresponsive(EndpointState endpoint) {
        dispatch.cancelMovable(endpoint, requests::get);
    }

    /** Sets whether to do without retries that are not saved up yet and probes that no request waits for. */
    public void conserveResources(boolean conserve) {
        retryBudget.setFrozen(conserve);
        selection.setConservesProbes(conserve);
    }

    /** Goes on with the requests whose waits are over. */
    public void endWaits() {
        for (PendingRequest due = waitQueue.pollDue(); due != null; due = waitQueue.pollDue()) {
            if (due.waitReason() == WaitReason.LOAD_REPLIES) {
                perform(due, selection.onWaitOver(due));
            } else {
                reject(due);
            }
        }
    }

    /** Starts the queued requests that the origin has capacity for. */
    public void startAtOrigin() {
        for (PendingRequest next = originFetch.pollStartable(); next
            != null; next = originFetch.pollStartable()) {
            waitQueue.release(next);
            dispatch(next, endpoints.origin());
        }
    }

    /** Returns when the next wait is over, in nanoseconds; Long.MAX_VALUE without any. */
    public long nextWaitEndNanos() {
        return waitQueue.nextDueNanos();
    }

    /** Gives a request its final answer at once: a rejection, if the rules let it be one, else a failure. */
    private void reject(PendingRequest request) {
        boolean rejected = retryPolicy.mayReject(request);
        rejectedKeys.add(request.key(), event.now());
        finish(request);
        long retryAfterNanos = retryAfterNanos(request);
        event.decisions().responses
            .add(new Decisions.FinalResponse(request.id(), rejected, rejected ? retryAfterNanos : 0));
    }

    private long retryAfterNanos(PendingRequest request) {
        long maxNanos = deployment.settings().maxRetryAfterNanos();
        double meanNanos = request.requestClass().latencyObjectiveNanos() * RETRY_AFTER_FRACTION;
        long drawnNanos = (long) (meanNanos * random.retryAfterFactor());
        return request.isOverQuota() ? maxNanos : Math.min(maxNanos, drawnNanos);
    }

    private void finish(PendingRequest request) {
        if (request.isFinished()) {
            return;
        }
        request.finish();
        dispatch.cancelAll(request);
        waitQueue.release(request);
        endFetch(request);
        forgetIfComplete(request);
    }

    /**
     * Handles the end of a key's fetch: the followers look at the cache again, or one of them becomes the
     * leader.
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

    private void forgetIfComplete(PendingRequest request) {
        if (request.isFinished() && !request.hasAttemptInFlight()) {
            requests.remove(request.id());
        }
    }
}
