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
final class UnsizedValue extends PieceValue {
    private final ByteBuffer start; // of the value, not copied into the pieces yet

    /** Starts to receive the unsized body of a reply. */
    UnsizedValue(GrowthBudget budget, UpstreamReply reply) {
        super(reply, new ValuePieces(budget, MetaCommand.MAX_VALUE_BYTES));
        start = ByteBuffer.wrap(reply.unsizedBody().start());
    }

    @Override
    public Progress receive(ByteSource in) throws IOException {
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

    @Override
    public UpstreamReply complete(UpstreamRequest attempt, boolean connectionReusable) {
        BufferedResponse response = bufferedResponse();
        attempt.longResponse = response;
        byte[] head = MetaResponse.valueHead(response.valueBytes(), attempt.command().id());
        return reply.completed(head, connectionReusable);
    }
}
