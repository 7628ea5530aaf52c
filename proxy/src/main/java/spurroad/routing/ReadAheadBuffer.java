package spurroad.routing;

import java.io.IOException;
import java.nio.ByteBuffer;
import spurroad.protocol.ByteSource;
import spurroad.protocol.MetaCommand;
import spurroad.transport.MemoryBudget;

/**
 * Buffers input of a client that was not parsed yet, with its arrival times. Each connection may hold one
 * chunk; further chunks, up to a limit, are reserved from a budget that all connections share. Used on the
 * event loop only.
 */
final class ReadAheadBuffer {
    /** Bytes that need no reservation; several times the longest command without a long value. */
    static final int CHUNK_BYTES = 8 * 1024;
    /** Maximum length in bytes of a value that is read with its command. */
    static final int MAX_VALUE_BYTES = 1024;
    /** Maximum bytes buffered if the budget allows; the client's disconnect may follow after them. */
    private static final int MAX_BYTES = 1024 * 1024;

    private final MemoryBudget budget;
    private final ByteSource unparsed = new ByteSource();
    private final ArrivalTimes arrivals = new ArrivalTimes(); // of the unparsed bytes
    private long commandArrivedAtNanos;
    private long reservedBytes;

    ReadAheadBuffer(MemoryBudget budget) {
        this.budget = budget;
    }

    /** Appends bytes that arrived at the given time, Unix nanoseconds. */
    void append(ByteBuffer bytes, long arrivedAtNanos) {
        arrivals.onRead(bytes.remaining(), arrivedAtNanos);
        unparsed.feed(bytes);
    }

    boolean isEmpty() {
        return unparsed.available() == 0;
    }

    /** Returns whether enough input was appended since the last parse attempt to try again. */
    boolean isWorthParsing() {
        return unparsed.mayHaveMessage();
    }

    /**
     * Parses the next command, without its value if that is a long one; returns null if it is incomplete.
     *
     * @throws IOException if the input can never become a command
     */
    MetaCommand nextCommand() throws IOException {
        int before = unparsed.available();
        MetaCommand command = unparsed.readMessage(in -> MetaCommand.read(in, MAX_VALUE_BYTES));
        if (command != null) {
            commandArrivedAtNanos = arrivals.take(before - unparsed.available());
        }
        return command;
    }

    /** Returns when the last byte of the most recently parsed command arrived, in Unix nanoseconds. */
    long commandArrivedAtNanos() {
        return commandArrivedAtNanos;
    }

    /** Returns when the first unparsed byte arrived, in Unix nanoseconds; requires unparsed bytes. */
    long earliestArrivalNanos() {
        return arrivals.earliest();
    }

    /** Removes and returns all unparsed bytes; requires that there are some. */
    byte[] takeAll() {
        arrivals.take(unparsed.available());
        return unparsed.takeBuffered(unparsed.available());
    }

    /** Returns how many bytes may be appended now; tries to reserve another chunk if no capacity is left. */
    int remainingCapacity() {
        releaseUnneeded();
        int used = unparsed.available();
        int capacity = CHUNK_BYTES + (int) reservedBytes;
        if (used >= capacity && capacity < MAX_BYTES && budget.tryReserve(CHUNK_BYTES)) {
            reservedBytes += CHUNK_BYTES;
            capacity += CHUNK_BYTES;
        }
        return capacity - used;
    }

    /** Releases the reserved chunks that the unparsed bytes no longer need. */
    void releaseUnneeded() {
        while (reservedBytes > 0 && unparsed.available() <= reservedBytes) {
            budget.release(CHUNK_BYTES);
            reservedBytes -= CHUNK_BYTES;
        }
    }

    /** Releases all reserved chunks after the connection was closed. */
    void releaseAll() {
        budget.release(reservedBytes);
        reservedBytes = 0;
    }
}
