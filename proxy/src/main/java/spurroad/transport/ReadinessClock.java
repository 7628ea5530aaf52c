package spurroad.transport;

/**
 * Bounds since when a channel that the selector reports as ready can have been so.
 *
 * <p>The bound is the time at which the select before began: that one would have reported the channel had it
 * been ready then. It holds however long this process was held up since, between two selects or while it woke
 * up from one. How long a select takes tells nothing: on a busy machine one that finds a channel at once can
 * take as long as one that waited for it. Event loop thread only.
 */
final class ReadinessClock {
    private long lastSelectNanos;
    private long earliestReadyNanos;

    ReadinessClock(long nowNanos) {
        lastSelectNanos = nowNanos;
        earliestReadyNanos = nowNanos;
    }

    /** Notes that a select is about to begin, whether it waits or not. */
    void onSelectStart(long nowNanos) {
        earliestReadyNanos = lastSelectNanos;
        lastSelectNanos = nowNanos;
    }

    /** Returns since when, at the earliest, the channels being worked can have been ready. */
    long earliestReadyNanos() {
        return earliestReadyNanos;
    }

    /** Returns when the last select began: what is not found unread now comes later than that. */
    long lastSelectNanos() {
        return lastSelectNanos;
    }
}
