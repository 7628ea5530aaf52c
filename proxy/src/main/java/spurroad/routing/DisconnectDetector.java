package spurroad.routing;

import spurroad.transport.Connection;
import spurroad.transport.EventLoop;

/**
 * Detects the disconnect of a client, so that nothing is sent upstream for it. The event loop reports a
 * disconnect only while it reads from the connection, and after all bytes sent before it. If the loop does
 * not read, has not read everything, or was held up, the detector reads ahead into the connection's
 * {@link ReadAheadBuffer} until it finds the end of the stream or no more input. Used on the event loop only.
 */
final class DisconnectDetector {
    /** Connection that is checked. */
    interface Owner {
        /** Returns whether this side has closed the connection. */
        boolean isClosed();

        /**
         * Returns whether the limit of discarded input is exceeded: reading stops there, so a later
         * disconnect would not be seen.
         */
        boolean exceedsDiscardLimit();

        /** Returns whether input goes to the read-ahead buffer or is discarded, as opposed to an upload. */
        boolean canReadAhead();

        /** Called when the client has disconnected. */
        void onClosed();

        /** Schedules the processing of commands that were read ahead. */
        void scheduleProcessing();
    }

    private static final long CHECK_INTERVAL_NANOS = 40_000_000L; // while reading is disabled
    /** Maximum age of the last check before an attempt may begin for the client. */
    private static final long MAX_AGE_NANOS = 15_000_000L;

    private final Owner owner;
    private final Connection connection;
    private final ReadAheadBuffer buffer;
    private final EventLoop loop;
    private boolean checkScheduled;
    private boolean readingAhead;
    private long checkedAtNanos; // when a disconnect was last looked for after all input
    private boolean mayHaveUnreadInput; // the last read returned as many bytes as it could

    DisconnectDetector(Owner owner, Connection connection, ReadAheadBuffer buffer, EventLoop loop) {
        this.owner = owner;
        this.connection = connection;
        this.buffer = buffer;
        this.loop = loop;
    }

    /**
     * Notes a read, after which more input may be unread. Ignores the reads of this detector, which checks
     * its own buffer.
     */
    void onRead(boolean mayHaveLeftBytes) {
        if (!readingAhead) {
            mayHaveUnreadInput = mayHaveLeftBytes;
        }
    }

    /** Returns whether this detector is reading at this moment; commands must not be processed meanwhile. */
    boolean isReadingAhead() {
        return readingAhead;
    }

    /** Starts periodic checks, which go on as long as reading from the connection is disabled. */
    void scheduleCheck() {
        if (!checkScheduled) {
            checkScheduled = true;
            loop.schedule(CHECK_INTERVAL_NANOS, this::onCheckDue);
        }
    }

    private void onCheckDue() {
        checkScheduled = false;
        if (!owner.isClosed() && !connection.isReading() && checkConnected() && !connection.isReading()) {
            scheduleCheck();
        }
    }

    /** Returns whether the client has disconnected; checks the connection unless the last check is recent. */
    boolean hasDisconnected() {
        if (owner.exceedsDiscardLimit()) {
            return true; // not known, so no further attempts begin for the requests of the client
        }
        boolean loopReportsEnd = connection.isReading() && !mayHaveUnreadInput;
        long reportedAtNanos = loopReportsEnd ? loop.earliestArrivalNanos() : checkedAtNanos;
        if (isConnectionClosed()) {
            owner.onClosed();
        } else if (loop.now() - Math.max(reportedAtNanos, checkedAtNanos) > MAX_AGE_NANOS) {
            checkConnected();
        }
        return owner.isClosed();
    }

    /**
     * Reads ahead to find a disconnect after all input that has arrived; returns false if the client has
     * disconnected.
     */
    boolean checkConnected() {
        boolean reading = connection.isReading();
        if (!owner.isClosed() && owner.canReadAhead()) {
            checkedAtNanos = loop.now();
            readAhead();
            if (isConnectionClosed()) {
                owner.onClosed();
            } else if (reading && !buffer.isEmpty()) {
                owner.scheduleProcessing();
            }
        }
        return !owner.isClosed();
    }

    private void readAhead() {
        readingAhead = true;
        while (buffer.remainingCapacity() > 0 && !owner.exceedsDiscardLimit()
            && connection.readAvailable(buffer.remainingCapacity()) && !isConnectionClosed()) {
            continue;
        }
        readingAhead = false;
        if (!isConnectionClosed()) {
            mayHaveUnreadInput = buffer.remainingCapacity() == 0;
        }
    }

    /**
     * Returns whether all input was read without an end of the stream: only then would a disconnect after it
     * be seen.
     */
    boolean hasReadAll() {
        if (mayHaveUnreadInput) {
            checkConnected();
        }
        return !mayHaveUnreadInput && !owner.isClosed();
    }

    private boolean isConnectionClosed() {
        return owner.isClosed() || connection.isClosed();
    }
}
