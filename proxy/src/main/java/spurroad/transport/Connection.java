package spurroad.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.nio.channels.WritableByteChannel;

/**
 * One non-blocking socket, with the descriptor permit that it holds.
 *
 * <p>Bytes that arrive go to its {@link Handler}. What is written goes out at once as far as the system takes
 * it, the rest when the system takes more. Failures are not thrown: they close the connection, and its
 * handler is notified in a later task. The permit is released once, after the system has the descriptor back.
 *
 * <p>Event loop thread only.
 */
public final class Connection {
    /** Receives the events of a connection, on the event loop thread. */
    public interface Handler {
        /** The connection is established; only where {@link Connection#connect} opened it. */
        void onConnected();

        /** Bytes have arrived; the buffer is the event loop's and must be emptied before this returns. */
        void onRead(ByteBuffer bytes);

        /** The system has taken all that was written, after some of it had to wait. */
        void onDrained();

        /** The peer has closed the connection or it failed. Not called after {@link Connection#close}. */
        void onClosed();
    }

    private enum State { OPEN, CLOSED, ENDED_BY_PEER }

    private static final int END_OF_STREAM = -1; // as a channel's read returns it
    // what reads and writes of a non-blocking socket return where a signal interrupted them (EINTR)
    private static final int INTERRUPTED = -3;
    private static final int MAX_INTERRUPTED_READS = 8;

    private final EventLoop loop;
    private final ReadableByteChannel source;
    private final WritableByteChannel sink;
    private final Runnable releasePermit;
    private final WriteQueue writeQueue;
    private final ReadArrivalTracker arrivalTracker;
    private SelectionKey readKey;
    private SelectionKey writeKey;
    private Handler handler;
    private State state = State.OPEN;

    /**
     * Takes a socket, or two channels that stand for one; {@link #open} or {@link #connect} comes before
     * anything else.
     *
     * @param releasePermit run once, after the closed descriptor was given back to the system
     */
    public Connection(EventLoop loop, ReadableByteChannel source, WritableByteChannel sink,
                      Runnable releasePermit) {
        this.loop = loop;
        this.source = source;
        this.sink = sink;
        this.releasePermit = releasePermit;
        writeQueue = new WriteQueue(sink);
        arrivalTracker = new ReadArrivalTracker(loop);
    }

    /**
     * Takes an accepted socket; what its first read finds may have arrived while it was in the accept queue.
     *
     * @param queuedSinceNanos since when it was in the accept queue at the earliest, in Unix nanoseconds
     */
    static Connection accepted(EventLoop loop, SocketChannel socket, long queuedSinceNanos,
                               Runnable releasePermit) {
        Connection accepted = new Connection(loop, socket, socket, releasePermit);
        accepted.arrivalTracker.onOpenedWithUnreadBytes(queuedSinceNanos);
        return accepted;
    }

    /** Starts to read from a socket that is connected. */
    public void open(Handler handler) {
        register(handler, SelectionKey.OP_READ);
        if (!isClosed() && arrivalTracker.mayHaveUnreadBytes()) {
            read(loop.readBuffer.capacity()); // at once, as bytes that arrive later were not queued
        }
    }

