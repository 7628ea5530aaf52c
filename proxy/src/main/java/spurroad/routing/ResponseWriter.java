package spurroad.routing;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import spurroad.transport.Connection;
import spurroad.transport.GrowthBudget;

/**
 * Writes the responses of one client connection in the order of its commands, and monitors how fast the
 * client reads them. Used on the event loop only.
 */
final class ResponseWriter {
    /** Connection that the responses are written to. */
    interface Owner {
        /** Returns whether this side has closed the connection. */
        boolean isClosed();

        /** Called when the operating system has accepted everything that was written. */
        void onDrained();

        /**
         * Called when the operating system has accepted a response, at the given time in Unix nanoseconds.
         */
        void onResponseWritten(ResponseSlot slot, long nowNanos);

        /** Called when the rest of a long value will not arrive. */
        void onStreamBroken();
    }

    /** A client that accepts no data for this time is treated as gone. */
    private static final long STALL_TIMEOUT_NANOS = 10_000_000_000L;
    /** Stall timeout while the memory for responses is overdrawn. */
    private static final long STALL_TIMEOUT_UNDER_PRESSURE_NANOS = 1_000_000_000L;
    /** Maximum bytes of a long value that wait to be sent to the client. */
    private static final int STREAM_WINDOW_BYTES = 64 * 1024;
    /** The same while there is no memory for more, so that every client gets its value, if slowly. */
    private static final int MIN_STREAM_WINDOW_BYTES = 8 * 1024;
    /** Bytes of a response that are part of the memory of its request. */
    private static final int UNRESERVED_RESPONSE_BYTES = ClientConnections.REQUEST_MEMORY_BYTES / 2;
    /** Send buffer size for a long value, in bytes; the operating system allocates twice as much. */
    private static final int STREAM_SEND_BUFFER_BYTES = 128 * 1024;
    /** Time for the buffered end of a streamed response to reach the client, at 10 KB per second. */
    private static final long STREAM_DELIVERY_NANOS = 30_000_000_000L;
    /** A response up to this size fits into the client's buffers completely, if it is the only one. */
    private static final int LONG_RESPONSE_BYTES = 16 * 1024;
    /** Bytes that fit into the smallest receive buffer that a client can have. */
    private static final int MIN_RECEIVE_BUFFER_BYTES = 1024;

    private final Owner owner;
    private final ClientConnections clients;
    private final Connection connection;
    private final Deque<ResponseSlot> pending = new ArrayDeque<>();
    private ResponseSlot writing; // not yet completely accepted by the operating system
    private long writingSinceNanos = Long.MAX_VALUE; // or the time of the client's last progress
    private long deliveringUntilNanos; // a long response may be in the system's buffers until then
    private long receivingUntilNanos; // responses may be in the system's send queue until then
    private long bytesDelivered; // known to have left the system's send queue
    private long bytesAccepted; // as of the last progress check
    private int streamWindowBytes; // of the long value that is being written

    ResponseWriter(Owner owner, ClientConnections clients, Connection connection) {
        this.owner = owner;
        this.clients = clients;
        this.connection = connection;
    }

    /** Appends a slot for the response to the next command. */
    ResponseSlot append() {
        if (isIdle()) {
            deliveringUntilNanos = 0; // a client that sends its next command has read the previous responses
        }
        ResponseSlot slot = new ResponseSlot();
        pending.add(slot);
        return slot;
    }

    /** Returns how many responses are awaited or being written. */
    int size() {
        return pending.size() + (writing == null ? 0 : 1);
    }

    /** Returns whether no response is awaited or being written. */
    boolean isIdle() {
        return pending.isEmpty() && writing == null;
    }

    /** Returns whether the response to a request is the last one that is awaited. */
    boolean isLast(ProxiedRequest request) {
        return !pending.isEmpty() && pending.peekLast().request == request;
    }

    /** Returns whether a long value that may break off is being written or waits for its turn. */
    boolean hasBreakableValue() {
        if (writing != null && canBreak(writing)) {
            return true;
        }
        for (ResponseSlot slot : pending) {
            if (canBreak(slot)) {
                return true;
            }
        }
        return false;
    }

