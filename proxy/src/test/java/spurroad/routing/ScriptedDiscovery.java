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

/** A discovery service on loopback that is unavailable at first and then recovers. */
final class ScriptedDiscovery implements AutoCloseable {
    /** How discovery is unavailable. */
    enum Away {
        /** Always available. */
        NEVER,
        /** No socket listens. */
        REFUSES,
        /** Connections are never established: the full backlog drops SYN packets. */
        DROPS,
        /** Accepts connections, and resets them after the call was received. */
        RESETS,
        /** Answers each call with status 503. */
        ANSWERS_503,
        /** Accepts calls and never answers them. */
        HANGS,
        /** Sends the head of a response and nothing else. */
        HANGS_AFTER_HEAD,
        /** A watch stalls after its first lines; later calls are answered. Counted from its last line. */
        WATCH_SILENT,
        /** As {@link #WATCH_SILENT}, but the next call is never answered either. */
        WATCH_SILENT_THEN_CALL_HANGS
    }

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long MAX_WAIT_MILLIS = 10_000;
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String UNAVAILABLE = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

    private final Away away;
    private final long outageMillis;
    final int port;
    private final AtomicInteger calls = new AtomicInteger();
    private final CountDownLatch listSent = new CountDownLatch(1);
    private final List<Socket> connections = new ArrayList<>();
    private final Socket portReservation = new Socket(); // reserves the port while no socket listens on it
    private volatile ServerSocket server;
    private volatile boolean recovered;
    private volatile long availableSinceNanos; // from when its list can be read
    private volatile long listSentAtNanos; // when the list was written

    ScriptedDiscovery(Away away, long outageMillis) throws IOException {
        this.away = away;
        this.outageMillis = outageMillis;
        server = new ServerSocket(0, away == Away.DROPS ? 1 : 50, InetAddress.getLoopbackAddress());
        port = server.getLocalPort();
    }

    /** Starts the service and its outage. */
    void begin() throws IOException {
        if (away == Away.DROPS) {
            fillBacklog();
        } else if (away == Away.REFUSES) {
            server.close();
            portReservation.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        } else {
            ScriptedPeers.daemon(this::accept);
        }
        recovered = away == Away.NEVER;
        if (!recovered && away != Away.WATCH_SILENT && away != Away.WATCH_SILENT_THEN_CALL_HANGS) {
            ScriptedPeers.daemon(this::recover);
        }
    }

    /** Fills the backlog of the socket, so that the system drops further connection requests. */
    private void fillBacklog() throws IOException {
        for (int i = 0; i < 4; i++) {
            Socket socket = new Socket();
            keep(socket);
            try {
                socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 200);
            } catch (java.net.SocketTimeoutException e) {
                return;
            }
        }
    }

    private void recover() throws Exception {
        Thread.sleep(outageMillis);
        if (away == Away.REFUSES) {
            portReservation.close();
            ServerSocket newServer = new ServerSocket();
            newServer.setReuseAddress(true);
            newServer.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            server = newServer;
        }
        availableSinceNanos = System.nanoTime();
        recovered = true;
        if (away == Away.REFUSES || away == Away.DROPS) {
            accept();
        }
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            keep(socket);
            ScriptedPeers.daemon(() -> serve(socket));
        }
    }

    private synchronized void keep(Socket socket) {
        connections.add(socket);
    }

    private void serve(Socket socket) throws Exception {
        ByteSource in = new ByteSource(socket.getInputStream());
        String line = in.readLine(9000);
        if (line == null) {
            return; // a connection that filled the backlog
        }
        while (!line.isEmpty()) {
            line = in.readLine(9000);
        }
        int call = calls.incrementAndGet();
        if (recovered) {
            sendList(socket, 2);
            return;
        }
        switch (away) {
            case RESETS -> {
                socket.setSoLinger(true, 0);
                socket.close();
            }
            case ANSWERS_503 -> {
                write(socket, UNAVAILABLE);
                socket.close();
            }
            case HANGS_AFTER_HEAD -> write(socket, HEAD);
            case WATCH_SILENT, WATCH_SILENT_THEN_CALL_HANGS -> {
                if (call == 1) {
                    write(socket, HEAD + ScriptedPeers.chunk(ScriptedPeers.list(1, true)));
                    Thread.sleep(2000);
                    write(socket, ScriptedPeers.chunk(""));
                    availableSinceNanos = System.nanoTime();
                } else if (call == 3 || away == Away.WATCH_SILENT) {
                    sendList(socket, 2);
                }
            }
            default -> {} // never answers
        }
        waitForEnd(socket);
    }

    private void sendList(Socket socket, int revision) throws Exception {
        write(socket, HEAD + ScriptedPeers.chunk(ScriptedPeers.list(revision, true)));
        if (listSentAtNanos == 0) {
            listSentAtNanos = System.nanoTime();
            listSent.countDown();
        }
        while (true) { // heartbeats of a watch without changes
            Thread.sleep(2000);
            write(socket, ScriptedPeers.chunk(""));
        }
    }

    private static void waitForEnd(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        while (in.read() >= 0) {
            continue; // ignore input until the end of the stream
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Returns the time from when the list could be read to when it was written, if within 10 s. */
    long detectionMillis() throws InterruptedException {
        return listSent.await(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS)
            ? (listSentAtNanos - availableSinceNanos) / NANOS_PER_MILLI : Long.MAX_VALUE;
    }

    @Override
    public synchronized void close() throws IOException {
        server.close();
        portReservation.close();
        for (Socket socket : connections) {
            socket.close();
        }
    }

    /** Returns when the list was written, by {@link System#nanoTime}; 0 if it was not within 10 s. */
    long listSentAtNanos() throws InterruptedException {
        return listSent.await(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS) ? listSentAtNanos : 0;
    }
}
