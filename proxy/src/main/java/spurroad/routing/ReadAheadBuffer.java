package spurroad.routing;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import spurroad.protocol.ByteSource;
import spurroad.protocol.MetaCommand;
import spurroad.transport.MemoryBudget;

/**
 * Buffers input of a client that was not parsed yet, with its arrival times. Each connection may hold one
 * chunk; further chunks, up to a limit, are reserved from a budget that all connections share. A chunk is
 * allocated when it is reserved, and dropped when it is released. Used on the event loop only.
 */
final class ReadAheadBuffer {
    /** Bytes that need no reservation; more than the longest command without a long value. */
    static final int CHUNK_BYTES = 4 * 1024;
    /** Maximum length in bytes of a value that is read with its command. */
    static final int MAX_VALUE_BYTES = 1024;
    /** Maximum reserved chunks if the budget allows; the client's disconnect may follow after them. */
    private static final int MAX_CHUNKS = 255;

    private final MemoryBudget budget;
    private final ByteSource unparsed = new ByteSource(); // the first bytes, at most one chunk
    private final Deque<ByteBuffer> chunks = new ArrayDeque<>(0); // the bytes after them
    private final ArrivalTimes arrivals = new ArrivalTimes(); // of all buffered bytes
    private long commandArrivedAtNanos;
    private int chunkOffset; // bytes of the first chunk that were moved to the unparsed bytes

    ReadAheadBuffer(MemoryBudget budget) {
        this.budget = budget;
    }

    // ---- input

    /** Appends bytes that arrived at the given time, Unix nanoseconds, even beyond the remaining capacity. */
    void append(ByteBuffer bytes, long arrivedAtNanos) {
        arrivals.onRead(bytes.remaining(), arrivedAtNanos);
        if (chunks.isEmpty()) {
            appendUnparsed(bytes);
        }
        while (bytes.hasRemaining()) {
            if (chunks.isEmpty() || !chunks.peekLast().hasRemaining()) {
                budget.forceReserve(CHUNK_BYTES);
                addChunk();
            }
            ByteBuffer last = chunks.peekLast();
            int count = Math.min(bytes.remaining(), last.remaining());
            last.put(bytes.slice(bytes.position(), count));
            bytes.position(bytes.position() + count);
        }
    }

    private void appendUnparsed(ByteBuffer bytes) {
        feed(bytes);
        if (!unparsed.mayHaveMessage()) {
            arrivals.mergeFirst(unparsed.available()); // all of them belong to one incomplete command
        }
    }

    /** Moves as many bytes to the unparsed ones as a chunk holds. */
    private void feed(ByteBuffer bytes) {
        int count = Math.min(bytes.remaining(), CHUNK_BYTES - unparsed.available());
        if (count > 0) {
            unparsed.feed(bytes.slice(bytes.position(), count));
            bytes.position(bytes.position() + count);
        }
    }

    private void addChunk() {
        chunks.add(ByteBuffer.allocate(CHUNK_BYTES));
    }

    /** Returns how many bytes may be appended now; tries to reserve another chunk if no capacity is left. */
    int remainingCapacity() {
        if (chunks.isEmpty() && unparsed.available() < CHUNK_BYTES) {
            return CHUNK_BYTES - unparsed.available();
        }
        boolean isFull = chunks.isEmpty() || !chunks.peekLast().hasRemaining();
        if (isFull && chunks.size() < MAX_CHUNKS && budget.tryReserve(CHUNK_BYTES)) {
            addChunk();
        }
        return chunks.isEmpty() ? 0 : chunks.peekLast().remaining();
    }

    boolean isEmpty() {
        return unparsed.available() == 0 && !hasBytesInChunks();
    }

    private boolean hasBytesInChunks() {
        return !chunks.isEmpty() && chunks.peekFirst().position() > chunkOffset;
    }

    // ---- commands

    /** Returns whether enough input was appended since the last parse attempt to try again. */
    boolean isWorthParsing() {
        while (!unparsed.mayHaveMessage() && hasBytesInChunks() && unparsed.available() < CHUNK_BYTES) {
            refill();
        }
        return unparsed.mayHaveMessage();
    }

    /** Moves bytes of the first chunk to the unparsed ones; an incomplete command leaves space for some. */
    private void refill() {
        ByteBuffer first = chunks.peekFirst();
        ByteBuffer unread = first.duplicate().flip().position(chunkOffset);
        feed(unread);
        chunkOffset = unread.position();
        if (chunkOffset == first.position()) {
            releaseFirstChunk();
        }
    }

    private void releaseFirstChunk() {
        chunks.remove();
        chunkOffset = 0;
        budget.release(CHUNK_BYTES);
    }

    /**
     * Parses the next command, without its value if that is a long one; returns null if it is incomplete.
     *
     * @throws IOException if the input can never become a command
     */
    MetaCommand nextCommand() throws IOException {
        MetaCommand command = parse();
        while (command == null && isWorthParsing()) {
            command = parse(); // its end was in a further chunk
        }
        return command;
    }

    private MetaCommand parse() throws IOException {
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

    /** Returns the first buffered bytes, at most a chunk of them, without removing them. */
    ByteBuffer peek() {
        if (unparsed.available() == 0 && hasBytesInChunks()) {
            refill();
        }
        return unparsed.peekBuffered();
    }

    /**
     * Removes a number of the bytes that {@link #peek} returned; returns when the last of them arrived, in
     * Unix nanoseconds.
     */
    long skip(int count) {
        unparsed.skipBuffered(count);
        return arrivals.take(count);
    }

    // ---- memory

    /** Returns how many bytes of memory the buffered input takes. */
    int heldBytes() {
        return unparsed.heldBytes() + chunks.size() * CHUNK_BYTES;
    }

    /** Releases a reserved chunk that nothing was appended to. */
    void releaseUnneeded() {
        if (!chunks.isEmpty() && chunks.peekLast().position() == 0) {
            chunks.removeLast();
            budget.release(CHUNK_BYTES);
        }
    }

    /** Drops all buffered bytes after the connection was closed, and releases all reserved chunks. */
    void releaseAll() {
        while (!chunks.isEmpty()) {
            releaseFirstChunk();
        }
    }
}
