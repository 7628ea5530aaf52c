package spurroad.routing;

import java.nio.ByteBuffer;
import spurroad.protocol.MetaResponse;
import spurroad.protocol.UpstreamReply;

/**
 * A long value on its way from an endpoint's connection to a client's: what was read goes on at once, and no
 * more is read than the client takes. It ends once: complete, broken off by the endpoint, or abandoned by the
 * client. Used on the event loop only.
 */
final class StreamedResponse {
    private final EndpointConnection from;
    private final boolean lineEnd;
    private long remaining;
    private ResponseWriter writer;
    private boolean ended;

    StreamedResponse(EndpointConnection from, UpstreamReply.StreamedBody rest) {
        this.from = from;
        remaining = rest.length();
        lineEnd = rest.followedByLineEnd();
    }

    /** How many bytes of the value are still to come from the endpoint. */
    long remaining() {
        return remaining;
    }

    /** Whether a line end follows the value on the endpoint's connection. */
    boolean isFollowedByLineEnd() {
        return lineEnd;
    }

    // ---- from the client's side

    /** The client's turn has come: what was read goes on, and more is read. */
    void start(ResponseWriter next) {
        writer = next;
        if (ended) {
            next.breakStream();
        } else {
            from.stream();
        }
    }

    /** The client has taken all that was passed. */
    void onDrained() {
        if (!ended) {
            from.stream();
        }
    }

    /** Nobody takes it: the client disconnected, or the request had its response. */
    void abandon() {
        if (!ended) {
            ended = true;
            from.abandonStream();
        }
    }

    // ---- from the endpoint's side

    /** Whether the client takes more now. */
    boolean isWanted() {
        return writer != null && !ended && writer.isReadyForMore();
    }

    void onPart(ByteBuffer bytes) {
        remaining -= bytes.remaining();
        writer.writePart(bytes);
    }

    /** All of it has come, and its end is well-formed. */
    void onComplete() {
        ended = true;
        writer.finishStream(MetaResponse.lineEnd());
    }

    /** The rest will not come: the client is to see that. */
    void onBroken() {
        if (!ended) {
            ended = true;
            if (writer != null) {
                writer.breakStream();
            }
        }
    }
}
