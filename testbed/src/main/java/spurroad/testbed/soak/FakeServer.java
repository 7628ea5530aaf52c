package spurroad.testbed.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A cache node or the origin, with injectable faults. A cache node answers a read with a value that names the
 * request, or with a miss. The origin executes writes, and recognizes repeats by their idempotency keys.
 * Thread-safe.
 */
final class FakeServer {
    /** How the server behaves. */
    enum Mode {
        HEALTHY, SILENT, SLOW, FAILING, BUSY, RESETTING, MALFORMED
    }

    /** For how long the origin recognizes a repeated write; the proxies' settings state it. */
    static final long DEDUPLICATION_WINDOW_MS = 4_000;
    static final String ORIGIN = "origin";
    /** Reads of keys with this prefix get a value of nearly the longest ordinary length. */
    static final String LARGE_KEY_PREFIX = "large";

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final double HIT_FRACTION = 0.8;
    private static final String LARGE_VALUE = "x".repeat(64_000);
    private static final long SERVICE_TIME_MS = 2;
    private static final int MAX_SLOW_SERVICE_TIME_MS = 400;
    /** The fraction of requests that run at a server whose responses are lost or wrong. */
    private static final double FAULTY_EXECUTION_FRACTION = 0.5;
    private static final Pattern META_COMMAND = Pattern.compile("(m[gs]) (\\S+) (\\S+) O(\\S+) P(\\S+)");
    private static final Pattern IDEMPOTENCY_KEY = Pattern.compile("(?:^|,)k=([^,]+)");
    private static final String[] MALFORMED_RESPONSES = {" \r\n", "VA 3 Oother\r\nabc\r\n", "VA x O\r\n",
        "HD\r\n",
        "VA 99999999 O\r\n", "\u0000\u0001\r\n", "VA 8 O", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "SERVER_ERROR", "STAT\r\n"};

    /** The responses to one request in the server's protocol. */
    private record Responses(String success, String failure, String busy) {}

    /** One request as the server received it; the fields are the name-value list of the proxy. */
    private record Execution(String id, String fields) {}

    private final String name;
    private final InvariantChecker checker;
    private final ServerSocket serverSocket;
    private final Map<String, Long> executedAtNanosByIdempotencyKey = new ConcurrentHashMap<>();
    private final Random random;
    private volatile Mode mode = Mode.HEALTHY;
    private volatile boolean down;

    FakeServer(String name, InvariantChecker checker, long seed) throws IOException {
        this.name = name;
        this.checker = checker;
        random = new Random(seed);
        serverSocket = TestThreads.listen(name, this::serve);
    }

    int port() {
        return serverSocket.getLocalPort();
    }

    String name() {
        return name;
    }

    void setMode(Mode newMode) {
        mode = newMode;
    }

    /** Sets whether the server is down, and resets connections. */
    void setDown(boolean on) {
        down = on;
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        for (String line = Sockets.readLine(in); line != null; line = Sockets.readLine(in)) {
            if (down) {
                Sockets.reset(socket);
                return;
            }
            Matcher command = META_COMMAND.matcher(line);
            if (line.equals("stats load")) {
                respondToProbe(out, "STAT inflight 1\r\nEND\r\n");
            } else if (command.matches()) {
                serveMeta(socket, in, command);
            } else if (line.startsWith("GET ") || line.startsWith("PUT ")) {
                serveHttp(socket, in, line);
            } else {
                Sockets.write(out, "CLIENT_ERROR what is " + line + "\r\n");
                return;
            }
        }
    }

    /** Responds to a health check or load probe, unless a fault other than slowness keeps it from that. */
    private void respondToProbe(OutputStream out, String response) throws IOException {
        if (mode == Mode.HEALTHY || mode == Mode.SLOW) {
            Sockets.write(out, response);
        }
    }

