package spurroad.routing;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import spurroad.model.Outcome;
import spurroad.protocol.ByteSource;
import spurroad.protocol.MetaCommand;
import spurroad.protocol.ProtocolException;
import spurroad.protocol.UpstreamReply;
import spurroad.transport.Connection;
import spurroad.transport.EventLoop;
import spurroad.transport.UnacknowledgedSends;

/**
 * A connection to an endpoint that carries one attempt at a time: it connects, sends requests and parses
 * replies. Its {@link EndpointConnectionPool} owns it and may close it at any time. Used on the event loop
 * only.
 */
final class EndpointConnection implements Connection.Handler {
    private static final String UNEXPECTED_REPLY = "reply received without a fully sent request";
    /** Maximum pause within a reply: an endpoint that has sent the beginning sends the rest sooner. */
    private static final long REPLY_STALL_NANOS = 300_000_000L;
    /** Maximum pause within a long value while the connection is being read. */
    private static final long STREAM_STALL_NANOS = 2_500_000_000L;
    /** Bytes of a reply that need no reservation: its head, and a value that is read with it. */
    private static final int UNRESERVED_READ_BYTES = 2 * UpstreamProtocol.MAX_INLINE_VALUE_BYTES;

    /** Bytes of an incomplete head that need no reservation, with those of the read behind them. */
    private static final int UNRESERVED_HEAD_BYTES = 2 * UNRESERVED_READ_BYTES;

    private final EndpointConnectionPool pool;
    private final UpstreamProtocol protocol;
    private final ByteSource input = new ByteSource();
    private final HeadMemory inputMemory;
    private final ValueReceiver values;
    private final ByteSource.Parser<UpstreamReply> parser = this::parseReply;
    /** The incarnation of the endpoint to which the connection was opened. */
    final int incarnation;
    private Connection connection;
    private EventLoop.Timer timeout; // of the connect, of a partly received reply, or of a streamed value
    private long readAtNanos;
    private StreamedResponse streamedResponse; // non-null while a long value is passed to a client
    private boolean reusableAfterStream;
    // the fields below are maintained by the pool
    /** The current attempt; null while idle. */
    UpstreamRequest attempt;
    boolean closed;
    long idleSinceNanos;

    EndpointConnection(EndpointConnectionPool pool, UpstreamProtocol protocol, int incarnation,
                       UpstreamRequest first) {
        this.pool = pool;
        this.protocol = protocol;
        this.incarnation = incarnation;
        attempt = first;
        values = new ValueReceiver(this, pool, input);
        inputMemory = new HeadMemory(pool.replyMemory().heads(), UNRESERVED_HEAD_BYTES);
    }

