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
    private final boolean followedByLineEnd;
    private long remaining;
    private ResponseWriter writer;
    private boolean ended;

    StreamedResponse(EndpointConnection endpointConnection, UpstreamReply.StreamedBody rest) {
        this.endpointConnection = endpointConnection;
        remaining = rest.length();
        followedByLineEnd = rest.followedByLineEnd();
    }

    /** Returns how many bytes of the value are still expected from the endpoint. */
    long remaining() {
        return remaining;
    }

    /** Returns whether a line end follows the value on the endpoint's connection. */
    boolean isFollowedByLineEnd() {
        return followedByLineEnd;
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
    public void abandon() {
        if (!ended) {
            ended = true;
            endpointConnection.abandonStream();
        }
    }

    // ---- called by the endpoint's connection

    /** Returns whether the client accepts more data now. */
    boolean isWanted() {
        return writer != null && !ended && writer.isReadyForMore();
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
            if (writer != null) {
                writer.breakStream();
            }
        }
    }
}