    /** Starts to connect, without a timeout: that is up to the handler. */
    public void connect(InetSocketAddress address, Handler handler) {
        if (!(source instanceof SocketChannel socket)) {
            open(handler);
            loop.execute(handler::onConnected); // channels in memory are connected from the start
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
            if (source instanceof SocketChannel socket) {
                // a response must not wait in the system for one that follows it
                socket.setOption(StandardSocketOptions.TCP_NODELAY, true);
            }
            readKey = loop.register((SelectableChannel) source, operations, this::onReady);
            writeKey = sink == source ? readKey
                : loop.register((SelectableChannel) sink, 0, this::onReady);
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
            read(loop.readBuffer.capacity());
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
        readKey.interestOps(SelectionKey.OP_READ);
        handler.onConnected();
    }

    // ---- reading

    /** Reads once and passes the bytes to the handler; returns whether there were any. */
    private boolean read(int maxBytes) {
        try {
            ByteBuffer buffer = loop.readBuffer;
            int limit = Math.min(maxBytes, buffer.capacity());
            buffer.clear().limit(limit);
            int count = readRetryingInterrupts(buffer);
            arrivalTracker.onRead(count == limit || count == INTERRUPTED, isReading());
            if (count > 0) {
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

    /** Reads again after a signal: else an end of stream would be missed right before a request is sent. */
    private int readRetryingInterrupts(ByteBuffer buffer) throws IOException {
        int count = source.read(buffer);
        for (int i = 0; count == INTERRUPTED && i < MAX_INTERRUPTED_READS; i++) {
            count = source.read(buffer);
        }
        return count;
    }

    /**
     * Returns when the bytes read last can have arrived at the earliest, in Unix nanoseconds: they may have
     * been unread while the loop was busy, or while reading was paused.
     */
    public long earliestArrivalNanos() {
        return arrivalTracker.earliestArrivalNanos();
    }

    /**
     * Reads now, passes bytes to the handler, and returns whether there were any or the connection closed.
     */
    public boolean readAvailable() {
        return readAvailable(loop.readBuffer.capacity());
    }

    /** Does the same as {@link #readAvailable()} with a bound on the bytes read. */
    public boolean readAvailable(int maxBytes) {
        return isClosed() || read(maxBytes) || isClosed();
    }

    /** Pauses or resumes reading; what arrives during a pause fills the system's buffers, then the peer's. */
    public void setReading(boolean enabled) {
        if (isClosed() || !readKey.isValid() || !setInterest(readKey, SelectionKey.OP_READ, enabled)) {
            return;
        }
        if (enabled) {
            loop.execute(this::readAfterPause);
        } else {
            arrivalTracker.onReadingPaused();
        }
    }

    /** Reads what arrived during a pause before the loop reads what arrives later, which has not waited. */
    private void readAfterPause() {
        if (isReading() && arrivalTracker.mayHaveUnreadBytes()) {
            read(loop.readBuffer.capacity());
        }
    }

    /** Returns whether bytes that arrive are read. */
    public boolean isReading() {
        return !isClosed() && readKey.isValid() && (readKey.interestOps() & SelectionKey.OP_READ) != 0;
    }

    /** Sets whether the loop waits for an operation; returns whether that has changed. */
    private static boolean setInterest(SelectionKey key, int operation, boolean enabled) {
        int current = key.interestOps();
        int updated = enabled ? current | operation : current & ~operation;
        if (current == updated) {
            return false;
        }
        key.interestOps(updated);
        return true;
    }

    // ---- writing

    /** Sends a message after all that was written before; the array must not change any more. */
    public void write(byte[] message) {
        if (!isClosed() && message.length > 0 && writeQueue.add(message)) {
            flush();
        }
    }

    /** Sends a buffer's bytes after all that was written before; what can't go out at once is copied. */
    public void write(ByteBuffer bytes) {
        if (isClosed() || !bytes.hasRemaining()) {
            return;
        }
        try {
            if (writeQueue.isEmpty() && bytes.isDirect()) { // others go out by way of the loop's own buffer
                writeQueue.writeDirectly(bytes);
            }
        } catch (IOException e) {
            fail();
            return;
        }
        if (bytes.hasRemaining()) {
            byte[] remaining = new byte[bytes.remaining()];
            bytes.get(remaining);
            write(remaining);
        }
    }

    /** Writes what is queued as far as the system takes it; returns whether that was all. */
    private boolean flush() {
        try {
            writeQueue.flush(loop.writeBuffer);
            setInterest(writeKey, SelectionKey.OP_WRITE, !writeQueue.isEmpty());
            return writeQueue.isEmpty();
        } catch (IOException e) {
            fail();
            return false;
        }
    }

    /** Returns how many bytes were written and wait for the system to take them. */
    long pendingBytes() {
        return writeQueue.pendingBytes();
    }

    /** Returns how many bytes the system has taken of what was written. */
    public long bytesAccepted() {
        return writeQueue.bytesAccepted();
    }

    /** Returns whether the system has taken all that was written. */
    public boolean isDrained() {
        return writeQueue.isEmpty();
    }

    /** Bounds roughly how many bytes the system buffers that the peer has not taken (SO_SNDBUF). */
    public void limitSendBuffer(int bytes) {
        try {
            if (!isClosed() && sink instanceof SocketChannel socket) {
                socket.setOption(StandardSocketOptions.SO_SNDBUF, bytes);
            }
        } catch (IOException e) {
            fail();
        }
    }

    // ---- closing

    private void fail() {
        closeAndNotify(State.CLOSED);
    }

    private void closeAndNotify(State closedState) {
        if (!isClosed()) {
            close(closedState);
            loop.execute(handler::onClosed); // not at once, as the handler itself may be writing
        }
    }

    /** Ends the outgoing half; what the peer still sends can be read. */
    public void shutdownOutput() {
        try {
            if (!isClosed() && sink instanceof SocketChannel socket) {
                socket.shutdownOutput();
            }
        } catch (IOException e) {
            fail();
        }
    }

    /** Closes with a TCP reset: the peer learns that what it has sent may not have been read. */
    public void reset() {
        try {
            if (!isClosed() && source instanceof SocketChannel socket) {
                socket.setOption(StandardSocketOptions.SO_LINGER, 0);
            }
        } catch (IOException e) {
            // the socket is closed already
        }
        close();
    }

    /** Returns whether either side has closed it. */
    public boolean isClosed() {
        return state != State.OPEN;
    }

    /** Returns whether the peer ended its stream; after a failure, bytes in transit may be missing. */
    public boolean reachedEndOfStream() {
        return state == State.ENDED_BY_PEER;
    }

    /** Closes it without a call of the handler; has no effect the second time. */
    public void close() {
        close(State.CLOSED);
    }

    private void close(State closedState) {
        if (isClosed()) {
            return;
        }
        state = closedState;
        loop.runAfterSelect(releasePermit);
        try {
            source.close();
            sink.close();
        } catch (IOException e) {
            // the descriptor is released all the same
        }
    }

    @Override
    public String toString() {
        // the socket knows its peer also once it is closed, other than the channel
        return source instanceof SocketChannel socket
            ? String.valueOf(socket.socket().getRemoteSocketAddress()) : "in memory";
    }
}
