package spurroad.routing;

import java.nio.ByteBuffer;
import spurroad.protocol.MetaResponse;
import spurroad.protocol.UpstreamReply;

/**
 * Forwards a long value from an endpoint's connection to a client's connection: what was read is written
 * immediately, and no more is read than the client accepts. It ends exactly once: complete, broken off by the
 * endpoint, or abandoned by the client. Used on the event loop only.
 */
final class StreamedResponse implements LongResponse {
    private final EndpointConnection endpointConnection;
    private final UpstreamReply.StreamedBody body;
    private final BufferedResponse start; // what was received before; null if nothing was
    private long remaining;
    private ResponseWriter writer;
    private boolean ended;

    /** Creates a response of which nothing has been received. */
    StreamedResponse(EndpointConnection endpointConnection, UpstreamReply.StreamedBody body) {
        this(endpointConnection, body, body.length(), null);
    }

    /** Creates a response whose start has been received, and of which some bytes remain. */
    StreamedResponse(EndpointConnection endpointConnection, UpstreamReply.StreamedBody body, long remaining,
                     BufferedResponse start) {
        this.endpointConnection = endpointConnection;
        this.body = body;
        this.remaining = remaining;
        this.start = start;
    }

    /** Returns how many bytes of the value are still expected from the endpoint. */
    long remaining() {
        return remaining;
    }

    /** Returns the value as the endpoint has announced it. */
    UpstreamReply.StreamedBody body() {
        return body;
    }

    // ---- called by the client's connection

    /** Forwards what was read, and reads more. */
    @Override
    public void start(ResponseWriter responseWriter) {
        writer = responseWriter;
        if (ended) {
            responseWriter.breakStream();
        } else {
            endpointConnection.stream();
        }
    }

    @Override
    public void onDrained() {
        if (!ended) {
            endpointConnection.stream();
        }
    }

    @Override
    public boolean canBreak() {
        return true;
    }

    @Override
    public void abandon() {
        releaseStart();
        if (!ended) {
            ended = true;
            endpointConnection.abandonStream();
        }
    }

    private void releaseStart() {
        if (start != null) {
            start.abandon();
        }
    }

    // ---- called by the endpoint's connection

    /** Returns whether the client accepts more data now, after all that was received before. */
    boolean isWanted() {
        return hasWrittenStart() && writer.isReadyForMore();
    }

    /** Writes what was received before, as far as the client accepts it; returns whether that was all. */
    private boolean hasWrittenStart() {
        return writer != null && !ended && (start == null || start.writeAvailable(writer));
    }

    /** Returns whether the whole value was written, so that only its end is missing. */
    boolean hasWrittenValue() {
        return remaining == 0 && hasWrittenStart();
    }

    /** Returns how many bytes may be read from the endpoint at a time. */
    int windowBytes() {
        return writer.windowBytes();
    }

    void onPart(ByteBuffer bytes) {
        remaining -= bytes.remaining();
        writer.writePart(bytes);
    }

    /** Ends the response after the complete value was received with a well-formed end. */
    void onComplete() {
        ended = true;
        writer.finishStream(MetaResponse.lineEnd());
    }

    /** Breaks the response off because the rest of the value will not arrive; the client must notice that. */
    void onBroken() {
        if (!ended) {
            ended = true;
            releaseStart();
            if (writer != null) {
                writer.breakStream();
            }
        }
    }
}
