package spurroad.transport;

import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;

/** How every socket of the program is set, and closed without a complaint. */
public final class Sockets {
    private Sockets() { }

    /** Small writes go out at once: an answer waits for nothing that may follow. */
    public static Socket set(Socket s) throws SocketException {
        s.setTcpNoDelay(true);
        return s;
    }

    public static void close(Closeable c) {
        try {
            c.close();
        } catch (IOException e) {
            // it is closed all the same
        }
    }
}
