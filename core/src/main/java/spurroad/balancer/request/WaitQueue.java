package spurroad.balancer.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import spurroad.balancer.context.ActiveDeployment;
import spurroad.balancer.context.EventContext;

/**
 * Requests that wait, in the order in which their waits end.
 *
 * <p>An entry whose request was released, or waits anew, is skipped when it comes up, so releasing costs no
 * search. Invariants: each wait ends at least one clock tick before the deadline, so that the answer is in
 * time, and at least one after now: a request without time left would otherwise be queued and released in
 * turn for ever.
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

    /** Has a request wait until a time in nanoseconds, or shortly before its deadline if that is earlier. */
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

    /** Ends a request's wait, if it waits. */
    void release(PendingRequest request) {
        if (request.waitReason() == WaitReason.LOAD_REPLIES) {
            awaitingReplies.remove(request);
        }
        request.endWait();
    }

    /** Returns a copy of the requests that wait for load replies, in the order in which they began to. */
    List<PendingRequest> awaitingReplies() {
        return awaitingReplies.isEmpty() ? List.of() : List.copyOf(awaitingReplies);
    }

    /** Returns a request whose wait is over, which it still has to be released from, or null. */
    PendingRequest pollDue() {
        while (nextDueNanos() <= event.now()) {
            Entry due = entries.poll();
            if (due.isCurrent()) {
                return due.request;
            }
        }
        return null;
    }

    /** Returns when the next entry is due, in nanoseconds; Long.MAX_VALUE without any. */
    long nextDueNanos() {
        return entries.isEmpty() ? Long.MAX_VALUE : entries.peek().dueNanos;
    }
}