    private void serveMeta(Socket socket, InputStream in, Matcher command)
        throws IOException, InterruptedException {
        boolean isWrite = command.group(1).equals("ms");
        if (isWrite) {
            in.readNBytes(Integer.parseInt(command.group(3)) + 2);
        }
        String id = command.group(4);
        String success = isWrite ? "HD O" + id + " cr" + id + "\r\n" : readResponse(command.group(2), id);
        Responses responses = new Responses(success, "SERVER_ERROR failed\r\n", "SERVER_ERROR busy\r\n");
        respond(socket, responses, new Execution(id, command.group(5)));
    }

    private String readResponse(String key, String id) {
        if (nextDouble() >= HIT_FRACTION) {
            return "EN O" + id + "\r\n";
        }
        String value = key.startsWith(LARGE_KEY_PREFIX) ? LARGE_VALUE : "v" + id;
        return "VA " + value.length() + " O" + id + "\r\n" + value + "\r\n";
    }

    private void serveHttp(Socket socket, InputStream in, String requestLine)
        throws IOException, InterruptedException {
        String id = "";
        String fields = "";
        int length = 0;
        String line = Sockets.readLine(in);
        while (line != null && !line.isEmpty()) {
            if (line.startsWith(HttpHeaders.REQUEST_ID)) {
                id = line.substring(HttpHeaders.REQUEST_ID.length());
            } else if (line.startsWith(HttpHeaders.FIELDS)) {
                fields = line.substring(HttpHeaders.FIELDS.length());
            } else if (line.startsWith(HttpHeaders.CONTENT_LENGTH)) {
                length = Integer.parseInt(line.substring(HttpHeaders.CONTENT_LENGTH.length()));
            }
            line = Sockets.readLine(in);
        }
        in.readNBytes(length);
        if (id.isEmpty()) { // a health check or load probe
            respondToProbe(socket.getOutputStream(), "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        String body = (requestLine.startsWith("GET") ? "v" : "r") + id;
        Responses responses = new Responses(
            "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body,
            "HTTP/1.1 500 no\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 503 no\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
        respond(socket, responses, new Execution(id, fields));
    }

    private void respond(Socket socket, Responses responses, Execution execution)
        throws IOException, InterruptedException {
        Mode current = mode;
        OutputStream out = socket.getOutputStream();
        switch (current) {
            case HEALTHY, SLOW -> {
                execute(execution);
                Thread.sleep(current == Mode.SLOW ? (long) (nextDouble() * MAX_SLOW_SERVICE_TIME_MS)
                    : SERVICE_TIME_MS);
                Sockets.write(out, responses.success);
            }
            case BUSY -> Sockets.write(out, responses.busy);
            case SILENT -> executeSometimes(execution);
            case RESETTING -> {
                executeSometimes(execution);
                Sockets.reset(socket);
            }
            case FAILING -> {
                executeSometimes(execution);
                Sockets.write(out, responses.failure);
            }
            case MALFORMED -> {
                executeSometimes(execution);
                int choice = (int) (nextDouble() * MALFORMED_RESPONSES.length);
                Sockets.write(out, MALFORMED_RESPONSES[choice]);
            }
        }
    }

    private void executeSometimes(Execution execution) {
        if (nextDouble() < FAULTY_EXECUTION_FRACTION) {
            execute(execution);
        }
    }

    private void execute(Execution execution) {
        Matcher key = IDEMPOTENCY_KEY.matcher(execution.fields);
        boolean isRepeat = key.find() && isRepeat(key.group(1));
        checker.onExecution(execution.id, !isRepeat);
    }

    private boolean isRepeat(String idempotencyKey) {
        long now = System.nanoTime();
        Long first = executedAtNanosByIdempotencyKey.putIfAbsent(idempotencyKey, now);
        return first != null && now - first <= DEDUPLICATION_WINDOW_MS * NANOS_PER_MILLI;
    }

    private double nextDouble() {
        synchronized (random) {
            return random.nextDouble();
        }
    }
}
