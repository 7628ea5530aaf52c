package spurroad.transport;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;

/**
 * One socket and its place among the descriptors. Any thread may close it, which wakes those that wait for it; the one
 * that reads it ends it last, and only there the place is given back.
 */
public final class Connection {
    private final Socket socket;
    private final Runnable placeBack;

    /** One that was accepted, or that is still to be made. */
    public Connection(Socket socket, Runnable placeBack) {
        this.socket = socket;
        this.placeBack = placeBack;
    }

    public void connect(InetSocketAddress to, int mostMs) throws IOException {
        socket.connect(to, mostMs);
    }

    /** Reads fail after so long a silence; without this they wait for ever. */
    public void mostSilence(int ms) throws SocketException {
        socket.setSoTimeout(ms);
    }

    /** What comes in. Small writes go out at once from here on: an answer waits for nothing that may follow. */
    public InputStream in() throws IOException {
        socket.setTcpNoDelay(true);
        return socket.getInputStream();
    }

    /** Returns once the system has taken the last byte; may wait for a slow peer. */
    public void write(byte[] message) throws IOException {
        socket.getOutputStream().write(message);
    }

    /** Says that nothing more is written; what the peer still sends can be read. */
    public void endOutput() {
        try {
            socket.shutdownOutput();
        } catch (IOException e) {
            close();
        }
    }

    /** Whether something came in that nobody has read. */
    public boolean unread() {
        try {
            return socket.getInputStream().available() > 0;
        } catch (IOException e) {
            return false; // closed
        }
    }

    /** Closes it so that the peer learns that what it may have sent has not been taken. */
    public void reset() {
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            // closed already
        }
        close();
    }

    public boolean closed() {
        return socket.isClosed();
    }

    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // it is closed all the same
        }
    }

    /** To be called once, by the thread that reads it, when that ends. */
    public void end() {
        close();
        placeBack.run();
    }

    @Override
    public String toString() {
        return String.valueOf(socket.getRemoteSocketAddress());
    }
}
