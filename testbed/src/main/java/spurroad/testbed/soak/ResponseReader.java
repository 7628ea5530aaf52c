package spurroad.testbed.soak;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.Random;
import spurroad.testbed.soak.SoakRequest.Effect;
import spurroad.testbed.soak.SoakRequest.End;

/** Reads the responses to the requests of one client, and reports them to the checker. Not thread-safe. */
final class ResponseReader {
    /** A request times out this much later than its own timeout. */
    private static final int TIMEOUT_SLACK_MS = 2_500;
    private static final double PLANTED_FRACTION = 0.02;
    private static final String PLANTED = "planted";
    private static final String VALUE = "VA ";
    private static final String RECEIPT = "HD ";
    private static final String BUSY = "SERVER_ERROR busy";

    private final SoakConnection connection;
    private final InvariantChecker checker;
    private final PlantedFault planted;
    private final SoakRequestFactory requests;
    private final Random random;

    ResponseReader(SoakConnection connection, InvariantChecker checker, PlantedFault planted,
                   SoakRequestFactory requests, Random random) {
        this.connection = connection;
        this.checker = checker;
        this.planted = planted;
        this.requests = requests;
        this.random = random;
    }

    /**
     * Reads the responses to pipelined requests in order.
     *
     * @throws IOException if the connection can't be used any more
     */
    void readAll(List<SoakRequest> pipelined) throws IOException {
        long precedingAnsweredAtNanos = 0;
        boolean allOwn = true;
        for (int i = 0; i < pipelined.size(); i++) {
            try {
                allOwn &= read(pipelined.get(i), precedingAnsweredAtNanos);
                precedingAnsweredAtNanos = System.nanoTime();
            } catch (IOException e) {
                for (SoakRequest behind : pipelined.subList(i + 1, pipelined.size())) {
                    checker.onEnd(behind, End.DISCONNECTED, "behind another", precedingAnsweredAtNanos);
                }
                throw e;
            }
        }
        if (!allOwn) {
            throw new IOException("a response that belongs to another request");
        }
    }

    /** Reads one response; returns whether it belongs to the request. */
    private boolean read(SoakRequest request, long precedingAnsweredAtNanos) throws IOException {
        String line;
        String value = null;
        try {
            connection.setReadTimeout((int) request.timeoutMs + TIMEOUT_SLACK_MS);
            line = connection.readLine();
            if (line != null && line.startsWith(VALUE)) {
                value = connection.readLine();
            }
        } catch (SocketTimeoutException e) {
            checker.onEnd(request, End.TIMED_OUT, "", precedingAnsweredAtNanos);
            throw e;
        } catch (IOException e) {
            checker.onEnd(request, End.DISCONNECTED, e.getMessage(), precedingAnsweredAtNanos);
            throw e;
        }
        if (line == null || line.startsWith(VALUE) && value == null) {
            checker.onEnd(request, End.DISCONNECTED, line == null ? "closed" : line,
                precedingAnsweredAtNanos);
            throw new IOException("the proxy has closed the connection");
        }
        connection.markUsed();
        return interpret(request, line, value, precedingAnsweredAtNanos);
    }

    private boolean interpret(SoakRequest request, String line, String value,
                              long precedingAnsweredAtNanos) {
        if (planted == PlantedFault.LOST_ANSWER && random.nextDouble() < PLANTED_FRACTION) {
            checker.onEnd(request, End.TIMED_OUT, PLANTED, precedingAnsweredAtNanos);
            return true;
        }
        if (isPlantedRejection(request, line)) {
            checker.onEnd(request, End.REJECTED, PLANTED, precedingAnsweredAtNanos);
            return true;
        }
        checker.onEnd(request, end(line), line, precedingAnsweredAtNanos);
        if (line.startsWith(BUSY)) {
            if (request.effect == Effect.UNSAFE_WRITE) {
                requests.retryRejectedWrite(request.key);
            }
            return true;
        }
        boolean own = isOwn(request, line, value);
        if (!own) {
            checker.onWrongValue(request, value == null ? line : line + " " + value);
        }
        return own;
    }

    private boolean isPlantedRejection(SoakRequest request, String line) {
        return planted == PlantedFault.FALSE_REFUSAL && request.effect == Effect.UNSAFE_WRITE
            && line.startsWith(RECEIPT);
    }

    private static End end(String line) {
        if (line.startsWith(BUSY)) {
            return End.REJECTED;
        }
        return line.startsWith(VALUE) || line.startsWith(RECEIPT) ? End.SERVED : End.FAILED;
    }

    private static boolean isOwn(SoakRequest request, String line, String value) {
        if (line.startsWith(VALUE)) {
            return line.equals(VALUE + value.length() + " O" + request.id) && value.equals("v" + request.id);
        }
        if (line.startsWith(RECEIPT)) {
            return line.startsWith(RECEIPT + "O" + request.id + " c");
        }
        return line.startsWith("SERVER_ERROR") || line.startsWith("CLIENT_ERROR");
    }
}
