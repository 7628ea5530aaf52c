package spurroad.routing;

import java.io.IOException;
import spurroad.protocol.ByteSource;
import spurroad.protocol.UpstreamReply;
import spurroad.transport.GrowthBudget;

/**
 * Receives a long value of known length completely before any of it is forwarded, in pieces whose memory is
 * reserved as needed. If the value breaks off, the request can still get another response. Used on the event
 * loop only.
 */
final class HeldValue extends PieceValue {
    private long remaining; // bytes of the value still expected

    /** Starts to receive the streamed body of the reply to a request. */
    HeldValue(GrowthBudget budget, UpstreamReply reply, ProxiedRequest request) {
        super(reply,
            new ValuePieces(budget, (int) reply.streamedBody().length(), request::isNextResponse));
        remaining = reply.streamedBody().length();
    }

    @Override
    public Progress receive(ByteSource in) throws IOException {
        while (remaining > 0 && in.available() > 0) {
            if (!pieces.last().hasRemaining() && !pieces.tryAdd()) {
                return Progress.MEMORY_NEEDED;
            }
            remaining -= in.moveBuffered(pieces.last(), remaining);
        }
        boolean complete = remaining == 0 && reply.streamedBody().takeEnd(in);
        return complete ? Progress.COMPLETE : Progress.BYTES_NEEDED;
    }

    @Override
    public UpstreamReply complete(UpstreamRequest attempt, boolean connectionReusable) {
        attempt.longResponse = bufferedResponse();
        return reply.completed(reply.response(), connectionReusable);
    }

    /** Returns the reply, whose value is not complete. */
    UpstreamReply reply() {
        return reply;
    }

    /** Returns a response that forwards what was received, and then the rest as it arrives. */
    StreamedResponse streamedResponse(EndpointConnection connection) {
        return new StreamedResponse(connection, reply.streamedBody(), remaining, bufferedResponse());
    }
}
