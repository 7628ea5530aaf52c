package spurroad.routing;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Arrays;
import spurroad.model.Outcome;
import spurroad.protocol.ByteSource;
import spurroad.protocol.MetaResponse;
import spurroad.protocol.ProtocolException;
import spurroad.protocol.UpstreamReply;
import spurroad.transport.Connection;
import spurroad.transport.EventLoop;

/**
 * One connection to an endpoint, with one attempt at a time: it connects, sends requests and parses replies.
 * Its {@link EndpointConnectionPool} owns it and may close it at any time. Used on the event loop only.
 */
final class EndpointConnection implements Connection.Handler {
    private static final String UNEXPECTED_REPLY = "an answer to nothing";
    /** Inside a reply: one that was given whole arrives sooner. */
    private static final long REPLY_STALL_NANOS = 300_000_000L;
    /** Inside a long value that is being read. */
    private static final long STREAM_STALL_NANOS = 2_500_000_000L;
    private static final byte[] LINE_END = MetaResponse.lineEnd();

    private final EndpointConnectionPool pool;
    private final UpstreamProtocol protocol;
    private final ByteSource input = new ByteSource();
    private final ByteSource.Parser<UpstreamReply> parser = this::parseReply;
    /** Which incarnation of the endpoint it leads to. */
    final int incarnation;
    private Connection connection;
    private EventLoop.Timer timeout; // for the connect, or for the rest of a reply
    private long readAtNanos;
    private StreamedResponse streamed; // while a long value is on its way to a client
    private boolean reusableAfterStream;
    // the pool's
    /** The attempt that it carries now; null while idle. */
    UpstreamRequest attempt;
    boolean closed;
    long idleSinceNanos;

    EndpointConnection(EndpointConnectionPool pool, UpstreamProtocol protocol, int incarnation,
                       UpstreamRequest first) {
        this.pool = pool;
        this.protocol = protocol;
        this.incarnation = incarnation;
        attempt = first;
    }

    /** Begins to connect; the attempt is sent once the connection is up. */
    void connect(InetSocketAddress address, long timeoutNanos) {
        try {
            connection = pool.openSocket();
        } catch (IOException failure) {
            pool.onNoSocket(failure);
            pool.onConnectionLost(this);
            return;
        }
        timeout = pool.loop().schedule(timeoutNanos, this::breakOff);
        connection.connect(address, this);
    }

    @Override
    public void onConnected() {
        timeout.cancel();
        UpstreamRequest first = attempt;
        if (first == null) {
            return;
        }
        Outcome obstacle = pool.sendObstacle(first);
        if (obstacle != null) {
            pool.onNotSent(this, first, obstacle);
        } else {
            write(first);
        }
    }

    /** Sends an attempt. */
    void write(UpstreamRequest next) {
        next.firstByteSent = true;
        long timeLeftMillis = next.timeLeftMillis(pool.now());
        connection.write(protocol.message(next.command(), timeLeftMillis));
        pool.onFirstByteSent(next, timeLeftMillis);
        if (!next.isLoadProbe() && next.command().hasLongValue()) {
            next.command().valueChunks().forEach(connection::write);
            connection.write(protocol.afterValue());
        }
        if (connection.isDrained() && !connection.isClosed()) {
            pool.onFullySent(next);
        }
    }

    @Override
    public void onDrained() {
        if (attempt != null) {
            pool.onFullySent(attempt);
        }
    }

    // ---- replies

    @Override
    public void onRead(ByteBuffer bytes) {
        readAtNanos = pool.now();
        if (streamed != null && input.available() == 0 && streamed.remaining() > 0 && streamed.isWanted()) {
            streamDirectly(bytes);
        }
        if (bytes.hasRemaining() && !closed) {
            input.feed(bytes);
            parseReplies();
        }
    }

    /** Passes on what belongs to the long value, without a copy. */
    private void streamDirectly(ByteBuffer bytes) {
        int length = (int) Math.min(bytes.remaining(), streamed.remaining());
        ByteBuffer part = bytes.duplicate().limit(bytes.position() + length);
        bytes.position(bytes.position() + length);
        streamed.onPart(part);
        if (!closed) {
            stream();
        }
    }

