package spurroad.testbed.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import spurroad.testbed.soak.SoakRequest.ConnectionUse;

/** The connection of a client to its proxy, which can be closed and established again. Not thread-safe. */
final class SoakConnection {
    private static final int CONNECT_TIMEOUT_MS = 2_000;
    /** A client that connects for a request sends it sooner. */
    private static final long FRESH_NANOS = 100_000_000L;

    private final int port;
    private SocketChannel channel;
    private Socket socket; // of the channel
    private InputStream in;
    private boolean used;
    private long connectedAtNanos;

    /** Creates a connection to a port that is not established. */
    SoakConnection(int port) {
        this.port = port;
    }

    boolean isOpen() {
        return socket != null;
    }

    /** Establishes a new connection, and closes the one before. */
    void connect() throws IOException {
        close();
        channel = SocketChannel.open();
        socket = channel.socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_TIMEOUT_MS);
        in = new BufferedInputStream(socket.getInputStream());
        used = false;
        connectedAtNanos = System.nanoTime();
    }

    /** Returns how the connection was used; the proxy may close one that is idle at any time. */
    ConnectionUse use() {
        if (used) {
            return ConnectionUse.USED;
        }
        boolean fresh = System.nanoTime() - connectedAtNanos < FRESH_NANOS;
        return fresh ? ConnectionUse.FRESH : ConnectionUse.NEVER_USED;
    }

    void markUsed() {
        used = true;
    }

    long connectedAtNanos() {
        return connectedAtNanos;
    }

    /**
     * Returns whether the proxy has ended the connection, as far as that has arrived. Called right before a
     * request is sent, while no response is awaited.
     */
    boolean hasEnded() throws IOException {
        channel.configureBlocking(false);
        try {
            return channel.read(ByteBuffer.allocate(1)) != 0; // a byte would belong to no request
        } catch (SocketException e) {
            return true; // reset
        } finally {
            channel.configureBlocking(true);
        }
    }

    void write(String text) throws IOException {
        Sockets.write(socket.getOutputStream(), text);
    }

    /** Writes a text on a thread of its own, because the proxy may not read it. */
    void writeInBackground(String text) {
        Socket current = socket;
        TestThreads.start("client writer", () -> Sockets.write(current.getOutputStream(), text));
    }

    /** Sets how long a read may take before a {@link java.net.SocketTimeoutException}. */
    void setReadTimeout(int timeoutMs) throws IOException {
        socket.setSoTimeout(timeoutMs);
    }

    /** Reads a line; returns null if the proxy has closed the connection. */
    String readLine() throws IOException {
        return Sockets.readLine(in);
    }

    void reset() {
        Sockets.reset(socket);
        close();
    }

    void close() {
        if (socket != null) {
            Sockets.close(socket);
            socket = null;
        }
    }
}
