package spurroad.balancer.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import spurroad.balancer.context.ActiveDeployment;
import spurroad.balancer.context.EventContext;

/**
 * Waiting requests in the order in which their waits expire.
 *
 * <p>An entry whose request was released or has started another wait is skipped when it is due, so that a
 * release does not search the queue. Invariants: each wait expires at least one clock tick before the
 * deadline, so that the answer is in time, but not before one clock tick from now: a request without time
 * left would otherwise be queued and released in an endless loop.
 */
public final class WaitQueue {
    private record Entry(long dueNanos, long sequence, PendingRequest request, int waitNumber) {
        boolean isCurrent() {
            return request.waitReason() != WaitReason.NONE && request.waitNumber() == waitNumber;
        }
    }

    private static final Comparator<Entry> BY_DUE_TIME = Comparator.comparingLong(Entry::dueNanos)
        .thenComparingLong(Entry::sequence);

    private final ActiveDeployment deployment;
    private final EventContext event;
    private final PriorityQueue<Entry> entries = new PriorityQueue<>(BY_DUE_TIME);
    private final List<PendingRequest> awaitingReplies = new ArrayList<>();
    private long nextSequence;

    /** Creates an empty queue. */
    public WaitQueue(ActiveDeployment deployment, EventContext event) {
        this.deployment = deployment;
        this.event = event;
    }

    /**
     * Adds a request that waits until a time in nanoseconds, or until one clock tick before its deadline if
     * that is earlier.
     */
    void add(PendingRequest request, WaitReason reason, long untilNanos) {
        long tickNanos = deployment.settings().clockTickNanos();
        long dueNanos = Math.max(event.now() + tickNanos,
            Math.min(untilNanos, request.deadlineNanos() - tickNanos));
        request.startWait(reason);
        if (reason == WaitReason.LOAD_REPLIES) {
            awaitingReplies.add(request);
        }
        entries.add(new Entry(dueNanos, nextSequence, request, request.waitNumber()));
        nextSequence++;
    }

    /** Ends the wait of a request; does nothing if it does not wait. */
    void release(PendingRequest request) {
        if (request.waitReason() == WaitReason.LOAD_REPLIES) {
            awaitingReplies.remove(request);
        }
        request.endWait();
    }

    /**
     * Returns a copy of the requests that wait for load replies, in the order in which their waits started.
     */
    List<PendingRequest> awaitingReplies() {
        return awaitingReplies.isEmpty() ? List.of() : List.copyOf(awaitingReplies);
    }

    /**
     * Returns a request whose wait has expired and that the caller has to release, or null if there is none.
     */
    PendingRequest pollDue() {
        while (nextDueNanos() <= event.now()) {
            Entry due = entries.poll();
            if (due.isCurrent()) {
                return due.request;
            }
        }
        return null;
    }

    /** Returns when the next entry is due, in nanoseconds; Long.MAX_VALUE if the queue is empty. */
    long nextDueNanos() {
        return entries.isEmpty() ? Long.MAX_VALUE : entries.peek().dueNanos;
    }
}
