package spurroad.routing;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import spurroad.protocol.ByteSource;
import spurroad.protocol.MetaResponse;
import spurroad.protocol.UpstreamReply;
import spurroad.transport.GrowthBudget;

/**
 * Receives a value of known length completely, directly into the response to the client. The memory of the
 * response is reserved before it is allocated. Used on the event loop only.
 */
final class SizedValue implements IncomingValue {
    private static final byte[] LINE_END = MetaResponse.lineEnd();

    private final UpstreamReply reply;
    private final GrowthBudget.Reservation memory;
    private final int messageBytes;
    private ByteBuffer message; // its limit is the end of the value; null as long as no memory is reserved

    /** Starts to receive the streamed body of the reply to a request. */
    SizedValue(GrowthBudget budget, UpstreamReply reply, ProxiedRequest request) {
        this.reply = reply;
        messageBytes = reply.response().length + (int) reply.streamedBody().length() + LINE_END.length;
        memory = budget.open(messageBytes, request::isNextResponse);
    }

    @Override
    public Progress receive(ByteSource in) throws IOException {
        if (message == null) {
            if (!memory.tryGrow(messageBytes)) {
                return Progress.MEMORY_NEEDED;
            }
            allocate();
        }
        in.moveBuffered(message, message.remaining());
        return !message.hasRemaining() && reply.streamedBody().takeEnd(in) ? Progress.COMPLETE
            : Progress.BYTES_NEEDED;
    }

    private void allocate() {
        byte[] head = reply.response();
        byte[] bytes = Arrays.copyOf(head, messageBytes);
        System.arraycopy(LINE_END, 0, bytes, messageBytes - LINE_END.length, LINE_END.length);
        message = ByteBuffer.wrap(bytes).position(head.length).limit(messageBytes - LINE_END.length);
    }

    @Override
    public int freeBytes() {
        return message == null ? 0 : message.remaining() + LINE_END.length;
    }

    @Override
    public void awaitMemory(Runnable onAvailable) {
        memory.growLater(messageBytes, () -> {
            allocate();
            onAvailable.run();
        });
    }

    @Override
    public UpstreamReply complete(UpstreamRequest attempt, boolean connectionReusable) {
        memory.complete();
        attempt.responseMemory = memory;
        return reply.completed(message.array(), connectionReusable);
    }

    @Override
    public void release() {
        memory.release();
    }
}
