package spurroad.routing;

import java.nio.ByteBuffer;
import java.util.Deque;
import spurroad.protocol.MetaResponse;
import spurroad.transport.GrowthBudget;

/**
 * Writes a long value that was received completely to a client's connection, one piece at a time, and
 * releases the memory of each piece once it is written. Used on the event loop only.
 */
final class BufferedResponse implements LongResponse {
    private final Deque<ByteBuffer> pieces;
    private final GrowthBudget.Reservation memory;
    private final long valueBytes;
    private ResponseWriter writer;
    private boolean ended;

    /** Takes over the pieces of the value, each from its start to its limit, and their memory. */
    BufferedResponse(Deque<ByteBuffer> pieces, GrowthBudget.Reservation memory) {
        this.pieces = pieces;
        this.memory = memory;
        valueBytes = pieces.stream().mapToLong(ByteBuffer::remaining).sum();
    }

    /** Returns the length of the value in bytes. */
    long valueBytes() {
        return valueBytes;
    }

    @Override
    public boolean canBreak() {
        return false;
    }

    @Override
    public void start(ResponseWriter responseWriter) {
        writer = responseWriter;
        writePieces();
    }

    @Override
    public void onDrained() {
        if (!ended) {
            writePieces();
        }
    }

    private void writePieces() {
        if (writeAvailable(writer)) {
            writer.finishStream(MetaResponse.lineEnd());
        }
    }

    /** Writes as much as the client accepts now; returns whether that was all. */
    boolean writeAvailable(ResponseWriter target) {
        while (!pieces.isEmpty() && target.isReadyForMore()) {
            ByteBuffer piece = pieces.peek();
            int count = Math.min(piece.remaining(), target.windowBytes());
            target.writePart(piece.slice(piece.position(), count));
            piece.position(piece.position() + count);
            if (!piece.hasRemaining()) {
                memory.releasePart(pieces.remove().capacity());
            }
        }
        if (pieces.isEmpty() && !ended) {
            end();
        }
        return pieces.isEmpty();
    }

    @Override
    public void abandon() {
        if (!ended) {
            end();
        }
    }

    private void end() {
        ended = true;
        pieces.clear();
        memory.release();
    }
}
