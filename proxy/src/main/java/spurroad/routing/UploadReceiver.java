package spurroad.routing;

import java.nio.ByteBuffer;
import spurroad.protocol.MetaCommand;
import spurroad.protocol.ProtocolException;
import spurroad.transport.MemoryBudget;

/**
 * Receives the long value of a write, one at a time: it is read once there is memory for all of it, and until
 * then waits with the client. Used on the event loop only.
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

    /** Begins to receive; false where there is no memory for it, so that this is to be called again. */
    boolean tryBegin(UploadBuffer next) {
        buffer = next;
        boolean reserved = budget.tryReserve(next.command.valueLength());
        state = reserved ? State.RECEIVING : State.WAITING_FOR_MEMORY;
        reservedBytes = reserved ? next.command.valueLength() : 0;
        return reserved;
    }

    /** Whether a value is being received, or waits for memory. */
    boolean isActive() {
        return state != State.NONE;
    }

    boolean isWaitingForMemory() {
        return state == State.WAITING_FOR_MEMORY;
    }

    boolean isReceiving() {
        return state == State.RECEIVING;
    }

    /** Takes what belongs to the value; true once it is complete. */
    boolean receive(ByteBuffer bytes) throws ProtocolException {
        return buffer.take(bytes);
    }

    /** The command whose value is received. */
    MetaCommand command() {
        return buffer.command;
    }

    /** Ends a complete upload; returns its reserved bytes, which are the caller's to release from now on. */
    long finish() {
        long bytes = reservedBytes;
        reservedBytes = 0;
        buffer = null;
        state = State.NONE;
        return bytes;
    }

    /** Releases the bytes of a finished upload that nobody wants any more. */
    void release(long bytes) {
        budget.release(bytes);
    }

    /** Gives up an incomplete upload and its memory; does nothing where there is none. */
    void abort() {
        budget.release(finish());
    }
}
