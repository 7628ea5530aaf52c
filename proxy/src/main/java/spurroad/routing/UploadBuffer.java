package spurroad.routing;

import java.nio.ByteBuffer;
import spurroad.protocol.MetaCommand;
import spurroad.protocol.ProtocolException;
import spurroad.transport.GrowthBudget;

/**
 * Buffers the long value of a write as it is received, in pieces whose memory is reserved as needed, and
 * checks the line end after it. Used on the event loop only.
 */
final class UploadBuffer {
    /** What receiving waits for. */
    enum Progress {
        BYTES_NEEDED, MEMORY_NEEDED, COMPLETE
    }

    private static final String LINE_END = "\r\n";

    final MetaCommand command;
    private final ValuePieces pieces;
    private int remainingBytes; // bytes of the value still expected
    private int lineEndBytesReceived; // bytes of the line end received
    private boolean discarding;

    UploadBuffer(MetaCommand command, GrowthBudget budget) {
        this.command = command;
        remainingBytes = command.valueLength();
        pieces = new ValuePieces(budget, remainingBytes);
    }

    /** Consumes the bytes that belong to the value, as far as there is memory for them. */
    Progress take(ByteBuffer bytes) throws ProtocolException {
        while (remainingBytes > 0 && bytes.hasRemaining()) {
            if (discarding) {
                discard(bytes);
            } else if (pieces.last().hasRemaining()) {
                copy(bytes, pieces.last());
            } else if (!pieces.tryAdd()) {
                return Progress.MEMORY_NEEDED;
            }
        }
        return takeLineEnd(bytes) ? Progress.COMPLETE : Progress.BYTES_NEEDED;
    }

    private void discard(ByteBuffer bytes) {
        int count = Math.min(bytes.remaining(), remainingBytes);
        bytes.position(bytes.position() + count);
        remainingBytes -= count;
    }

    private void copy(ByteBuffer bytes, ByteBuffer piece) {
        int count = Math.min(bytes.remaining(), piece.remaining());
        piece.put(bytes.slice(bytes.position(), count));
        bytes.position(bytes.position() + count);
        remainingBytes -= count;
    }

    /** Consumes the line end after a complete value; returns whether it is complete too. */
    private boolean takeLineEnd(ByteBuffer bytes) throws ProtocolException {
        while (remainingBytes == 0 && lineEndBytesReceived < LINE_END.length() && bytes.hasRemaining()) {
            if (bytes.get() != LINE_END.charAt(lineEndBytesReceived++)) {
                throw new ProtocolException("CLIENT_ERROR bad data chunk");
            }
        }
        return lineEndBytesReceived == LINE_END.length();
    }

    /** Returns the most bytes that a read may bring without many of them having to wait for memory. */
    int freeBytes() {
        return pieces.last().remaining() + LINE_END.length();
    }

    /** Runs a task once there is the memory that {@link #take} needed. */
    void awaitMemory(Runnable onAvailable) {
        pieces.addLater(onAvailable);
    }

    /** Releases the memory, and discards what is still to come of the value. */
    void discardRest() {
        discarding = true;
        pieces.release();
    }

    boolean isDiscarding() {
        return discarding;
    }

    /** Passes the complete value to its command; returns its memory, which the caller must release. */
    GrowthBudget.Reservation complete() {
        command.valueChunks(pieces.complete().stream().map(ByteBuffer::array).toList());
        return pieces.memory();
    }

    /** Releases the memory of an incomplete value. */
    void release() {
        pieces.release();
    }
}
