package spurroad.overload;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import spurroad.fixture.ScriptedPeers;
import spurroad.protocol.ByteSource;

/**
 * A cache node on loopback whose values all have {@link #VALUE_BYTES} bytes. It uses one thread per
 * connection.
 */
final class LargeValueNode implements AutoCloseable {
    static final int VALUE_BYTES = 4 * 1024 * 1024;

    private static final int BACKLOG = 500; // connections
    private static final int SEND_BUFFER_BYTES = 64 * 1024;
    private static final int MAX_LINE_BYTES = 9000;
    private static final int REQUEST_ID_FIELD = 3;

    private final ServerSocket server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());

    LargeValueNode() throws IOException {
        ScriptedPeers.daemon(this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            ScriptedPeers.daemon(() -> serve(socket));
        }
    }

    private static void serve(Socket socket) throws IOException {
        socket.setSendBufferSize(SEND_BUFFER_BYTES);
        byte[] value = new byte[VALUE_BYTES];
        ByteSource in = new ByteSource(socket.getInputStream());
        for (String line = in.readLine(MAX_LINE_BYTES); line != null; line = in.readLine(MAX_LINE_BYTES)) {
            if (line.startsWith("mg")) {
                write(socket, "VA " + VALUE_BYTES + " " + line.split(" ")[REQUEST_ID_FIELD] + "\r\n");
                socket.getOutputStream().write(value);
                write(socket, "\r\n");
            } else {
                write(socket, "STAT inflight 0\r\nEND\r\n");
            }
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
