package spurroad.testbed.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

/**
 * A TCP proxy between one proxy under test and one server. It reports each attempt to the checker as it
 * arrives, forwards bytes in both directions, and can hold, reset or fragment them. Thread-safe.
 */
final class FaultProxy {
    private static final int CHUNK_BYTES = 8_192;
    private static final int FRAGMENT_BYTES = 7;
    private static final long FRAGMENT_INTERVAL_MS = 1;
    private static final long POLL_INTERVAL_MS = 20;

    private final int proxy;
    private final FakeServer server;
    private final InvariantChecker checker;
    private final FaultPlanter planter;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final ServerSocket serverSocket;
    private volatile boolean partitioned;
    private volatile boolean fragmenting;

    /**
     * Starts to listen.
     *
     * @param faultProxyByServer the fault proxies of the same proxy, by the names of their servers
     */
    FaultProxy(int proxy, FakeServer server, InvariantChecker checker, PlantedFault planted,
               Function<String, FaultProxy> faultProxyByServer, long seed)
        throws IOException {
        this.proxy = proxy;
        this.server = server;
        this.checker = checker;
        planter = new FaultPlanter(planted, proxy, this, server, checker, faultProxyByServer, seed);
        serverSocket = TestThreads.listen("fault proxy", this::serve);
    }

    int port() {
        return serverSocket.getLocalPort();
    }

    /** Sets whether nothing passes, as in a network partition; connections are reset at its end. */
    void setPartitioned(boolean on) {
        partitioned = on;
        if (!on) {
            resetAll();
        }
    }

    /** Sets whether responses are forwarded in small pieces. */
    void setFragmenting(boolean on) {
        fragmenting = on;
    }

    /** Resets all connections. */
    void resetAll() {
        connections.forEach(Sockets::reset);
    }

    private void serve(Socket proxySide) throws IOException, InterruptedException {
        connections.add(proxySide);
        try {
            forwardRequests(proxySide);
        } finally {
            connections.remove(proxySide);
        }
    }

    /** Scans each chunk before anything else is done, because the time of an attempt counts. */
    private void forwardRequests(Socket proxySide) throws IOException, InterruptedException {
        AttemptScanner scanner = new AttemptScanner(
            (id, remainingMs) -> checker.onAttempt(proxy, server.name(), id, remainingMs));
        InputStream in = proxySide.getInputStream();
        Socket serverSide = null;
        Thread responses = null;
        byte[] chunk = new byte[CHUNK_BYTES];
        for (int length = in.read(chunk); length >= 0; length = in.read(chunk)) {
            byte[] bytes = planter.requestBytes(chunk, length);
            scanner.scan(bytes);
            awaitConnectivity();
            if (serverSide == null) {
                Socket connected = Sockets.connect(server.port());
                serverSide = connected;
                responses = TestThreads.start("fault proxy responses",
                    () -> forwardResponses(connected, proxySide));
            }
            serverSide.getOutputStream().write(bytes);
            planter.repeatRequest(bytes);
        }
        if (serverSide != null) {
            serverSide.shutdownOutput();
            responses.join();
            serverSide.close();
        }
    }

    private void awaitConnectivity() throws InterruptedException {
        while (partitioned) {
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }

    private void forwardResponses(Socket serverSide, Socket proxySide)
        throws IOException, InterruptedException {
        InputStream in = serverSide.getInputStream();
        OutputStream out = proxySide.getOutputStream();
        byte[] chunk = new byte[CHUNK_BYTES];
        for (int length = in.read(chunk); length >= 0; length = in.read(chunk)) {
            awaitConnectivity();
            planter.changeResponse(chunk, length);
            forward(out, chunk, length);
        }
        Sockets.close(proxySide);
    }

    private void forward(OutputStream out, byte[] chunk, int length)
        throws IOException, InterruptedException {
        int step = fragmenting ? FRAGMENT_BYTES : length;
        for (int start = 0; start < length; start += step) {
            out.write(chunk, start, Math.min(step, length - start));
            if (fragmenting) {
                Thread.sleep(FRAGMENT_INTERVAL_MS);
            }
        }
    }
}
