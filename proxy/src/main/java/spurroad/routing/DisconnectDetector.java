package spurroad.routing;

import spurroad.transport.Connection;
import spurroad.transport.EventLoop;

/**
 * Finds out whether a client has disconnected, so that nothing is sent upstream for it. The event loop
 * reports a disconnect only where it reads from the connection, and behind all bytes sent before. Where the
 * loop does not read, has not read everything, or was held up, the detector reads ahead into the connection's
 * {@link ReadAheadBuffer} until it sees the end or there is nothing more. Used on the event loop only.
 */
final class DisconnectDetector {
    /** The connection that is watched. */
    interface Owner {
        /** Whether this side has closed the connection. */
        boolean isClosed();

        /** Whether more input is discarded than is read, so that an end behind it would not be seen. */
        boolean isFlooding();

        /** Whether what is read goes to the read-ahead buffer, or is discarded. */
        boolean canReadAhead();

        /** The client has disconnected. */
        void onClosed();

        /** Commands that were read ahead are to be processed soon. */
        void scheduleProcessing();
    }

    private static final long CHECK_INTERVAL_NANOS = 40_000_000L; // while the connection is not read from
    /** An attempt may begin for a client that was connected so long ago. */
    private static final long MAX_AGE_NANOS = 15_000_000L;

    private final Owner owner;
    private final Connection connection;
    private final ReadAheadBuffer buffer;
    private final EventLoop loop;
    private boolean checkScheduled;
    private boolean readingAhead;
    private long checkedAtNanos; // when the end was last looked for behind everything that had arrived
    private boolean mayHaveUnread; // the last reading was as long as it could be

    DisconnectDetector(Owner owner, Connection connection, ReadAheadBuffer buffer, EventLoop loop) {
        this.owner = owner;
        this.connection = connection;
        this.buffer = buffer;
        this.loop = loop;
    }

    /** So many bytes have been read from the connection, by the loop or by this detector. */
    void onRead(int bytes) {
        if (!readingAhead) {
            mayHaveUnread = bytes >= ReadAheadBuffer.CHUNK_BYTES;
        }
    }

    /** Whether this detector is reading at this moment: commands are not to be processed meanwhile. */
    boolean isReadingAhead() {
        return readingAhead;
    }

    /** Checks again and again from now on, as long as the connection is not read from. */
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

    /** Whether the client has disconnected; checks unless that has been known for a short time. */
    boolean hasDisconnected() {
        if (owner.isFlooding()) {
            return true; // unknown: its requests end with what they have
        }
        boolean loopReportsEnd = connection.isReading() && !mayHaveUnread;
        long reportedAt = loopReportsEnd ? loop.earliestArrivalNanos() : checkedAtNanos;
        if (isGone()) {
            owner.onClosed();
        } else if (loop.now() - Math.max(reportedAt, checkedAtNanos) > MAX_AGE_NANOS) {
            checkConnected();
        }
        return owner.isClosed();
    }

    /** Looks for a disconnect behind everything that has arrived, reading ahead; false where it was found. */
    boolean checkConnected() {
        boolean reading = connection.isReading();
        if (!owner.isClosed() && owner.canReadAhead()) {
            checkedAtNanos = loop.now();
            readAhead();
            if (isGone()) {
                owner.onClosed();
            } else if (reading && !buffer.isEmpty()) {
                owner.scheduleProcessing();
            }
        }
        return !owner.isClosed();
    }

    private void readAhead() {
        readingAhead = true;
        while (buffer.remainingCapacity() > 0 && !owner.isFlooding()
            && connection.readAvailable(buffer.remainingCapacity()) && !isGone()) {
            continue;
        }
        readingAhead = false;
        if (!isGone()) {
            mayHaveUnread = buffer.remainingCapacity() == 0;
        }
    }

    /** Whether everything that arrived has been read, and no end: only then would one behind it be seen. */
    boolean hasReadAll() {
        if (mayHaveUnread) {
            checkConnected();
        }
        return !mayHaveUnread && !owner.isClosed();
    }

    private boolean isGone() {
        return owner.isClosed() || connection.isClosed();
    }
}
