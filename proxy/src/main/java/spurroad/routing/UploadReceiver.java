package spurroad.routing;

import java.nio.ByteBuffer;
import spurroad.protocol.MetaCommand;
import spurroad.protocol.ProtocolException;
import spurroad.transport.MemoryBudget;

/**
 * Receives long values of writes, one at a time. A value is read once memory for all of it is reserved; until
 * then it is left in the socket. Used on the event loop only.
 */
final class UploadReceiver {
    private enum State {
        NONE, WAITING_FOR_MEMORY, RECEIVING
    }

    private final MemoryBudget budget;
    private State state = State.NONE;
    private UploadBuffer buffer;
    private long reservedBytes;

    UploadReceiver(MemoryBudget budget) {
        this.budget = budget;
    }

    /** Starts receiving; returns false if memory is short, and is then to be called again later. */
    boolean tryBegin(UploadBuffer next) {
        buffer = next;
        boolean reserved = budget.tryReserve(next.command.valueLength());
        state = reserved ? State.RECEIVING : State.WAITING_FOR_MEMORY;
        reservedBytes = reserved ? next.command.valueLength() : 0;
        return reserved;
    }

    /** Returns whether a value is being received or waits for memory. */
    boolean isActive() {
        return state != State.NONE;
    }

    boolean isWaitingForMemory() {
        return state == State.WAITING_FOR_MEMORY;
    }

    boolean isReceiving() {
        return state == State.RECEIVING;
    }

    /** Consumes the bytes that belong to the value; returns true once it is complete. */
    boolean receive(ByteBuffer bytes) throws ProtocolException {
        return buffer.take(bytes);
    }

    /** Returns the command whose value is being received. */
    MetaCommand command() {
        return buffer.command;
    }

    /** Ends a complete upload and returns its reserved bytes, which the caller must release. */
    long finish() {
        long bytes = reservedBytes;
        reservedBytes = 0;
        buffer = null;
        state = State.NONE;
        return bytes;
    }

    /** Releases the memory of a finished upload that is no longer needed. */
    void release(long bytes) {
        budget.release(bytes);
    }

    /** Aborts an incomplete upload and releases its memory; does nothing if there is none. */
    void abort() {
        budget.release(finish());
    }
}
