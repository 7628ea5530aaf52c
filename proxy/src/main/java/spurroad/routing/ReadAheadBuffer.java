package spurroad.routing;

import java.io.IOException;
import java.nio.ByteBuffer;
import spurroad.protocol.ByteSource;
import spurroad.protocol.MetaCommand;
import spurroad.transport.MemoryBudget;

/**
 * What a client has sent and was not parsed yet, with its arrival times. Each connection may keep one chunk;
 * further chunks, up to a limit, are reserved from a budget that all connections share. Used on the event
 * loop only.
 */
final class ReadAheadBuffer {
    /** Bytes kept without a reservation; as much as one reading of a connection brings at most. */
    static final int CHUNK_BYTES = 64 * 1024;
    /** Bytes kept where the budget allows: the client's disconnect may come behind them. */
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

    /** Whether enough has been appended since the last attempt to parse a command for another one. */
    boolean isWorthParsing() {
        return unparsed.mayHaveMessage();
    }

    /**
     * Parses the next command; null where it is not complete yet.
     *
     * @throws IOException where what follows is no command and never will be
     */
    MetaCommand nextCommand() throws IOException {
        int before = unparsed.available();
        MetaCommand command = unparsed.readMessage(MetaCommand::read);
        if (command != null) {
            commandArrivedAtNanos = arrivals.take(before - unparsed.available());
        }
        return command;
    }

    /** When the last byte of the command parsed last arrived, Unix nanoseconds. */
    long commandArrivedAtNanos() {
        return commandArrivedAtNanos;
    }

    /** When the first unparsed byte arrived, Unix nanoseconds; only where there is one. */
    long earliestArrivalNanos() {
        return arrivals.earliest();
    }

    /** Removes all unparsed bytes; only where there are some. */
    byte[] takeAll() {
        arrivals.take(unparsed.available());
        return unparsed.takeBuffered(unparsed.available());
    }

    /** How many bytes may be appended now; reserves another chunk where there is no capacity left. */
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

    /** Gives back the chunks that the unparsed bytes do not need any more. */
    void releaseUnneeded() {
        while (reservedBytes > 0 && unparsed.available() <= reservedBytes) {
            budget.release(CHUNK_BYTES);
            reservedBytes -= CHUNK_BYTES;
        }
    }

    /** Gives back all chunks: the connection is closed. */
    void releaseAll() {
        budget.release(reservedBytes);
        reservedBytes = 0;
    }
}
