package spurroad.testbed.soak;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/** Operations on loopback sockets and on the lines that cross them. Thread-safe. */
final class Sockets {
    /** The range below the ephemeral ports that Linux gives to connections by itself. */
    private static final int FIRST_PORT = 20_000;
    private static final int PORT_COUNT = 12_000;
    /** Each test process reserves one block of this range, by listening at its first port. */
    private static final int PORT_BLOCKS = 8;
    private static final int BLOCK_SIZE = PORT_COUNT / PORT_BLOCKS;
    private static final int PORT_ATTEMPTS = 10_000;
    private static final Set<Integer> GIVEN_PORTS = ConcurrentHashMap.newKeySet();

    /** The block that this process has reserved until it ends. */
    private static final class ReservedBlock {
        private static final ServerSocket RESERVATION = reserve();
        private static final int FIRST_PORT_OF_BLOCK = RESERVATION.getLocalPort();

        private static ServerSocket reserve() {
            for (int block = 0; block < PORT_BLOCKS; block++) {
                try {
                    return new ServerSocket(FIRST_PORT + block * BLOCK_SIZE, 1,
                        InetAddress.getLoopbackAddress());
                } catch (IOException e) {
                    continue; // reserved by another process
                }
            }
            throw new IllegalStateException("all blocks of ports from " + FIRST_PORT + " on are reserved");
        }
    }

    private Sockets() {}

    /** Connects to a loopback port. */
    static Socket connect(int port) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setTcpNoDelay(true);
        return socket;
    }

    /**
     * Returns a free port that neither the system gives to a connection meanwhile nor another call returns:
     * it stays free until the process that it is meant for listens, and while that is being restarted.
     */
    static int freePort() throws IOException {
        int firstPort = ReservedBlock.FIRST_PORT_OF_BLOCK;
        for (int i = 0; i < PORT_ATTEMPTS; i++) {
            int port = firstPort + 1 + ThreadLocalRandom.current().nextInt(BLOCK_SIZE - 1);
            if (!GIVEN_PORTS.add(port)) {
                continue;
            }
            try (ServerSocket server = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return server.getLocalPort();
            } catch (BindException e) {
                continue; // the port is in use
            }
        }
        throw new IOException("no free port found from " + firstPort + " on");
    }

    /** Lets ports be returned again; to be called at the end of a run. */
    static void forgetGivenPorts() {
        GIVEN_PORTS.clear();
    }

    /** Closes a connection by a reset. */
    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            // the socket is closed already
        }
        close(socket);
    }

    /** Closes a socket, and ignores errors. */
    static void close(Closeable socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // the socket is closed all the same
        }
    }

    /** Reads a line without its end; returns null at the end of the stream. */
    static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c >= 0; c = in.read()) {
            if (c == '\n') {
                int last = line.length() - 1;
                boolean endsWithCr = last >= 0 && line.charAt(last) == '\r';
                return endsWithCr ? line.substring(0, last) : line.toString();
            }
            line.append((char) c);
        }
        return null;
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    }
}
