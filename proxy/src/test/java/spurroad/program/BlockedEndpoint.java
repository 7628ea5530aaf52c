package spurroad.program;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.UnaryOperator;
import spurroad.fixture.ScriptedPeers;
import spurroad.protocol.ByteSource;

/**
 * A cache node that accepts no connections, or reads nothing, until a latch opens; then it reads complete
 * commands.
 */
final class BlockedEndpoint implements AutoCloseable {
    private static final int RECEIVE_BUFFER_BYTES = 2048;
    private static final int BACKLOG = 50;
    private static final int MAX_LINE_BYTES = 9000;

    private final CountDownLatch unblocked;
    private final Runnable onAccepted;
    private final UnaryOperator<String> onCommand;
    private final ServerSocket server = new ServerSocket();
    private final List<Socket> fillers = new ArrayList<>();

    /**
     * Starts listening.
     *
     * @param accepts whether connections are accepted at once and only reading waits for the latch
     * @param onAccepted runs after each accepted connection
     * @param onCommand returns the request id of a command
     */
    BlockedEndpoint(boolean accepts, CountDownLatch unblocked, Runnable onAccepted,
                    UnaryOperator<String> onCommand)
        throws IOException {
        this.unblocked = unblocked;
        this.onAccepted = onAccepted;
        this.onCommand = onCommand;
        server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), accepts ? BACKLOG : 1);
        for (int i = 0; i < 2 && !accepts; i++) {
            // with its accept queue full, no connect succeeds
            fillers.add(new Socket(server.getInetAddress(), server.getLocalPort()));
        }
        ScriptedPeers.daemon(() -> {
            if (!accepts) {
                unblocked.await();
            }
            acceptAll();
        });
    }

    int port() {
        return server.getLocalPort();
    }

    private void acceptAll() throws IOException {
        while (true) {
            Socket socket = server.accept();
            onAccepted.run();
            ScriptedPeers.daemon(() -> {
                unblocked.await();
                respond(socket);
            });
        }
    }

    private void respond(Socket socket) throws IOException {
        ByteSource in = new ByteSource(socket.getInputStream());
        for (String line = in.readLine(MAX_LINE_BYTES); line != null; line = in.readLine(MAX_LINE_BYTES)) {
            if (line.startsWith("ms ")) {
                int length = Integer.parseInt(line.split(" ")[2]);
                in.readFully(new byte[length], 0, length);
                in.readLineEnd();
            }
            String response = "VA 1 O" + onCommand.apply(line) + "\r\nv\r\n";
            socket.getOutputStream().write(response.getBytes());
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket filler : fillers) {
            filler.close();
        }
    }
}
