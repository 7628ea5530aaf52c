package spurroad.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.nio.channels.WritableByteChannel;
import java.util.function.BooleanSupplier;

/**
 * One non-blocking socket and the descriptor permit that it holds.
 *
 * <p>Received bytes are passed to the {@link Handler}. Written bytes are sent immediately as far as the
 * operating system accepts them, the rest once it accepts more. I/O failures are not thrown: they close the
 * connection, and a later task notifies the handler. The permit is released once, after the operating system
 * has freed the descriptor.
 *
 * <p>Event loop thread only.
 */
public final class Connection {
    /** Receives the events of a connection, on the event loop thread. */
    public interface Handler {
        /** The connection is established. Called only if {@link Connection#connect} opened it. */
        void onConnected();

        /** Bytes were read. The buffer belongs to the event loop and must be emptied before this returns. */
        void onRead(ByteBuffer bytes);

        /** The operating system has accepted all written bytes, after some of them had to wait. */
        void onDrained();

        /** The peer has closed the connection or it failed. Not called after {@link Connection#close}. */
        void onClosed();
    }

    private enum State { OPEN, CLOSED, ENDED_BY_PEER }

    private static final int END_OF_STREAM = -1; // returned by a channel's read

    private final EventLoop loop;
    private final ReadableByteChannel source;
    private final WritableByteChannel sink;
    private final ChannelRegistration registration;
    private final WriteQueue writeQueue;
    private final ReadArrivalTracker arrivalTracker;
    private Handler handler;
    private State state = State.OPEN;
    private int maxReadBytes = Integer.MAX_VALUE; // of reads by the event loop
    private boolean closesUnlessInputArrives; // until it is closed or input arrives

    /**
     * Wraps a socket, or two channels that stand in for one. {@link #open} or {@link #connect} must be called
     * before any other method.
     *
     * @param releasePermit run once, after the operating system has freed the closed descriptor
     */
    public Connection(EventLoop loop, ReadableByteChannel source, WritableByteChannel sink,
                      Runnable releasePermit) {
        this.loop = loop;
        this.source = source;
        this.sink = sink;
        registration = new ChannelRegistration(loop, (SelectableChannel) source, (SelectableChannel) sink,
            this::onReady, releasePermit);
        writeQueue = new WriteQueue(sink);
        arrivalTracker = new ReadArrivalTracker(loop);
    }

    /**
     * Wraps an accepted socket. Bytes found by its first read may have arrived while it was in the accept
     * queue.
     *
     * @param queuedSinceNanos the earliest time at which it can have been queued, in Unix nanoseconds
     */
    static Connection accepted(EventLoop loop, SocketChannel socket, long queuedSinceNanos,
                               Runnable releasePermit) {
        Connection accepted = new Connection(loop, socket, socket, releasePermit);
        accepted.arrivalTracker.onOpenedWithUnreadBytes(queuedSinceNanos);
        return accepted;
    }

    /** Starts reading from a socket that is connected. */
    public void open(Handler handler) {
        register(handler, SelectionKey.OP_READ);
        if (!isClosed() && arrivalTracker.mayHaveUnreadBytes()) {
            read(maxReadBytes); // immediately, as bytes that arrive later were not queued
        }
    }

    /** Starts connecting. There is no timeout; enforcing one is up to the handler. */
    public void connect(InetSocketAddress address, Handler handler) {
        if (!(source instanceof SocketChannel socket)) {
            open(handler);
            loop.execute(handler::onConnected); // in-memory channels are always connected
            return;
        }
        register(handler, SelectionKey.OP_CONNECT);
        try {
            if (!isClosed() && socket.connect(address)) {
                onConnected();
            }
        } catch (IOException | RuntimeException e) {
            fail();
        }
    }

    private void register(Handler newHandler, int operations) {
        handler = newHandler;
        try {
            TcpOptions.sendImmediately(source);
            registration.register(operations);
        } catch (IOException e) {
            fail();
        }
    }

