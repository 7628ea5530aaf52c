package spurroad.admin;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.transport.Clock;
import spurroad.transport.EventLog;
import spurroad.transport.Threads;

/** The admin server, including callers that send nothing, an incomplete request or malformed bytes. */
public class AdminServerTest {
    private static final int READ_TIMEOUT_MILLIS = 5_000;

    static AdminServer server() throws IOException {
        EventLog log = new EventLog();
        return new AdminServer(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), new Threads(log),
            log,
            new Clock());
    }

    static Socket connect(int port) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        return socket;
    }

    /** Sends a text and returns the whole response. */
    public static String call(int port, String text) throws IOException {
        try (Socket socket = connect(port)) {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    public static String call(int port, String method, String path) throws IOException {
        return call(port, method + " " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
    }

    static int status(String response) {
        return Integer.parseInt(response.split(" ")[1]);
    }

    private static AdminRoutes routes(Consumer<Consumer<Boolean>> drain) {
        return new AdminRoutes(() -> true,
            new StatsdExport().gauge("outstanding", () -> 3).counter("forwards", () -> 8),
            (id, drained, onApplied, onResult) -> drain.accept(onResult));
    }

    @DataProvider
    Object[][] requests() {
        String end = " HTTP/1.1\r\n\r\n";
        return new Object[][] {{"GET /healthcheck" + end, 200, "serving"},
            {"GET /stats" + end, 200, "proxy.outstanding:3|g\nproxy.forwards:8|c\n"},
            {"POST /cache-nodes/s-1/maint" + end, 200, "s-1 gets nothing new"},
            {"POST /cache-nodes/a%2Db/ready HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", 200,
                "a-b is used again"},
            {"POST /healthcheck" + end, 405, "expected GET"},
            {"GET /cache-nodes/s-1/maint" + end, 405, "expected POST"},
            {"GET /nothing" + end, 404, "/cache-nodes/ID/maint"},
            {"POST /cache-nodes/maint" + end, 400, "the id"},
            {"POST /cache-nodes//maint" + end, 400, "the id"},
            {"POST /cache-nodes/%zz/maint" + end, 400, "the id"},
            {"nonsense\r\n\r\n", 400, "METHOD /PATH"},
            {"GET /stats HTTP/1.1\r\nno colon\r\n\r\n", 400, "NAME: VALUE"},
            {"GET /stats HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400, "Content-Length"},
            {"GET /" + "y".repeat(5000), 431, "2048"},
            {"GET /stats HTTP/1.1\r\n" + "a: b\r\n".repeat(100), 400, "64 headers"},
            {"GET /stats" + end + "GET /stats" + end, 400, "one call"}};
    }

    @Test(dataProvider = "requests")
    public void respondsOrReportsWhatWasExpected(String text, int status, String expectedPart)
        throws Exception {
        try (AdminServer server = server()) {
            server.setRoutes(routes(onResult -> onResult.accept(true)));
            String response = call(server.port(), text);
            assertEquals(status(response), status, response);
            assertTrue(response.contains(expectedPart), response);
        }
    }

    @Test
    public void rejectsBeforeTheProxyServesAndForUnknownCacheNodes() throws Exception {
        try (AdminServer server = server()) {
            assertEquals(status(call(server.port(), "GET", "/healthcheck")), 503);
            server.setRoutes(routes(onResult -> onResult.accept(false)));
            assertEquals(status(call(server.port(), "POST", "/cache-nodes/x/maint")), 404);
        }
    }

    /** If this process has applied a drain that others have not confirmed, the rejection says so. */
    @Test
    public void reportsLocalStateIfDrainIsNotConfirmed() throws Exception {
        try (AdminServer server = server()) {
            server.setRoutes(new AdminRoutes(() -> true, new StatsdExport(),
                (id, drained, onApplied, onResult) -> onApplied.run()));
            String drain = call(server.port(), "POST", "/cache-nodes/s-1/maint");
            assertEquals(status(drain), 503);
            assertTrue(drain.contains("s-1 gets nothing new from this process, but that is not written"),
                drain);
            String undrain = call(server.port(), "POST", "/cache-nodes/s-1/ready");
            assertEquals(status(undrain), 503);
            assertTrue(undrain.contains("s-1 is used again by this process, but"), undrain);
        }
    }

    @Test
    public void respondsWithinOneSecondIfDrainIsNotConfirmed() throws Exception {
        try (AdminServer server = server()) {
            server.setRoutes(routes(onResult -> {}));
            long startNanos = System.nanoTime();
            assertEquals(status(call(server.port(), "POST", "/cache-nodes/x/maint")), 503);
            assertTrue(System.nanoTime() - startNanos < 1_000_000_000L);
        }
    }

    @Test
    public void respondsDespiteConnectionsWithIncompleteRequests() throws Exception {
        try (AdminServer server = server()) {
            server.setRoutes(routes(onResult -> onResult.accept(true)));
            List<Socket> idleSockets = new ArrayList<>();
            for (int i = 0; i < 100; i++) {
                idleSockets.add(connect(server.port()));
                if (i % 2 == 0) {
                    idleSockets.get(i).getOutputStream().write("GET /sta".getBytes());
                }
            }
            long startNanos = System.nanoTime();
            assertEquals(status(call(server.port(), "GET", "/stats")), 200);
            assertTrue(System.nanoTime() - startNanos < 1_000_000_000L, "response took too long");
            for (Socket socket : idleSockets) {
                assertEquals(socket.getInputStream().read(), -1, "connection is closed");
                socket.close();
            }
        }
    }
}
