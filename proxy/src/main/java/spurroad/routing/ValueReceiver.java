package spurroad.routing;

import java.io.IOException;
import spurroad.protocol.ByteSource;
import spurroad.protocol.UpstreamReply;
import spurroad.transport.EventLoop;

/**
 * Receives the value of a reply completely before it is forwarded, and reads from its endpoint's connection
 * only while there is memory for the value. Used on the event loop only.
 */
final class ValueReceiver {
    /** A held value is forwarded after this time at the latest, complete or not. */
    private static final long MAX_HOLD_NANOS = 1_000_000_000L;
    /** Divisor of the time left: the quotient is how long a value is held at most. */
    private static final int HOLD_DIVISOR = 2;
    /** Divisor of the time left: the quotient is how long a value waits for memory before it is given up. */
    private static final int MEMORY_WAIT_DIVISOR = 2;

    private final EndpointConnection connection;
    private final EndpointConnectionPool pool;
    private final ByteSource input;
    private IncomingValue value; // null while none is being received
    private HeldValue heldValue; // the same value as long as it may be forwarded before it is complete
    private long stallNanos;
    private long memoryDeadlineNanos; // until when the value waits for memory; 0 before it has to
    private EventLoop.Timer timeout; // of a pause within the value, or of its wait for memory; may be null
    private EventLoop.Timer holdTimeout; // null unless a value is held

    ValueReceiver(EndpointConnection connection, EndpointConnectionPool pool, ByteSource input) {
        this.connection = connection;
        this.pool = pool;
        this.input = input;
    }

    /** Returns whether a value is being received. */
    boolean isActive() {
        return value != null;
    }

    /**
     * Starts to receive a value.
     *
     * @param maxPauseNanos maximum pause between two reads
     */
    void begin(IncomingValue next, long maxPauseNanos) {
        value = next;
        stallNanos = maxPauseNanos;
        receive();
    }

    /**
     * Starts to receive a value that is forwarded after a while even if it is not complete. If it broke off
     * after that, the client's connection would have to be reset, and the commands behind it would get no
     * response. A value whose turn has not come loses no time by that.
     */
    void hold(HeldValue next, long maxPauseNanos) {
        heldValue = next;
        long holdNanos = Math.min(MAX_HOLD_NANOS, timeLeftNanos() / HOLD_DIVISOR);
        holdTimeout = pool.loop().schedule(holdNanos, this::forwardHeldValue);
        begin(next, maxPauseNanos);
    }

    private long timeLeftNanos() {
        return connection.attempt.deadlineNanos - pool.now();
    }

    private void forwardHeldValue() {
        HeldValue forwarded = heldValue;
        if (forwarded != null) {
            end();
            connection.beginStream(forwarded.reply(), forwarded.streamedResponse(connection));
        }
    }

    /** Takes what has arrived of the value; reads on only while there is memory for it. */
    void receive() {
        try {
            switch (value.receive(input)) {
                case COMPLETE -> complete();
                case BYTES_NEEDED -> {
                    connection.resumeReading(value.freeBytes());
                    setTimeout(stallNanos, connection::abort);
                }
                case MEMORY_NEEDED -> awaitMemory();
            }
        } catch (IOException failure) {
            connection.onReplyFailure(failure);
        }
    }

    /** Leaves the rest of the value in the socket until there is memory for it, or time runs short. */
    private void awaitMemory() {
        if (memoryDeadlineNanos == 0) {
            memoryDeadlineNanos = pool.now() + timeLeftNanos() / MEMORY_WAIT_DIVISOR;
        }
        connection.pauseReading();
        UpstreamRequest attempt = connection.attempt;
        cancelTimeout();
        if (heldValue == null) {
            setTimeout(memoryDeadlineNanos - pool.now(), () -> pool.onReplyWithoutMemory(attempt));
        }
        value.awaitMemory(this::receive);
    }

    private void complete() {
        connection.resumeReading(0); // what completes the value may have been read before a wait for memory
        UpstreamReply reply = value.complete(connection.attempt, input.available() == 0);
        end();
        connection.onValueComplete(reply);
    }

    private void setTimeout(long nanos, Runnable task) {
        cancelTimeout();
        timeout = pool.loop().schedule(nanos, task);
    }

    private void cancelTimeout() {
        if (timeout != null) {
            timeout.cancel();
        }
    }

    private void end() {
        cancelTimeout();
        value = null;
        memoryDeadlineNanos = 0;
        if (heldValue != null) {
            heldValue = null;
            holdTimeout.cancel();
        }
    }

    /** Gives up the value that is being received, if there is one, and releases its memory. */
    void release() {
        if (value != null) {
            value.release();
            end();
        }
    }
}
