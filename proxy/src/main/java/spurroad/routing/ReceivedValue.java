package spurroad.routing;

import java.io.IOException;
import java.nio.ByteBuffer;
import spurroad.protocol.ByteSource;
import spurroad.protocol.HttpBodyDecoder;
import spurroad.protocol.MetaCommand;
import spurroad.protocol.MetaResponse;
import spurroad.protocol.UpstreamReply;
import spurroad.transport.GrowthBudget;

/**
 * Receives a value of unknown length completely, because a client is told the length first. Used on the event
 * loop only.
 */
final class ReceivedValue {
    /** What receiving waits for. */
    enum Progress {
        BYTES_NEEDED, MEMORY_NEEDED, COMPLETE
    }

    private final UpstreamReply reply;
    private final ValuePieces pieces;
    private final ByteBuffer start; // of the value, not copied into the pieces yet

    /** Starts to receive the unsized body of a reply. */
    ReceivedValue(GrowthBudget budget, UpstreamReply reply) {
        this.reply = reply;
        start = ByteBuffer.wrap(reply.unsizedBody().start());
        pieces = new ValuePieces(budget, MetaCommand.MAX_VALUE_BYTES);
    }

    /**
     * Takes bytes of the value out of the source as far as there is memory for them.
     *
     * @throws IOException if the body is malformed, too long or ended too early
     */
    Progress receive(ByteSource in) throws IOException {
        HttpBodyDecoder.Progress progress = decode(in);
        while (progress == HttpBodyDecoder.Progress.SPACE_NEEDED) {
            if (!pieces.tryAdd()) {
                return Progress.MEMORY_NEEDED;
            }
            progress = decode(in);
        }
        return progress == HttpBodyDecoder.Progress.COMPLETE ? Progress.COMPLETE : Progress.BYTES_NEEDED;
    }

    private HttpBodyDecoder.Progress decode(ByteSource in) throws IOException {
        ByteBuffer piece = pieces.last();
        if (start.hasRemaining()) {
            int count = Math.min(start.remaining(), piece.remaining());
            piece.put(start.slice(start.position(), count));
            start.position(start.position() + count);
        }
        return start.hasRemaining() ? HttpBodyDecoder.Progress.SPACE_NEEDED
            : reply.unsizedBody().rest().decode(in, piece);
    }

    /** Runs a task once there is the memory that {@link #receive} needed. */
    void awaitMemory(Runnable onAvailable) {
        pieces.addLater(onAvailable);
    }

    /** Returns the response with the complete value, which takes over its memory. */
    BufferedResponse response() {
        return new BufferedResponse(pieces.complete(), pieces.memory());
    }

    /**
     * Returns the reply that was completed by a response.
     *
     * @param connectionReusable whether nothing follows the value on its connection
     */
    UpstreamReply reply(BufferedResponse response, String id, boolean connectionReusable) {
        return reply.completed(MetaResponse.valueHead(response.valueBytes(), id), connectionReusable);
    }

    /** Releases the memory of an incomplete value. */
    void release() {
        pieces.release();
    }
}
