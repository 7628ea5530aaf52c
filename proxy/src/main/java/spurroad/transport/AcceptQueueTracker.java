package spurroad.transport;

import java.util.OptionalInt;

/**
 * Determines a lower bound for the time at which the next connection to be accepted entered the accept queue.
 *
 * <p>The operating system queues connections in the order of their arrival. Once as many have been accepted
 * as were queued when the length was sampled, all further connections arrived after the sample. So new
 * connections don't count as having waited long, even if the queue never becomes empty. If the length is
 * unknown, only an empty queue improves the bound. Another process that accepts from the same socket makes
 * the bound earlier than necessary, never later. Event loop thread only.
 */
final class AcceptQueueTracker {
    private static final long QUEUE_EMPTY = Long.MAX_VALUE;
    private static final int NO_SAMPLE = -1;

    /** The earliest time at which the next connection can have been queued, in Unix nanoseconds. */
    private long queuedSinceNanos;
    /** How many of the connections counted by the sample are not accepted yet. */
    private int remainingSampled = NO_SAMPLE;
    private long sampledNanos;

    /** Starts with a queue whose connections may have arrived at any time since {@code queuedSinceNanos}. */
    AcceptQueueTracker(long queuedSinceNanos) {
        this.queuedSinceNanos = queuedSinceNanos;
    }

    /**
     * Records a sample of the length of the queue.
     *
     * @param length the number of queued connections; empty if it is unknown
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

    /** Records that connections are queued that can't have arrived before {@code earliestNanos}. */
    void onReady(long earliestNanos) {
        queuedSinceNanos = Math.min(queuedSinceNanos, earliestNanos);
    }

    /** Records that a connection was accepted. */
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

    /** Records that the queue was found empty. */
    void onEmpty() {
        queuedSinceNanos = QUEUE_EMPTY;
        remainingSampled = NO_SAMPLE;
    }

    /** Returns whether the queue was empty when it was last checked. */
    boolean wasEmpty() {
        return queuedSinceNanos == QUEUE_EMPTY;
    }

    /** Returns the earliest time at which the next connection can have been queued, in Unix nanoseconds. */
    long queuedSinceNanos() {
        return queuedSinceNanos;
    }
}