    /** Passes on what has been read of the long value while the client takes it, then reads on. */
    void stream() {
        while (!closed && streamed != null && streamed.remaining() > 0 && input.available() > 0
            && streamed.isWanted()) {
            streamed.onPart(ByteBuffer.wrap(input.takeBuffered(streamed.remaining())));
        }
        if (closed || streamed == null) {
            return;
        }
        if (streamed.remaining() == 0) {
            finishStream();
        } else {
            boolean wanted = streamed.isWanted();
            connection.setReading(wanted);
            watchStream(wanted);
        }
    }

    /** The value has passed; its end is checked before the client is given one. */
    private void finishStream() {
        connection.setReading(true);
        if (streamed.isFollowedByLineEnd()) {
            if (input.available() < LINE_END.length) {
                watchStream(true);
                return;
            }
            if (!Arrays.equals(input.takeBuffered(LINE_END.length), LINE_END)) {
                pool.onMalformedReply("no line end after a value");
                breakOff();
                return;
            }
        }
        StreamedResponse complete = streamed;
        streamed = null;
        timeout.cancel();
        complete.onComplete();
        pool.release(this, reusableAfterStream && input.available() == 0);
    }

    private void watchStream(boolean reading) {
        timeout.cancel();
        if (reading) {
            timeout = pool.loop().schedule(STREAM_STALL_NANOS, this::breakOff);
        }
    }

    /** Nobody takes the value: this connection is of no further use. */
    void abandonStream() {
        streamed = null;
        close();
    }

    private void parseReplies() {
        if (streamed != null) {
            stream();
            return;
        }
        while (!closed && input.mayHaveMessage()) {
            try {
                UpstreamReply reply = input.readMessage(parser);
                if (reply == null) {
                    watchRest();
                    return;
                }
                timeout.cancel();
                if (reply.streamedBody() != null) {
                    beginStream(reply);
                    return;
                }
                pool.onReply(this, attempt, input.available() == 0 ? reply : reply.withoutReuse());
            } catch (IOException failure) {
                if (failure instanceof ProtocolException) {
                    pool.onMalformedReply(failure.getMessage());
                }
                breakOff();
            }
        }
    }

    private void beginStream(UpstreamReply reply) {
        reusableAfterStream = reply.reusable();
        connection.setReading(false); // until the client's turn has come
        streamed = new StreamedResponse(this, reply.streamedBody());
        attempt.streamedResponse = streamed;
        pool.onStreamedReply(this, attempt, reply);
    }

    private UpstreamReply parseReply(ByteSource from) throws IOException {
        if (attempt == null || !attempt.fullySent) {
            throw new ProtocolException(UNEXPECTED_REPLY);
        }
        return protocol.reply(from, attempt.command());
    }

    /** A reply has begun: an endpoint that sends its beginning sends the rest soon. */
    private void watchRest() {
        timeout.cancel();
        timeout = pool.loop().schedule(readAtNanos + REPLY_STALL_NANOS - pool.now(), this::breakOff);
    }

    // ---- the end

    /**
     * The connection ended or broke. A reply that lasts as long as its connection is complete with an orderly
     * end, and with that alone: an origin's replies without a length were cut off by resets and passed on as
     * complete (split and zone, lost).
     */
    @Override
    public void onClosed() {
        if (!closed && connection.reachedEndOfStream()) {
            input.endInput();
            parseReplies();
        }
        timeout.cancel();
        pool.onConnectionLost(this);
        breakStream();
    }

    private void breakStream() {
        if (streamed != null) {
            StreamedResponse broken = streamed;
            streamed = null;
            broken.onBroken();
        }
    }

    /** Whether the connection broke, though this may not have been reported yet. */
    boolean isBroken() {
        return connection.isClosed();
    }

    /**
     * Whether nothing has come since the last reply, no end either; reads what the loop has not reported. An
     * idle connection may be closed at any time, or get a second reply, and what is written to it then is
     * lost.
     */
    boolean isClean() {
        if (connection.readAvailable()) {
            close();
        }
        return !closed;
    }

    /** Closes the connection so that its attempt, if it has one, ends by the loss. */
    private void breakOff() {
        timeout.cancel();
        connection.close();
        pool.onConnectionLost(this);
        breakStream();
    }

    /** Closes the connection where nothing that it still brings counts. */
    void close() {
        closed = true;
        timeout.cancel();
        connection.close();
        breakStream();
    }
}
