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
final class HeldValue implements IncomingValue {
    private final UpstreamReply reply;
    private final ValuePieces pieces;
    private long remaining; // bytes of the value still expected

    /** Starts to receive the streamed body of the reply to a request. */
    HeldValue(GrowthBudget budget, UpstreamReply reply, ProxiedRequest request) {
        this.reply = reply;
        remaining = reply.streamedBody().length();
        pieces = new ValuePieces(budget, (int) remaining, request::isNextResponse);
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
    public int freeBytes() {
        return pieces.last().remaining();
    }

    @Override
    public void awaitMemory(Runnable onAvailable) {
        pieces.addLater(onAvailable);
    }

    @Override
    public UpstreamReply complete(UpstreamRequest attempt, boolean connectionReusable) {
        attempt.longResponse = new BufferedResponse(pieces.complete(), pieces.memory());
        return reply.completed(reply.response(), connectionReusable);
    }

    /** Returns the reply, whose value is not complete. */
    UpstreamReply reply() {
        return reply;
    }

    /** Returns a response that forwards what was received, and then the rest as it arrives. */
    StreamedResponse streamedResponse(EndpointConnection connection) {
        return new StreamedResponse(connection, reply.streamedBody(), remaining,
            new BufferedResponse(pieces.complete(), pieces.memory()));
    }

    @Override
    public void release() {
        pieces.release();
    }
}
