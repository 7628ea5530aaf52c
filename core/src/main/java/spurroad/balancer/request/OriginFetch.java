package spurroad.balancer.request;

import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import spurroad.balancer.context.ActiveDeployment;
import spurroad.balancer.context.EventContext;
import spurroad.balancer.endpoint.EndpointState;
import spurroad.balancer.endpoint.EndpointTable;
import spurroad.balancer.endpoint.ServiceTimeModel;
import spurroad.balancer.overload.ConcurrencyLimit;

/**
 * Sends writes and cache misses through one queue to the origin, if the proxy itself fetches from it.
 *
 * <p>The number in flight is limited to the queue that the origin serves within a bounded wait, or to the
 * concurrency that it has recently sustained if that is higher. The queue is ordered by quota, priority
 * weight, writes before reads, and age. Every few starts, a waiting read goes first: if only writes were
 * sent, which take longer, nothing would show that the origin has recovered. Cache misses of one key share a
 * fetch.
 */
public final class OriginFetch {
    // fraction of the shortest latency objective spent queueing at the origin; the rest wait here, in order
    private static final double MAX_ORIGIN_WAIT_FRACTION = 0.4;
    private static final int STARTS_PER_READ = 8;

    private static final Comparator<PendingRequest> BY_PRECEDENCE = OriginFetch::comparePrecedence;

    private final ActiveDeployment deployment;
    private final EventContext event;
    private final EndpointTable endpoints;
    private final ServiceTimeModel serviceTimes;
    private final ConcurrencyLimit concurrencyLimit;
    private final WaitQueue waitQueue;
    private final RequestCoalescer coalescer = new RequestCoalescer();
    private final TreeSet<PendingRequest> queue = new TreeSet<>(BY_PRECEDENCE);
    private long startCount;

    /** Creates an empty queue. {@link AttemptFeedback} updates the concurrency limit. */
    public OriginFetch(ActiveDeployment deployment, EventContext event, EndpointTable endpoints,
                       ServiceTimeModel serviceTimes, ConcurrencyLimit concurrencyLimit,
                       WaitQueue waitQueue) {
        this.deployment = deployment;
        this.event = event;
        this.endpoints = endpoints;
        this.serviceTimes = serviceTimes;
        this.concurrencyLimit = concurrencyLimit;
        this.waitQueue = waitQueue;
    }

    private static int comparePrecedence(PendingRequest first, PendingRequest second) {
        int byQuota = Boolean.compare(first.isOverQuota(), second.isOverQuota());
        if (byQuota != 0) {
            return byQuota;
        }
        int byWeight = Double.compare(second.requestClass().priorityWeight(),
            first.requestClass().priorityWeight());
        if (byWeight != 0) {
            return byWeight;
        }
        int byWrite = Boolean.compare(second.isWrite(), first.isWrite());
        return byWrite != 0 ? byWrite : Long.compare(first.sequence(), second.sequence());
    }

    /**
     * Returns whether a request has to go to the origin; always false if endpoints fetch from it themselves.
     */
    boolean isNeeded(PendingRequest request) {
        return deployment.settings().originKind() != null && (request.isWrite() || request.isCacheMissed());
    }

    /**
     * Queues a request for the origin, or for another request's fetch of its key. Returns a rejection instead
     * if the origin is expected to respond after the latency objective, or if no origin is ready.
     */
    NextStep enqueue(PendingRequest request) {
        if (!request.isWrite() && request.hasKey() && coalescer.joinOrLead(request)) {
            waitQueue.add(request, WaitReason.SHARED_FETCH, request.objectiveEndNanos());
            return NextStep.WAIT;
        }
        if (!isExpectedInTime(request)) {
            return NextStep.REJECT;
        }
        queue.add(request);
        waitQueue.add(request, WaitReason.ORIGIN_CAPACITY, request.objectiveEndNanos());
        return NextStep.WAIT;
    }

    private boolean isExpectedInTime(PendingRequest request) {
        EndpointState origin = endpoints.origin();
        if (origin == null) {
            return false;
        }
        if (origin.isIdle()) {
            return true; // whatever the past service time: the next response shows the current one
        }
        int requestsAhead = queue.headSet(request).size();
        long remainingNanos = request.objectiveEndNanos() - event.now();
        return serviceTimes.expectedNanos(origin, requestsAhead, event.now()) <= remainingNanos;
    }

    /**
     * Removes and returns the next request to start, or returns null if none waits or the origin has no
     * capacity.
     */
    PendingRequest pollStartable() {
        if (queue.isEmpty() || endpoints.origin() == null || !hasCapacity(endpoints.origin())) {
            return null;
        }
        startCount++;
        PendingRequest next = startCount % STARTS_PER_READ == 0 ? firstQueuedRead() : null;
        if (next == null) {
            next = queue.first();
        }
        queue.remove(next);
        return next;
    }

    private boolean hasCapacity(EndpointState origin) {
        double waitNanos = MAX_ORIGIN_WAIT_FRACTION * deployment.shortestObjectiveNanos();
        double softLimit = serviceTimes.softLimit(origin, waitNanos, event.now());
        return origin.inFlight().size() < Math.max(concurrencyLimit.limit(), softLimit);
    }

    private PendingRequest firstQueuedRead() {
        for (PendingRequest waiting : queue) {
            if (!waiting.isWrite()) {
                return waiting;
            }
        }
        return null;
    }

    /**
     * Removes a request from the queue and ends the fetch that it leads, if any. Returns the requests that
     * followed this fetch.
     */
    List<PendingRequest> end(PendingRequest request) {
        queue.remove(request);
        return coalescer.end(request);
    }
}