    /** Starts to connect; the attempt is sent once the connection is established. */
    void connect(InetSocketAddress address, long timeoutNanos) {
        try {
            connection = pool.openSocket();
        } catch (IOException failure) {
            pool.onSocketFailure(failure);
            pool.onConnectionLost(this);
            return;
        }
        connection.setMaxReadBytes(UNRESERVED_READ_BYTES);
        timeout = pool.loop().schedule(timeoutNanos, this::abort);
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

    /** Writes the request of an attempt, or a load probe. */
    void write(UpstreamRequest request) {
        request.firstByteSent = true;
        long timeLeftMillis = request.timeLeftMillis(pool.now());
        connection.write(protocol.message(request.command(), timeLeftMillis));
        pool.onFirstByteSent(request, timeLeftMillis);
        if (!request.isLoadProbe() && request.command().hasLongValue()) {
            request.command().valueChunks().forEach(connection::write);
            connection.write(protocol.afterValue());
        }
        if (connection.isDrained() && !connection.isClosed()) {
            pool.onFullySent(request);
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
        if (streamedResponse != null && input.available() == 0 && streamedResponse.remaining() > 0
            && streamedResponse.isWanted()) {
            streamDirectly(bytes);
        }
        if (bytes.hasRemaining() && !closed) {
            input.feed(bytes);
            parseReplies();
        }
        if (!closed && streamedResponse == null && !inputMemory.reserve(input.heldBytes())) {
            onReplyFailure(new ProtocolException("no memory for a reply's head of " + input.heldBytes()));
        }
    }

    /** Forwards received bytes of the long value without copying them. */
    private void streamDirectly(ByteBuffer bytes) {
        int length = (int) Math.min(bytes.remaining(), streamedResponse.remaining());
        ByteBuffer part = bytes.duplicate().limit(bytes.position() + length);
        bytes.position(bytes.position() + length);
        streamedResponse.onPart(part);
        if (!closed) {
            stream();
        }
    }

    /** Forwards buffered bytes of the long value while the client accepts them, then resumes reading. */
    void stream() {
        while (!closed && streamedResponse != null && streamedResponse.remaining() > 0
            && input.available() > 0
            && streamedResponse.isWanted()) {
            streamedResponse.onPart(ByteBuffer.wrap(input.takeBuffered(streamedResponse.remaining())));
        }
        if (closed || streamedResponse == null) {
            return;
        }
        if (streamedResponse.hasWrittenValue()) {
            finishStream();
        } else {
            boolean wanted = streamedResponse.isWanted();
            if (wanted) {
                connection.setMaxReadBytes(streamedResponse.windowBytes());
            }
            connection.setReading(wanted);
            updateStreamTimeout(wanted);
        }
    }

    /** Checks the end of a fully forwarded value before the client's response is completed. */
    private void finishStream() {
        connection.setMaxReadBytes(UNRESERVED_READ_BYTES);
        connection.setReading(true);
        try {
            if (!streamedResponse.body().takeEnd(input)) {
                updateStreamTimeout(true);
                return;
            }
        } catch (ProtocolException malformed) {
            onReplyFailure(malformed);
            return;
        }
        StreamedResponse complete = streamedResponse;
        streamedResponse = null;
        timeout.cancel();
        complete.onComplete();
        pool.release(this, reusableAfterStream && input.available() == 0);
    }

    private void updateStreamTimeout(boolean reading) {
        timeout.cancel();
        if (reading) {
            timeout = pool.loop().schedule(STREAM_STALL_NANOS, this::abort);
        }
    }

    /** Closes the connection because no client reads its value any more. */
    void abandonStream() {
        streamedResponse = null;
        close();
    }

    private void parseReplies() {
        if (streamedResponse != null) {
            stream();
            return;
        }
        if (values.isActive()) {
            values.receive();
            return;
        }
        while (!closed && input.mayHaveMessage()) {
            try {
                UpstreamReply reply = input.readMessage(parser);
                if (reply == null) {
                    break;
                }
                timeout.cancel();
                if (hasFurtherBody(reply)) {
                    beginBody(reply);
                    return;
                }
                pool.onReply(this, attempt, input.available() == 0 ? reply : reply.withoutReuse());
            } catch (IOException failure) {
                onReplyFailure(failure);
            }
        }
        if (!closed && input.available() > 0) {
            scheduleReplyTimeout(); // anew with each read, whether or not the message is worth parsing yet
        }
    }

    private static boolean hasFurtherBody(UpstreamReply reply) {
        return reply.streamedBody() != null || reply.unsizedBody() != null;
    }

    private void beginBody(UpstreamReply reply) {
        if (reply.unsizedBody() != null) {
            values.begin(new UnsizedValue(pool.replyMemory().values(), reply), STREAM_STALL_NANOS);
        } else if (reply.streamedBody().length() <= MetaCommand.MAX_BUFFERED_VALUE_BYTES) {
            values.begin(new SizedValue(pool.replyMemory().values(), reply, attempt.request),
                REPLY_STALL_NANOS);
        } else if (attempt.request.hasCommandsBehind() || !attempt.request.isNextResponse()) {
            values.hold(new HeldValue(pool.replyMemory().values(), reply, attempt.request),
                STREAM_STALL_NANOS);
        } else {
            beginStream(reply, new StreamedResponse(this, reply.streamedBody()));
        }
    }

    /** Starts to forward the long value of a reply as it arrives, and ends the attempt. */
    void beginStream(UpstreamReply reply, StreamedResponse response) {
        reusableAfterStream = reply.reusable();
        connection.setReading(false); // until earlier responses to the client are written
        timeout.cancel();
        streamedResponse = response;
        attempt.longResponse = streamedResponse;
        pool.onStreamedReply(this, attempt, reply);
    }

    /** Handles a malformed or incomplete reply. */
    void onReplyFailure(IOException failure) {
        if (failure instanceof ProtocolException) {
            pool.onMalformedReply(failure.getMessage());
        }
        abort();
    }

    // ---- for the receiver of values

    /** Reads on, as many bytes at a time as there is memory for. */
    void resumeReading(int reservedBytes) {
        connection.setMaxReadBytes(Math.max(reservedBytes, UNRESERVED_READ_BYTES));
        connection.setReading(true);
    }

    void pauseReading() {
        connection.setReading(false);
    }

    /** Handles the complete reply with its value. */
    void onValueComplete(UpstreamReply reply) {
        pool.onReply(this, attempt, reply);
    }

    private UpstreamReply parseReply(ByteSource source) throws IOException {
        if (attempt == null || !attempt.fullySent) {
            throw new ProtocolException(UNEXPECTED_REPLY);
        }
        return protocol.reply(source, attempt.command());
    }

    /** Schedules the timeout for the rest of a partly received reply. */
    private void scheduleReplyTimeout() {
        timeout.cancel();
        timeout = pool.loop().schedule(readAtNanos + REPLY_STALL_NANOS - pool.now(), this::abort);
    }

    // ---- the end

    /**
     * Handles the end or the loss of the connection. A reply that is delimited by the end of its connection
     * is complete only if the stream ended in order: otherwise an origin's reply without a length that a
     * reset cuts off would be forwarded as complete.
     */
    @Override
    public void onClosed() {
        if (!closed && connection.reachedEndOfStream()) {
            input.endInput();
            parseReplies();
        }
        timeout.cancel();
        pool.onConnectionLost(this);
        failValue();
    }

    /** Ends the long value that was being received, if there is one. */
    private void failValue() {
        values.release();
        inputMemory.release();
        if (streamedResponse != null) {
            StreamedResponse broken = streamedResponse;
            streamedResponse = null;
            broken.onBroken();
        }
    }

    /** Returns whether the connection was lost, even if the loss was not reported yet. */
    boolean isBroken() {
        return connection.isClosed();
    }

    /**
     * Returns whether neither bytes nor the end of the stream arrived after the last reply, and closes the
     * connection otherwise. Reads input that the event loop has not reported yet. An endpoint may close an
     * idle connection or send a second reply at any time, and a request written after that is lost.
     */
    boolean hasNoUnexpectedInput() {
        if (connection.readAvailable()) {
            close();
        }
        return !closed;
    }

    /** Closes the connection and reports its loss, which ends its attempt, if any. */
    void abort() {
        timeout.cancel();
        connection.close();
        pool.onConnectionLost(this);
        failValue();
    }

    /**
     * Returns whether the last byte of the current request may not have reached the endpoint's system yet,
     * although it was sent.
     */
    boolean isRequestUndelivered() {
        return UnacknowledgedSends.read().map(connection::hasUnacknowledgedBytes)
            .orElseGet(() -> attempt != null && attempt.command().hasLongValue());
    }

    /**
     * Closes the connection so that the kernel sends nothing more of the request: after an orderly close an
     * endpoint that takes a request in slowly would receive the rest of it and run it.
     */
    void recallRequest() {
        connection.reset();
        close();
    }

    /** Closes the connection and ignores all further input. */
    void close() {
        closed = true;
        timeout.cancel();
        connection.close();
        failValue();
    }
}
