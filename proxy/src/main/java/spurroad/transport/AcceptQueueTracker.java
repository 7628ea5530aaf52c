package spurroad.transport;

import java.util.OptionalInt;

/**
 * Bounds since when the connection that is accepted next can have been in the accept queue.
 *
 * <p>The system queues connections in the order in which they came. So once as many have been accepted as
 * were queued at some moment, all that follow came after it: a queue that never gets empty need not pass for
 * one in which everybody has waited. Where the length of the queue is not known, only an empty queue tells.
 * Another process that accepts from the same socket makes the bound earlier than it need be, never later.
 * Event loop thread only.
 */
final class AcceptQueueTracker {
    private static final long QUEUE_EMPTY = Long.MAX_VALUE;
    private static final int NO_SAMPLE = -1;

    /** Since when, at the earliest, the next connection may be queued, in Unix nanoseconds. */
    private long queuedSinceNanos;
    /** How many of the connections that were queued at the mark are not accepted yet. */
    private int remainingSampled = NO_SAMPLE;
    private long sampledNanos;

    /** Starts with a queue whose connections may have come at any time since then. */
    AcceptQueueTracker(long queuedSinceNanos) {
        this.queuedSinceNanos = queuedSinceNanos;
    }

    /**
     * Notes the length of the queue.
     *
     * @param length empty where it is unknown
     * @param nowNanos a time before the length was read, in Unix nanoseconds
     */
    void onLength(OptionalInt length, long nowNanos) {
        if (length.isEmpty()) {
            return;
        }
        boolean replacesSample = remainingSampled == NO_SAMPLE || length.getAsInt() <= remainingSampled;
        if (replacesSample) {
            remainingSampled = length.getAsInt();
            sampledNanos = nowNanos;
            applySampleIfReached();
        }
    }

    /** Notes that connections are queued, which can't have been so before a time in Unix nanoseconds. */
    void onReady(long earliestNanos) {
        queuedSinceNanos = Math.min(queuedSinceNanos, earliestNanos);
    }

    /** Notes that a connection was accepted. */
    void onAccepted() {
        if (remainingSampled != NO_SAMPLE) {
            remainingSampled--;
            applySampleIfReached();
        }
    }

    private void applySampleIfReached() {
        if (remainingSampled == 0) {
            remainingSampled = NO_SAMPLE;
            queuedSinceNanos = Math.max(queuedSinceNanos, sampledNanos);
        }
    }

    /** Notes that the queue was found empty. */
    void onEmpty() {
        queuedSinceNanos = QUEUE_EMPTY;
        remainingSampled = NO_SAMPLE;
    }

    /** Returns whether the queue was empty when it was last looked at. */
    boolean wasEmpty() {
        return queuedSinceNanos == QUEUE_EMPTY;
    }

    /** Returns since when, at the earliest, the next connection may have been queued. */
    long queuedSinceNanos() {
        return queuedSinceNanos;
    }
}
