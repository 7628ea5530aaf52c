package spurroad.routing;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import spurroad.fixture.ScriptedPeers;
import spurroad.protocol.ByteSource;

/** A discovery on loopback that is away and returns. */
final class ScriptedDiscovery implements AutoCloseable {
    /** How discovery is away. */
    enum Away {
        /** It is not. */
        NEVER,
        /** Nobody listens. */
        REFUSES,
        /** Connections never come up: what asks for one is dropped. */
        DROPS,
        /** Accepts, and resets once a call has come. */
        RESETS,
        /** Answers each call that it can't serve it. */
        ANSWERS_503,
        /** Takes calls and never answers those. */
        HANGS,
        /** Begins to answer and never goes on. */
        HANGS_AFTER_HEAD,
        /** A watch has spoken and falls silent; further calls are answered. Counts from its last line. */
        WATCH_SILENT,
        /** The same, and the first call after that is never answered. */
        WATCH_SILENT_THEN_CALL_HANGS
    }

    private static final long MS = 1_000_000L;
    private static final long PATIENCE_MS = 10_000;
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String UNAVAILABLE = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

    private final Away away;
    private final long returnsAfterMs;
    final int port;
    private final AtomicInteger calls = new AtomicInteger();
    private final CountDownLatch told = new CountDownLatch(1);
    private final List<Socket> open = new ArrayList<>();
    private final Socket holder = new Socket(); // keeps the port where nobody listens: others would get it
    private volatile ServerSocket server;
    private volatile boolean returned;
    private volatile long since; // ns; from when what it has counts
    private volatile long toldAt; // ns; when it had written the list

    ScriptedDiscovery(Away away, long returnsAfterMs) throws IOException {
        this.away = away;
        this.returnsAfterMs = returnsAfterMs;
        server = new ServerSocket(0, away == Away.DROPS ? 1 : 50, InetAddress.getLoopbackAddress());
        port = server.getLocalPort();
    }

    void begin() throws IOException {
        if (away == Away.DROPS) {
            fillBacklog();
        } else if (away == Away.REFUSES) {
            server.close();
            holder.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        } else {
            ScriptedPeers.daemon(this::accept);
        }
        returned = away == Away.NEVER;
        if (!returned && away != Away.WATCH_SILENT && away != Away.WATCH_SILENT_THEN_CALL_HANGS) {
            ScriptedPeers.daemon(this::returns);
        }
    }

    /** As many as the system takes for nobody: it drops what asks for a connection from then on. */
    private void fillBacklog() throws IOException {
        for (int i = 0; i < 4; i++) {
            Socket s = new Socket();
            keep(s);
            try {
                s.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 200);
            } catch (java.net.SocketTimeoutException e) {
                return;
            }
        }
    }

    private void returns() throws Exception {
        Thread.sleep(returnsAfterMs);
        if (away == Away.REFUSES) {
            holder.close();
            ServerSocket again = new ServerSocket();
            again.setReuseAddress(true);
            again.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            server = again;
        }
        since = System.nanoTime();
        returned = true;
        if (away == Away.REFUSES || away == Away.DROPS) {
            accept();
        }
    }

    private void accept() throws IOException {
        while (true) {
            Socket s = server.accept();
            keep(s);
            ScriptedPeers.daemon(() -> serve(s));
        }
    }

    private synchronized void keep(Socket s) {
        open.add(s);
    }

    private void serve(Socket s) throws Exception {
        ByteSource in = new ByteSource(s.getInputStream());
        String line = in.readLine(9000);
        if (line == null) {
            return; // one of those that filled the backlog
        }
        while (!line.isEmpty()) {
            line = in.readLine(9000);
        }
        int call = calls.incrementAndGet();
        if (returned) {
            tell(s, 2);
            return;
        }
        switch (away) {
            case RESETS -> {
                s.setSoLinger(true, 0);
                s.close();
            }
            case ANSWERS_503 -> {
                write(s, UNAVAILABLE);
                s.close();
            }
            case HANGS_AFTER_HEAD -> write(s, HEAD);
            case WATCH_SILENT, WATCH_SILENT_THEN_CALL_HANGS -> {
                if (call == 1) {
                    write(s, HEAD + ScriptedPeers.chunk(ScriptedPeers.list(1, true)));
                    Thread.sleep(2000);
                    write(s, ScriptedPeers.chunk(""));
                    since = System.nanoTime();
                } else if (call == 3 || away == Away.WATCH_SILENT) {
                    tell(s, 2);
                }
            }
            default -> {} // it hangs
        }
        waitForEnd(s);
    }

    private void tell(Socket s, int revision) throws Exception {
        write(s, HEAD + ScriptedPeers.chunk(ScriptedPeers.list(revision, true)));
        if (toldAt == 0) {
            toldAt = System.nanoTime();
            told.countDown();
        }
        while (true) { // a beat, as of a watch on which nothing changes
            Thread.sleep(2000);
            write(s, ScriptedPeers.chunk(""));
        }
    }

    private static void waitForEnd(Socket s) throws IOException {
        InputStream in = s.getInputStream();
        while (in.read() >= 0) {
            continue; // nothing more comes but its end
        }
    }

    private static void write(Socket s, String text) throws IOException {
        s.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    long tookMs() throws InterruptedException {
        return told.await(PATIENCE_MS, TimeUnit.MILLISECONDS) ? (toldAt - since) / MS : Long.MAX_VALUE;
    }

    @Override
    public synchronized void close() throws IOException {
        server.close();
        holder.close();
        for (Socket s : open) {
            s.close();
        }
    }

    /** When it had written the list, in the system's nanoseconds; 0 where it did not within some seconds. */
    long toldAt() throws InterruptedException {
        return told.await(PATIENCE_MS, TimeUnit.MILLISECONDS) ? toldAt : 0;
    }
}