    private void onReady(int operations) {
        if ((operations & SelectionKey.OP_CONNECT) != 0) {
            finishConnect();
        }
        if (!isClosed() && (operations & SelectionKey.OP_WRITE) != 0 && flush()) {
            handler.onDrained();
        }
        if (!isClosed() && (operations & SelectionKey.OP_READ) != 0) {
            read(maxReadBytes);
        }
    }

    private void finishConnect() {
        try {
            if (((SocketChannel) source).finishConnect()) {
                onConnected();
            }
        } catch (IOException e) {
            fail();
        }
    }

    private void onConnected() {
        registration.onConnected();
        handler.onConnected();
    }

    // ---- reading

    /** Reads once and passes the bytes to the handler. Returns whether any were read. */
    private boolean read(int maxBytes) {
        try {
            ByteBuffer buffer = loop.readBuffer;
            int limit = Math.min(maxBytes, buffer.capacity());
            buffer.clear().limit(limit);
            int count = InterruptedReads.readRetrying(source, buffer);
            arrivalTracker.onRead(count == limit, isReading());
            if (count > 0) {
                closesUnlessInputArrives = false;
                handler.onRead(buffer.flip());
            } else if (count == END_OF_STREAM) {
                closeAndNotify(State.ENDED_BY_PEER);
            }
            return count > 0;
        } catch (IOException e) {
            fail();
            return false;
        }
    }

    /** Limits how many bytes a read returns, as the handler has memory for no more. */
    public void setMaxReadBytes(int bytes) {
        maxReadBytes = bytes;
    }

    /** Returns whether the last read returned as many bytes as it could, so that more may be unread. */
    public boolean lastReadMayHaveLeftBytes() {
        return arrivalTracker.lastReadMayHaveLeftBytes();
    }

    /**
     * Returns the earliest time at which the bytes of the last read can have arrived, in Unix nanoseconds.
     * They may have been unread while the event loop was busy or while reading was paused.
     */
    public long earliestArrivalNanos() {
        return arrivalTracker.earliestArrivalNanos();
    }

    /**
     * Reads once immediately and passes any bytes to the handler. Returns whether bytes were read or the
     * connection is closed.
     */
    public boolean readAvailable() {
        return readAvailable(maxReadBytes);
    }

    /** Does the same as {@link #readAvailable()}, but reads at most {@code maxBytes}. */
    public boolean readAvailable(int maxBytes) {
        return isClosed() || read(maxBytes) || isClosed();
    }

    /**
     * Pauses or resumes reading. Data that arrives during a pause fills the kernel's receive buffer, then the
     * peer's send buffer.
     */
    public void setReading(boolean enabled) {
        if (isClosed() || !registration.setReading(enabled)) {
            return;
        }
        if (enabled) {
            loop.execute(this::readAfterPause);
        } else {
            arrivalTracker.onReadingPaused();
        }
    }

    /**
     * Reads the bytes that arrived during a pause, before the event loop reads later bytes, which have not
     * waited.
     */
    private void readAfterPause() {
        if (isReading() && arrivalTracker.mayHaveUnreadBytes()) {
            read(maxReadBytes);
        }
    }

    /** Returns whether the event loop reads from the connection: it is connected, open and not paused. */
    public boolean isReading() {
        return !isClosed() && registration.isReading();
    }

    // ---- writing

    /** Sends a message after all earlier writes. The array must not be modified afterwards. */
    public void write(byte[] message) {
        if (!isClosed() && message.length > 0 && writeQueue.add(message)) {
            flush();
        }
    }

    /** Sends a buffer's bytes after all earlier writes. Bytes that can't be sent immediately are copied. */
    public void write(ByteBuffer bytes) {
        if (isClosed() || !bytes.hasRemaining()) {
            return;
        }
        try {
            if (writeQueue.isEmpty() && bytes.isDirect()) { // others are sent through the loop's own buffer
                writeQueue.writeDirectly(bytes);
            }
        } catch (IOException e) {
            fail(); // what follows has no effect
        }
        if (bytes.hasRemaining()) {
            byte[] remaining = new byte[bytes.remaining()];
            bytes.get(remaining);
            write(remaining);
        }
    }

