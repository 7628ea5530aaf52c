package spurroad.transport;

/**
 * Bounds since when the bytes that one connection has just read may have been in the system's receive buffer.
 *
 * <p>A request's time runs from its arrival, not from when it is read. The event loop knows since when bytes
 * can have been there unread while the connection was being read from; this adds the times when it was not,
 * or when a read left some bytes behind. Event loop thread only.
 */
final class ReadArrivalTracker {
    private static final long NO_UNREAD_BYTES = Long.MIN_VALUE;

    private final EventLoop loop;
    /** Since when unread bytes may be there, while reading is paused or a read may have left some. */
    private long unreadSinceNanos = NO_UNREAD_BYTES;
    private long earliestArrivalNanos;

    ReadArrivalTracker(EventLoop loop) {
        this.loop = loop;
    }

    /** Notes that what is there before the first read may have arrived from a time on. */
    void onOpenedWithUnreadBytes(long sinceNanos) {
        unreadSinceNanos = sinceNanos;
    }

    /**
     * Notes a read.
     *
     * @param mayHaveLeftBytes whether the read may not have taken all there was
     * @param isReading whether the connection is still read from
     */
    void onRead(boolean mayHaveLeftBytes, boolean isReading) {
        earliestArrivalNanos = mayHaveUnreadBytes() ? unreadSinceNanos : loop.earliestArrivalNanos();
        if (mayHaveLeftBytes) {
            unreadSinceNanos = earliestArrivalNanos;
        } else {
            // not from now: after the read the loop may have been held up before it came here
            unreadSinceNanos = isReading ? NO_UNREAD_BYTES : loop.lastSelectStartNanos();
        }
    }

    /** Notes that the connection is not read from until further notice. */
    void onReadingPaused() {
        if (!mayHaveUnreadBytes()) {
            unreadSinceNanos = loop.earliestArrivalNanos();
        }
    }

    /** Returns whether bytes may be there that arrived before the event loop's own bound. */
    boolean mayHaveUnreadBytes() {
        return unreadSinceNanos != NO_UNREAD_BYTES;
    }

    /** Returns when the bytes read last can have arrived at the earliest. */
    long earliestArrivalNanos() {
        return earliestArrivalNanos;
    }
}
