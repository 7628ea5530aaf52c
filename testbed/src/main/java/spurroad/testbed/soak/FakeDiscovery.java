package spurroad.testbed.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Discovery for one proxy, at two addresses, so that a new configuration can move the proxy from one to the
 * other. It reports to the checker which draining nodes all processes of the proxy know of. Thread-safe.
 */
final class FakeDiscovery {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long HEARTBEAT_NANOS = 2_000 * NANOS_PER_MILLI;
    private static final long POLL_INTERVAL_MS = 20;
    private static final long SLOW_RESPONSE_MS = 1_500;
    private static final int ADDRESS_COUNT = 2;
    private static final String RESPONSE_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    /** One watch on the endpoint list. */
    private static final class Watch {
        private final Socket socket;
        private volatile long sentRevision;

        private Watch(Socket socket, long knownRevision) {
            this.socket = socket;
            this.sentRevision = knownRevision;
        }
    }

    private final int proxy;
    private final FleetList fleetList;
    private final FleetList.PortMapping ports;
    private final InvariantChecker checker;
    private final ServerSocket[] serverSockets = new ServerSocket[ADDRESS_COUNT];
    private final Set<Watch> watches = ConcurrentHashMap.newKeySet();
    private volatile boolean down;
    private volatile boolean silent;
    private volatile boolean slow;

    FakeDiscovery(int proxy, FleetList fleetList, FleetList.PortMapping ports, InvariantChecker checker)
        throws IOException {
        this.proxy = proxy;
        this.fleetList = fleetList;
        this.ports = ports;
        this.checker = checker;
        for (int i = 0; i < ADDRESS_COUNT; i++) {
            serverSockets[i] = TestThreads.listen("discovery", this::serve);
        }
    }

    /** Returns the port of an address; the addresses take turns as the number grows. */
    int port(int address) {
        return serverSockets[address % ADDRESS_COUNT].getLocalPort();
    }

    /** Sets whether connections are reset. */
    void setDown(boolean on) {
        down = on;
        if (on) {
            resetAll();
        }
    }

    /** Sets whether watches stay open without events; they are reset at the end. */
    void setSilent(boolean on) {
        silent = on;
        if (!on) {
            resetAll();
        }
    }

    /** Sets whether responses start late. */
    void setSlow(boolean on) {
        slow = on;
    }

    private void resetAll() {
        watches.forEach(watch -> Sockets.reset(watch.socket));
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        String requestLine = readRequest(in);
        if (requestLine == null || down) {
            Sockets.reset(socket);
            return;
        }
        if (slow) {
            Thread.sleep(SLOW_RESPONSE_MS);
        }
        long knownRevision = Long.parseLong(requestLine.replaceFirst(".*since=(\\d+).*", "$1"));
        Watch watch = new Watch(socket, knownRevision);
        watches.add(watch);
        TestThreads.start("discovery end", () -> awaitEnd(watch, in));
        try {
            sendEvents(watch, socket.getOutputStream());
        } finally {
            watches.remove(watch);
        }
    }

    /** Reads a request with its headers; returns the request line, null if the connection has ended. */
    private static String readRequest(InputStream in) throws IOException {
        String requestLine = Sockets.readLine(in);
        String line = requestLine;
        while (line != null && !line.isEmpty()) {
            line = Sockets.readLine(in);
        }
        return requestLine;
    }

    private void awaitEnd(Watch watch, InputStream in) throws IOException {
        try {
            while (in.read() >= 0) {
                continue;
            }
        } finally {
            watches.remove(watch);
            Sockets.close(watch.socket);
        }
    }

    private void sendEvents(Watch watch, OutputStream out) throws IOException, InterruptedException {
        Sockets.write(out, RESPONSE_HEAD);
        long sentAtNanos = System.nanoTime();
        boolean first = true;
        while (watches.contains(watch)) {
            long revision = fleetList.revision();
            boolean changed = revision > watch.sentRevision;
            boolean heartbeatDue = System.nanoTime() - sentAtNanos > HEARTBEAT_NANOS;
            if (!silent && (first || changed || heartbeatDue)) {
                writeChunk(out, changed ? fleetList.json(watch.sentRevision, ports) : "");
                watch.sentRevision = revision;
                sentAtNanos = System.nanoTime();
                first = false;
                reportDrains();
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }

    /** Reports the drains that all processes of the proxy know of, which bind each of them. */
    private void reportDrains() {
        long commonRevision = watches.stream().mapToLong(watch -> watch.sentRevision).min().orElse(0);
        fleetList.drainingSince(commonRevision).forEach(node -> checker.onDrainReported(proxy, node));
    }

    private static void writeChunk(OutputStream out, String line) throws IOException {
        Sockets.write(out, Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n");
    }
}
