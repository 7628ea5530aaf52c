package spurroad.program;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import spurroad.fixture.ScriptedPeers;
import spurroad.protocol.ByteSource;

/** A cache node that answers load probes itself, and whose replies to reads a script writes. */
final class ScriptedNode implements AutoCloseable {
    /** Writes the reply to a read. */
    interface Script {
        void answer(Socket socket, String id) throws Exception;
    }

    /** Opens after the first read was answered. */
    final CountDownLatch ended = new CountDownLatch(1);
    /** How many bytes {@link #writeRange} has written. */
    final AtomicLong writtenBytes = new AtomicLong();
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

    ScriptedNode(Script script) throws IOException {
        ScriptedPeers.daemon(() -> {
            while (true) {
                Socket socket = server.accept();
                ScriptedPeers.daemon(() -> serve(socket, script));
            }
        });
    }

    private void serve(Socket socket, Script script) throws Exception {
        ByteSource in = new ByteSource(socket.getInputStream());
        for (String line = in.readLine(9000); line != null; line = in.readLine(9000)) {
            if (line.startsWith("mg")) {
                try {
                    script.answer(socket, line.replaceFirst(".* O(\\S+).*", "$1"));
                } finally {
                    ended.countDown();
                }
            } else {
                socket.getOutputStream().write("STAT inflight 0\r\nEND\r\n".getBytes());
            }
        }
    }

    int port() {
        return server.getLocalPort();
    }

    /** Writes a part of an array. */
    void writeRange(Socket socket, byte[] bytes, int from, int to) throws IOException {
        socket.getOutputStream().write(bytes, from, to - from);
        writtenBytes.addAndGet(to - from);
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
