package spurroad.testbed.soak;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Plants a violation in the traffic of one {@link FaultProxy}, as a proxy with a defect would cause it. */
final class FaultPlanter {
    private static final long LATE_ATTEMPT_DELAY_MS = 600;
    private static final int EXTRA_TIME_MS = 1_000;
    /** The fraction of suitable messages that are affected. */
    private static final double PLANTED_FRACTION = 0.3;
    private static final long CLOSE_DELAY_MS = 20;
    private static final Pattern VALUE_LINE = Pattern.compile("VA ([1-9]\\d*) [^\\r]*\r\n");
    private static final Pattern REMAINING_TIME = Pattern.compile("([P,: ]d=)(\\d+)");

    private final PlantedFault planted;
    private final int proxy;
    private final FaultProxy faultProxy;
    private final FakeServer server;
    private final InvariantChecker checker;
    private final Function<String, FaultProxy> faultProxyByServer;
    private final Random random;

    /**
     * Creates the planter of one fault proxy.
     *
     * @param faultProxyByServer the fault proxies of the same proxy, by the names of their servers
     */
    FaultPlanter(PlantedFault planted, int proxy, FaultProxy faultProxy, FakeServer server,
                 InvariantChecker checker, Function<String, FaultProxy> faultProxyByServer, long seed) {
        this.planted = planted;
        this.proxy = proxy;
        this.faultProxy = faultProxy;
        this.server = server;
        this.checker = checker;
        this.faultProxyByServer = faultProxyByServer;
        random = new Random(seed);
    }

    /** Returns the bytes to forward to the server in place of those that arrived from the proxy. */
    byte[] requestBytes(byte[] chunk, int length) {
        byte[] bytes = Arrays.copyOf(chunk, length);
        return planted == PlantedFault.TOO_MUCH_TIME ? addRemainingTime(bytes, EXTRA_TIME_MS) : bytes;
    }

    /** Changes bytes that are about to be forwarded to the proxy. */
    void changeResponse(byte[] chunk, int length) {
        if (planted == PlantedFault.OTHER_VALUE && drawPlanted()) {
            changeValue(chunk, length);
        }
    }

    /** Sends bytes that were forwarded to the server again, elsewhere or later. */
    void repeatRequest(byte[] bytes) {
        String text = new String(bytes, StandardCharsets.ISO_8859_1);
        switch (planted) {
            case SECOND_RUN -> {
                if (text.startsWith("PUT ") && drawPlanted()) {
                    send(server.port(), bytes, 0);
                }
            }
            case LATE_ATTEMPT -> repeatForAbandoned(text, bytes);
            case SENT_TO_DRAINED -> repeatAt(checker.drainingServer(proxy), text, bytes);
            case SENT_TO_OUT_OF_USE -> repeatAt(checker.administrativelyDrainedServer(proxy), text, bytes);
            default -> {
                return;
            }
        }
    }

    private void repeatForAbandoned(String text, byte[] bytes) {
        String id = text.replaceFirst("(?s).*? O(\\S+).*", "$1");
        if (text.startsWith("mg ") && checker.willBeAbandoned(id)) {
            send(faultProxy.port(), addRemainingTime(bytes, -LATE_ATTEMPT_DELAY_MS), LATE_ATTEMPT_DELAY_MS);
        }
    }

    private void repeatAt(String prohibitedServer, String text, byte[] bytes) {
        FaultProxy other = prohibitedServer == null ? null : faultProxyByServer.apply(prohibitedServer);
        if (text.startsWith("mg ") && other != null && other != faultProxy) {
            send(other.port(), bytes, 0);
        }
    }

    private boolean drawPlanted() {
        synchronized (random) {
            return random.nextDouble() < PLANTED_FRACTION;
        }
    }

    /** Changes the last byte of a value, if the chunk starts with a value and holds all of it. */
    private static void changeValue(byte[] chunk, int length) {
        Matcher line = VALUE_LINE.matcher(new String(chunk, 0, length, StandardCharsets.ISO_8859_1));
        if (line.lookingAt()) {
            int end = line.end() + Integer.parseInt(line.group(1));
            if (end <= length) {
                chunk[end - 1] ^= 1;
            }
        }
    }

    /** Returns commands that state more remaining time, or less, but at least 1 ms. */
    private static byte[] addRemainingTime(byte[] commands, long extraMs) {
        String text = new String(commands, StandardCharsets.ISO_8859_1);
        return REMAINING_TIME.matcher(text)
            .replaceAll(time -> time.group(1) + Math.max(1, Long.parseLong(time.group(2)) + extraMs))
            .getBytes(StandardCharsets.ISO_8859_1);
    }

    private static void send(int port, byte[] bytes, long delayMs) {
        TestThreads.start("planted", () -> {
            Thread.sleep(delayMs);
            try (Socket socket = Sockets.connect(port)) {
                socket.getOutputStream().write(bytes);
                Thread.sleep(CLOSE_DELAY_MS);
            }
        });
    }
}