    private static boolean canBreak(ResponseSlot slot) {
        return slot.streamed != null && slot.streamed.canBreak();
    }

    /** Returns whether all responses before the one to a request are written. */
    boolean isNext(ProxiedRequest request) {
        return writing == null && !pending.isEmpty() && pending.peek().request == request;
    }

    /**
     * Returns whether the client may still be receiving a long response that the operating system has
     * accepted.
     */
    boolean isDelivering(long nowNanos) {
        return nowNanos <= deliveringUntilNanos;
    }

    /**
     * Returns whether responses, of any size, may still be in the system's send queue, which a reset drops. A
     * client that takes nothing for a long time is treated as gone.
     */
    boolean mayHaveUndelivered(long nowNanos) {
        return connection.bytesAccepted() - bytesDelivered > MIN_RECEIVE_BUFFER_BYTES
            && nowNanos <= receivingUntilNanos;
    }

    /** Notes that the system's send queue was found empty. */
    void onDelivered() {
        bytesDelivered = connection.bytesAccepted();
        deliveringUntilNanos = 0;
    }

    /** Returns how many requests await their final responses. */
    int awaitedResponses() {
        int awaited = 0;
        for (ResponseSlot slot : pending) {
            awaited += slot.isAwaitingResponse() ? 1 : 0;
        }
        return awaited;
    }

    /**
     * Puts the final response of a request into its slot; does nothing if the request has no slot any more.
     */
    void respond(ProxiedRequest request, byte[] response, OutcomeStatistics.End end,
                 LongResponse streamed, GrowthBudget.Reservation memory) {
        ResponseSlot slot = slotOf(request);
        if (slot == null) {
            abandonUnwanted(streamed, memory);
            return;
        }
        clients.rules.onResponse(request.command.id(), slot.response != null,
            clients.now() - Math.max(request.deadlineNanos, request.acceptedAtNanos));
        slot.response = response;
        slot.end = end;
        slot.streamed = streamed;
        slot.hasLongValue = streamed != null;
        slot.setResponseMemory(memory);
        slot.setResponseBytes(memory != null ? 0 : Math.max(0, response.length - UNRESERVED_RESPONSE_BYTES));
        clients.reserveForResponse(slot.responseBytes());
    }

    private static void abandonUnwanted(LongResponse streamed, GrowthBudget.Reservation memory) {
        if (streamed != null) {
            streamed.abandon();
        }
        if (memory != null) {
            memory.release();
        }
    }

    private ResponseSlot slotOf(ProxiedRequest request) {
        for (ResponseSlot slot : pending) {
            if (slot.request == request) {
                return slot;
            }
        }
        return null;
    }

    /** Writes the available responses, up to the first that is awaited. */
    void flush() {
        while (writing == null && !owner.isClosed() && !pending.isEmpty()
            && pending.peek().response != null) {
            writeNext();
        }
    }

    private void writeNext() {
        writing = pending.poll();
        if (writing.request != null) {
            // the client may reuse the id as soon as it has the response
            clients.openRequests.remove(writing.request.command.id(), writing.request);
        }
        writingSinceNanos = clients.now();
        connection.write(writing.response);
        if (writing.streamed != null) {
            // a reset discards what is in the send buffer, and nothing reports when it has been sent
            connection.limitSendBuffer(STREAM_SEND_BUFFER_BYTES);
            reserveStreamWindow(writing);
            writing.streamed.start(this);
        } else if (connection.isDrained()) {
            onWritten();
        }
    }

    /**
     * Reserves the window of a long value only now that its turn has come: values that wait for earlier
     * responses stay with their endpoints.
     */
    private void reserveStreamWindow(ResponseSlot slot) {
        boolean hasMemory = clients.requestMemory.tryReserve(STREAM_WINDOW_BYTES);
        streamWindowBytes = hasMemory ? STREAM_WINDOW_BYTES : MIN_STREAM_WINDOW_BYTES;
        if (!hasMemory) {
            clients.requestMemory.forceReserve(streamWindowBytes);
        }
        slot.setResponseBytes(slot.responseBytes() + streamWindowBytes);
    }

