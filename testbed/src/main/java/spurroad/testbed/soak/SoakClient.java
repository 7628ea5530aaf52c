package spurroad.testbed.soak;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import spurroad.testbed.soak.SoakRequest.End;

/**
 * One client of a proxy: it sends one request after the other, sometimes in a way that clients should not,
 * and reports to the checker what it gets. Its behavior is drawn from its own seed. Used by one thread.
 */
final class SoakClient {
    private static final double NEW_CONNECTION_FRACTION = 0.15;
    private static final int MEAN_PAUSE_MS = 25;
    private static final int MAX_PIPELINED = 6;
    private static final int MAX_DISCONNECT_DELAY_MS = 60;
    private static final int MAX_WRITE_PAUSE_MS = 400;
    private static final int MAX_CONNECT_ONLY_MS = 400;
    private static final int MAX_IDLE_MS = 1_500;
    private static final int ERROR_TIMEOUT_MS = 2_000;
    /** The proxy must close a connection with half a command within this time. */
    private static final int HALF_COMMAND_TIMEOUT_MS = 3_200;
    private static final int FLOOD_BYTES = 400_000;
    private static final double LATE_CLOSE_FRACTION = 0.02;
    private static final long LATE_CLOSE_MS = 100;

    private final String name;
    private final boolean keepsConnection;
    private final PlantedFault planted;
    private final InvariantChecker checker;
    private final Random random;
    private final SoakConnection connection;
    private final SoakRequestFactory requests;
    private final ResponseReader responses;

    /**
     * Creates a client that is not connected.
     *
     * @param keepsConnection whether it only sends requests, one at a time, on one connection until the proxy
     *     ends that, and looks for an end right before each request
     */
    SoakClient(ProxyHost proxy, String name, boolean keepsConnection, InvariantChecker checker,
               SoakSettings settings, long seed) {
        this.name = name;
        this.keepsConnection = keepsConnection;
        planted = settings.planted();
        this.checker = checker;
        random = new Random(seed);
        connection = new SoakConnection(proxy.port());
        requests = new SoakRequestFactory(proxy.number, name, random);
        responses = new ResponseReader(connection, checker, settings.planted(), requests, random);
    }

    /** Sends requests until a time of {@link System#nanoTime}. */
    void run(long endNanos) throws InterruptedException {
        while (System.nanoTime() < endNanos) {
            try {
                if (keepsConnection) {
                    sendOnKeptConnection();
                } else {
                    if (!connection.isOpen() || random.nextDouble() < NEW_CONNECTION_FRACTION) {
                        connection.connect();
                    }
                    perform(ClientBehavior.draw(random));
                }
            } catch (IOException e) {
                connection.close(); // the end of the request, if there was one, has been reported
                Thread.sleep(MEAN_PAUSE_MS);
            }
            Thread.sleep(random.nextInt(2 * MEAN_PAUSE_MS));
        }
        connection.close();
    }

    private void sendOnKeptConnection() throws IOException, InterruptedException {
        if (!connection.isOpen()) {
            connection.connect();
        }
        SoakRequest request = nextRequest(false);
        if (connection.hasEnded()) {
            connection.close(); // the request is never sent
        } else if (planted == PlantedFault.LATE_CLOSE && random.nextDouble() < LATE_CLOSE_FRACTION) {
            closeLate(request);
        } else {
            exchange(List.of(request));
        }
    }

    /** Plants a close over a request that never reaches the proxy. */
    private void closeLate(SoakRequest request) throws InterruptedException {
        checker.onSent(request);
        Thread.sleep(LATE_CLOSE_MS);
        checker.onEnd(request, End.DISCONNECTED, "planted", 0);
        connection.close();
    }

