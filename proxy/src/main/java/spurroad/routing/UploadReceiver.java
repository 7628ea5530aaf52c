package spurroad.routing;

import java.nio.ByteBuffer;
import spurroad.protocol.MetaCommand;
import spurroad.protocol.ProtocolException;
import spurroad.transport.GrowthBudget;

/**
 * Receives long values of writes, one at a time. Memory is reserved as the bytes arrive; without memory the
 * rest is left in the socket until there is some, or until the wait has taken so long that the write is given
 * up. Then the rest is received and discarded. Used on the event loop only.
 */
final class UploadReceiver {
    private enum State {
        NONE, RECEIVING, WAITING_FOR_MEMORY
    }

    private final GrowthBudget budget;
    private State state = State.NONE;
    private UploadBuffer buffer;
    private long remainingWaitNanos;
    private long waitingSinceNanos;

    UploadReceiver(GrowthBudget budget) {
        this.budget = budget;
    }

    /**
     * Starts receiving; the value of an invalid command is discarded.
     *
     * @param maxWaitNanos how long the value may wait for memory in all
     */
    void begin(MetaCommand command, long maxWaitNanos) {
        buffer = new UploadBuffer(command, budget);
        remainingWaitNanos = maxWaitNanos;
        state = State.RECEIVING;
        if (command.kind == MetaCommand.Kind.INVALID) {
            buffer.discardRest();
        }
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

    /** Returns whether the rest of the value is discarded. */
    boolean isDiscarding() {
        return buffer.isDiscarding();
    }

    /** Consumes the bytes that belong to the value, as far as there is memory for them. */
    UploadBuffer.Progress receive(ByteBuffer bytes) throws ProtocolException {
        return buffer.take(bytes);
    }

    /** Returns the most bytes that a read may bring without many of them having to wait for memory. */
    int freeBytes() {
        return buffer.freeBytes();
    }

    /** Returns the command whose value is being received. */
    MetaCommand command() {
        return buffer.command;
    }

    /**
     * Waits for the memory that {@link #receive} needed, and then runs a task.
     *
     * @return for how long to wait at most, in nanoseconds
     */
    long awaitMemory(long now, Runnable onAvailable) {
        state = State.WAITING_FOR_MEMORY;
        waitingSinceNanos = now;
        buffer.awaitMemory(onAvailable);
        return remainingWaitNanos;
    }

    /** Continues to receive with the memory that was awaited. */
    void resume(long now) {
        remainingWaitNanos -= now - waitingSinceNanos;
        state = State.RECEIVING;
    }

    /** Gives the value up: releases its memory, and goes on receiving in order to discard the rest. */
    void giveUp() {
        buffer.discardRest();
        state = State.RECEIVING;
    }

    /** Ends a complete upload and returns its memory, which the caller must release. */
    GrowthBudget.Reservation finish() {
        GrowthBudget.Reservation memory = buffer.complete();
        end();
        return memory;
    }

    /** Aborts an incomplete upload and releases its memory; does nothing if there is none. */
    void abort() {
        if (buffer != null) {
            buffer.release();
            end();
        }
    }

    private void end() {
        buffer = null;
        state = State.NONE;
    }
}
