package spurroad.overload;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import spurroad.protocol.ByteSource;

/** Clients that each read one value of a {@link LargeValueNode} slowly, with one thread per client. */
final class SlowReaders {
    private static final String REJECTION = "SERVER_ERROR busy";
    private static final int MAX_ATTEMPTS = 200;
    private static final long RETRY_PAUSE_MS = 100;
    private static final int RECEIVE_BUFFER_BYTES = 32 * 1024;
    private static final int CHUNK_BYTES = 16 * 1024;
    private static final long CHUNK_PAUSE_MS = 80;
    private static final int MAX_LINE_BYTES = 9000;
    private static final int MAX_LINE_END_BYTES = 9;

    private final int proxyPort;
    private final AtomicInteger completed = new AtomicInteger();
    private final List<Thread> threads = new ArrayList<>();

    /** Starts the clients. */
    SlowReaders(int proxyPort, int count) {
        this.proxyPort = proxyPort;
        for (int i = 0; i < count; i++) {
            String key = "l" + i;
            Thread thread = new Thread(() -> run(key));
            thread.start();
            threads.add(thread);
        }
    }

    boolean running() {
        return threads.stream().anyMatch(Thread::isAlive);
    }

    /** Returns the number of clients that have read their value completely. */
    int completed() {
        return completed.get();
    }

    private void run(String key) {
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), proxyPort));
            ByteSource in = new ByteSource(socket.getInputStream());
            String line = request(socket, in, key);
            if (line != null && line.startsWith("VA " + LargeValueNode.VALUE_BYTES) && readValue(in)) {
                completed.incrementAndGet();
            }
        } catch (IOException | InterruptedException e) {
            // the value counts as not completed
        }
    }

    /** Sends a read until it is not rejected, and returns the response's first line. */
    private static String request(Socket socket, ByteSource in, String key)
        throws IOException, InterruptedException {
        String line = REJECTION;
        for (int attempt = 0; line != null && line.startsWith(REJECTION)
            && attempt < MAX_ATTEMPTS; attempt++) {
            Thread.sleep(attempt == 0 ? 0 : RETRY_PAUSE_MS);
            String command = "mg k" + key + " v O" + key + "t" + attempt + " Pc=read,t=acme,d=9000\r\n";
            socket.getOutputStream().write(command.getBytes(StandardCharsets.ISO_8859_1));
            line = in.readLine(MAX_LINE_BYTES);
        }
        return line;
    }

    private static boolean readValue(ByteSource in) throws IOException, InterruptedException {
        byte[] chunk = new byte[CHUNK_BYTES];
        for (int left = LargeValueNode.VALUE_BYTES; left > 0; left -= chunk.length) {
            in.readFully(chunk, 0, chunk.length);
            Thread.sleep(CHUNK_PAUSE_MS);
        }
        return in.readLine(MAX_LINE_END_BYTES).isEmpty();
    }
}
