package spurroad.transport;

/**
 * Determines a lower bound for the time at which the bytes just read from one connection arrived in the
 * kernel's receive buffer.
 *
 * <p>A request's time limit starts at its arrival, not when it is read. The event loop knows the bound for
 * connections that are being read from. This class also covers the times when reading was paused or a read
 * left bytes behind. Event loop thread only.
 */
final class ReadArrivalTracker {
    private static final long NO_UNREAD_BYTES = Long.MIN_VALUE;

    private final EventLoop loop;
    /** Since when bytes may be unread, if reading is paused or the last read may have left some. */
    private long unreadSinceNanos = NO_UNREAD_BYTES;
    private long earliestArrivalNanos;
    private boolean lastReadMayHaveLeftBytes;

    ReadArrivalTracker(EventLoop loop) {
        this.loop = loop;
    }

    /** Records that bytes found by the first read may have arrived at any time since {@code sinceNanos}. */
    void onOpenedWithUnreadBytes(long sinceNanos) {
        unreadSinceNanos = sinceNanos;
    }

    /**
     * Records a read.
     *
     * @param mayHaveLeftBytes whether there may be bytes left that the read did not return
     * @param isReading whether reading is still enabled
     */
    void onRead(boolean mayHaveLeftBytes, boolean isReading) {
        lastReadMayHaveLeftBytes = mayHaveLeftBytes;
        earliestArrivalNanos = mayHaveUnreadBytes() ? unreadSinceNanos : loop.earliestArrivalNanos();
        if (mayHaveLeftBytes) {
            unreadSinceNanos = earliestArrivalNanos;
        } else {
            // not the current time: the loop may have been held up between the read and this call
            unreadSinceNanos = isReading ? NO_UNREAD_BYTES : loop.lastSelectStartNanos();
        }
    }

    /** Records that reading from the connection is paused. */
    void onReadingPaused() {
        if (!mayHaveUnreadBytes()) {
            unreadSinceNanos = loop.earliestArrivalNanos();
        }
    }

    /** Returns whether there may be unread bytes that arrived before the event loop's own bound. */
    boolean mayHaveUnreadBytes() {
        return unreadSinceNanos != NO_UNREAD_BYTES;
    }

    /** Returns whether there may be bytes left that the last read did not return. */
    boolean lastReadMayHaveLeftBytes() {
        return lastReadMayHaveLeftBytes;
    }

    /** Returns the earliest time at which the bytes of the last read can have arrived. */
    long earliestArrivalNanos() {
        return earliestArrivalNanos;
    }
}