    /** Writes as many queued bytes as the operating system accepts. Returns whether the queue is empty. */
    private boolean flush() {
        try {
            writeQueue.flush(loop.writeBuffer);
            registration.setWriting(!writeQueue.isEmpty());
            return writeQueue.isEmpty();
        } catch (IOException e) {
            fail();
            return false;
        }
    }

    /** Returns how many written bytes the operating system has not accepted yet. */
    long pendingBytes() {
        return writeQueue.pendingBytes();
    }

    /** Returns how many written bytes the operating system has accepted. */
    public long bytesAccepted() {
        return writeQueue.bytesAccepted();
    }

    /** Returns whether the operating system has accepted all written bytes. */
    public boolean isDrained() {
        return writeQueue.isEmpty();
    }

    /** Returns whether written bytes may not have reached the peer's system when the argument was read. */
    public boolean hasUnacknowledgedBytes(UnacknowledgedSends sends) {
        return !isDrained() || sends.contains(sink);
    }

    /** Limits, approximately, how many sent bytes the kernel buffers for a slow peer (SO_SNDBUF). */
    public void limitSendBuffer(int bytes) {
        TcpOptions.limitSendBuffer(sink, bytes);
    }

    // ---- closing

    private void fail() {
        closeAndNotify(State.CLOSED);
    }

    private void closeAndNotify(State closedState) {
        if (!isClosed()) {
            close(closedState);
            loop.execute(handler::onClosed); // deferred, as the handler may be writing now
        }
    }

    /** Shuts down the sending direction. Data that the peer still sends can be read. */
    public void shutdownOutput() {
        try {
            if (!isClosed() && sink instanceof SocketChannel socket) {
                socket.shutdownOutput();
            }
        } catch (IOException e) {
            fail();
        }
    }

    /** Closes with a TCP reset, which tells the peer that its data may be unread; unsent data is lost. */
    public void reset() {
        try {
            TcpOptions.resetOnClose(source);
        } catch (IOException e) {
            // the socket is already closed
        }
        close();
    }

    /** Returns whether either side has closed the connection, or it has failed. */
    public boolean isClosed() {
        return state != State.OPEN;
    }

    /**
     * Returns whether the connection closed because the peer ended its stream. False after a failure, when
     * bytes in transit may be missing.
     */
    public boolean reachedEndOfStream() {
        return state == State.ENDED_BY_PEER;
    }

    /** Closes the connection without notifying the handler. Has no effect if it is already closed. */
    public void close() {
        close(State.CLOSED);
    }

    private void close(State closedState) {
        if (isClosed()) {
            return;
        }
        state = closedState;
        registration.close();
    }

    /**
     * Closes the connection in one of the next iterations unless input arrives until then, which is passed to
     * the handler as usual. The last read is followed immediately by the close; input that arrives between
     * the two resets the connection, which tells the peer that it was not read.
     *
     * @param mayClose asked right before the last read; if false, the connection stays open
     * @param onClosed run right after the close
     */
    public void closeUnlessInputArrives(BooleanSupplier mayClose, Runnable onClosed) {
        if (isClosed() || registration.isSuspended()) {
            return;
        }
        closesUnlessInputArrives = true;
        arrivalTracker.onReadingPaused();
        registration.suspend();
        registration.runWhenDeregistered(() -> closeOrResume(mayClose, onClosed));
    }

    private void closeOrResume(BooleanSupplier mayClose, Runnable onClosed) {
        if (closesUnlessInputArrives && mayClose.getAsBoolean() && !readAvailable()) {
            close();
            onClosed.run();
        } else if (!isClosed()) {
            resume();
        }
    }

    private void resume() {
        closesUnlessInputArrives = false;
        try {
            registration.resume();
            registration.setWriting(!writeQueue.isEmpty());
            loop.execute(this::readAfterPause);
        } catch (IOException e) {
            fail();
        }
    }

    @Override
    public String toString() {
        // unlike the channel, the socket still returns its remote address after it was closed
        return source instanceof SocketChannel socket
            ? String.valueOf(socket.socket().getRemoteSocketAddress()) : "in memory";
    }
}