    private void perform(ClientBehavior behavior) throws IOException, InterruptedException {
        switch (behavior) {
            case SINGLE -> exchange(List.of(nextRequest(false)));
            case PIPELINED -> exchangePipelined();
            case DISCONNECTS -> disconnectEarly();
            case WRITES_SLOWLY -> writeSlowly();
            case HALF_COMMAND -> sendHalfCommand();
            case FLOODS -> flood();
            case INVALID_COMMAND -> sendInvalidCommand();
            case IDLES -> Thread.sleep(random.nextInt(MAX_IDLE_MS));
            case CONNECTS_ONLY -> {
                connection.connect();
                Thread.sleep(random.nextInt(MAX_CONNECT_ONLY_MS));
            }
        }
    }

    private SoakRequest nextRequest(boolean willBeAbandoned) {
        SoakRequest request = requests.next(connection, willBeAbandoned);
        checker.onSending(request);
        return request;
    }

    /** Sends requests at once, and reads their responses. */
    private void exchange(List<SoakRequest> pipelined) throws IOException {
        StringBuilder commands = new StringBuilder();
        pipelined.forEach(request -> commands.append(request.command()));
        send(pipelined, commands.toString());
        responses.readAll(pipelined);
    }

    private void send(List<SoakRequest> pipelined, String text) throws IOException {
        boolean hasEnded = connection.hasEnded(); // observed only: most clients don't look before they send
        pipelined.forEach(request -> checker.onLook(request, hasEnded));
        try {
            connection.write(text);
        } catch (IOException e) {
            pipelined.forEach(request -> checker.onEnd(request, End.DISCONNECTED, "during the write", 0));
            throw e;
        }
        pipelined.forEach(checker::onSent);
    }

    private void exchangePipelined() throws IOException {
        int count = 2 + random.nextInt(MAX_PIPELINED - 1);
        List<SoakRequest> pipelined = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            pipelined.add(nextRequest(false));
        }
        exchange(pipelined);
    }

    private void disconnectEarly() throws IOException, InterruptedException {
        SoakRequest request = nextRequest(true);
        send(List.of(request), request.command());
        Thread.sleep(random.nextInt(MAX_DISCONNECT_DELAY_MS));
        if (random.nextBoolean()) {
            connection.reset();
        } else {
            connection.close();
        }
        checker.onAbandoned(request);
    }

    private void writeSlowly() throws IOException, InterruptedException {
        SoakRequest request = nextRequest(false);
        String command = request.command();
        int cut = 1 + random.nextInt(command.length() - 1);
        try {
            connection.write(command.substring(0, cut));
            Thread.sleep(random.nextInt(MAX_WRITE_PAUSE_MS));
            connection.write(command.substring(cut));
        } catch (IOException e) {
            checker.onEnd(request, End.OPEN, "during the write", 0); // no answer is owed to half a command
            throw e;
        }
        checker.onSent(request);
        responses.readAll(List.of(request));
    }

    /** Sends a complete request and half of another, and waits for the proxy to close the connection. */
    private void sendHalfCommand() throws IOException {
        SoakRequest request = nextRequest(false);
        String half = "mg k v O" + name + "half Pc=read,t=ac";
        send(List.of(request), request.command() + half);
        responses.readAll(List.of(request));
        connection.setReadTimeout(HALF_COMMAND_TIMEOUT_MS);
        try {
            while (connection.readLine() != null) {
                continue;
            }
        } catch (SocketTimeoutException e) {
            checker.addViolation(Invariant.ANSWERED, "half a command is left open: " + request);
        }
        throw new IOException("the proxy has closed the connection");
    }

    private void flood() throws IOException {
        SoakRequest request = nextRequest(false);
        send(List.of(request), request.command());
        connection.writeInBackground("x".repeat(FLOOD_BYTES));
        responses.readAll(List.of(request));
        connection.close();
        throw new IOException("the client has closed the connection");
    }

    private void sendInvalidCommand() throws IOException {
        connection.write("what now\r\n");
        connection.setReadTimeout(ERROR_TIMEOUT_MS);
        connection.readLine();
        connection.markUsed();
    }
}