    /**
     * Handles that the operating system has accepted everything written; returns whether that completed a
     * response.
     */
    boolean onDrained() {
        if (writing == null) {
            return false;
        }
        if (writing.streamed != null) {
            writing.streamed.onDrained();
            return false;
        }
        onWritten();
        flush();
        return true;
    }

    private void onWritten() {
        ResponseSlot slot = writing;
        writing = null;
        writingSinceNanos = Long.MAX_VALUE;
        slot.countEnd(slot.end);
        long now = clients.now();
        receivingUntilNanos = Math.max(receivingUntilNanos,
            now + (slot.hasLongValue ? STREAM_DELIVERY_NANOS : STALL_TIMEOUT_NANOS));
        if (slot.hasLongValue) {
            deliveringUntilNanos = now + STREAM_DELIVERY_NANOS;
        } else if (slot.response.length > LONG_RESPONSE_BYTES) {
            deliveringUntilNanos = now + STALL_TIMEOUT_NANOS;
        }
        slot.release(clients);
        owner.onResponseWritten(slot, now);
    }

    // ---- from a streamed response

    /**
     * Returns whether more of the value can be written: the operating system has accepted the previous part.
     */
    boolean isReadyForMore() {
        return !owner.isClosed() && connection.isDrained();
    }

    /** Returns how many bytes of the value may be written at a time. */
    int windowBytes() {
        return streamWindowBytes;
    }

    /** Writes a part of the value. */
    void writePart(ByteBuffer bytes) {
        connection.write(bytes);
    }

    /** Ends the response after the complete value, with the given bytes. */
    void finishStream(byte[] end) {
        writing.streamed = null;
        connection.write(end);
        if (connection.isDrained()) {
            clients.loop.execute(owner::onDrained); // deferred: the endpoint is still being read
        }
    }

    /** Handles that the rest of the value will not arrive. */
    void breakStream() {
        if (writing != null) {
            writing.countEnd(OutcomeStatistics.End.ABORTED);
        }
        owner.onStreamBroken();
    }

    // ---- progress of the client

    /** Records whether the client has read anything since the last call. */
    void checkProgress(long nowNanos) {
        if (connection.bytesAccepted() != bytesAccepted) {
            bytesAccepted = connection.bytesAccepted();
            writingSinceNanos = writing == null ? writingSinceNanos : nowNanos;
        }
    }

    /** Returns whether the client has read nothing of a response for too long. */
    boolean isStalled(long nowNanos) {
        return nowNanos - STALL_TIMEOUT_NANOS > writingSinceNanos && !connection.isDrained();
    }

    /**
     * Returns whether the client reads a response too slowly for the memory that it holds; streamed responses
     * are exempt.
     */
    boolean isTooSlowUnderPressure(long nowNanos) {
        return nowNanos - STALL_TIMEOUT_UNDER_PRESSURE_NANOS > writingSinceNanos
            && (writing == null || writing.streamed == null);
    }

    // ---- closing

    /** Abandons all responses after the connection was closed. */
    void close() {
        for (ResponseSlot slot : pending) {
            if (slot.request != null) {
                clients.openRequests.remove(slot.request.command.id(), slot.request);
            }
            if (slot.isAwaitingResponse()) {
                clients.loadBalancer.onClientDisconnect(slot.request);
            }
            abandon(slot);
        }
        if (writing != null) {
            abandon(writing);
        }
        pending.clear();
        writing = null;
    }

    private void abandon(ResponseSlot slot) {
        if (slot.nonIdempotent && slot.request != null && slot.request.sent) {
            clients.abandoned.add(slot.request.command.id(), clients.now());
        }
        slot.countEnd(OutcomeStatistics.End.DISCONNECTED);
        if (slot.streamed != null) {
            slot.streamed.abandon();
        }
        slot.release(clients);
    }
}
