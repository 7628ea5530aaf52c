package spurroad.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.configuration.ProxyConfiguration;
import spurroad.fixture.ScriptedPeers;
import spurroad.fixture.ScriptedPeers.Client;
import spurroad.fixture.ScriptedPeers.Peer;
import spurroad.program.ProxyService;
import spurroad.transport.Clock;
import spurroad.transport.EventLog;
import spurroad.transport.Threads;

/** Checks the exact response lines that clients get from complete proxies. */
public class ClientAnswersFormTest {
    private static final String WATCH = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String NOT_RUN = "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    private static final String FAILED = "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n";
    private static final String SERVED = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
    private static final String NO_LOAD = "STAT inflight 0\r\nEND\r\n";
    private static final String ONCE_CLASS_SETTINGS = "\"tracks\":[{\"name\":\"once\",\"effect\":\"fragile\","
        + "\"sloTimeUs\":8000000,\"importance\":1},";
    private static final int LONG_VALUE_BYTES = 65_537;
    private static final int FEW_DESCRIPTORS = 70;
    /**
     * More than the client connections that those descriptors allow: includes some guests, which are only
     * rejected.
     */
    private static final int MORE_THAN_CONNECTION_LIMIT = 24;
    private static final int TOO_LONG_LINE_BYTES = 2_050;
    /** Longer than the timeout for an incomplete command, shorter than the timeout of a request. */
    private static final long SLOW_RESPONSE_MILLIS = 3_000;

    private final List<AutoCloseable> resources = new ArrayList<>();
    private Peer cacheNode;
    /** One proxy that sends Retry-After, and one whose settings do not allow it. */
    private ProxyService proxy;
    private ProxyService proxyWithoutRetryAfter;

    @BeforeClass
    public void start() throws Exception {
        cacheNode = closeAfterTests(new Peer(ClientAnswersFormTest::cacheNodeResponse));
        Peer origin = closeAfterTests(new Peer(ClientAnswersFormTest::originResponse));
        Peer discovery = closeAfterTests(new Peer(message -> WATCH));
        String settings = ScriptedPeers.start(discovery.port, 256,
            ScriptedPeers.list(1, true, ScriptedPeers.target("s-1", "m1", cacheNode.port, "active", 0),
                ScriptedPeers.target("s-o", "origin", origin.port, "active", 0)))
            .replace("\"tracks\":[", ONCE_CLASS_SETTINGS);
        proxy = service(settings);
        proxyWithoutRetryAfter = service(withoutRetryAfter(settings));
    }

    private <T extends AutoCloseable> T closeAfterTests(T resource) {
        resources.add(resource);
        return resource;
    }

    private static String withoutRetryAfter(String settings) {
        return settings.replace("\"retryAfter\":true", "\"retryAfter\":false");
    }

    private static ProxyService service(String settings) throws Exception {
        EventLog log = new EventLog();
        return new ProxyService(new ProxyConfiguration(settings), new Threads(log), log, new Clock(), null);
    }

    @AfterClass(alwaysRun = true)
    public void end() throws Exception {
        proxy.end();
        proxyWithoutRetryAfter.end();
        for (AutoCloseable resource : resources) {
            resource.close();
        }
    }

    /**
     * Simulates a cache node that lacks all keys but one, which it returns slowly, and does not respond for
     * another.
     */
    private static String cacheNodeResponse(String message) {
        if (message.startsWith("stats")) {
            return NO_LOAD;
        }
        String id = message.replaceFirst("(?s).*? O(\\S+).*", "$1");
        if (message.startsWith("mg slow ")) {
            pause();
            return "VA 1 O" + id + "\r\nv\r\n";
        }
        return message.startsWith("mg silent ") ? null : "EN O" + id + "\r\n";
    }

    private static String originResponse(String message) {
        return message.contains(" /failed ") ? FAILED : message.contains(" /busy ") ? NOT_RUN : SERVED;
    }

    private static void pause() {
        try {
            Thread.sleep(SLOW_RESPONSE_MILLIS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    // ---- dialogues

    /** Input of a client, and the expected response lines. */
    @DataProvider
    Object[][] dialogues() {
        return new Object[][] {{"mn\r\n", List.of("MN")},
            {"mg a v O1 Pc=read,t=acme,d=9000\r\n", List.of("VA 4 O1", "body")},
            {"mg a v O1 Pc=read,d=9000\r\n", List.of("VA 4 O1", "body")},
            {"ms a 1 O1 Pc=put,t=acme,d=9000,k=5\r\nx\r\n", List.of("HD O1 cbody")},
            {"nonsense\r\nmn\r\n", List.of("ERROR", "MN")},
            {"mg a v O1 Pc=read\r\nmn\r\n", List.of("CLIENT_ERROR no time to wait", "MN")},
            {"mg a v O1 Pc=other,t=acme,d=9000\r\nmn\r\n", List.of("CLIENT_ERROR unknown class", "MN")},
            {"mg a v O1 Pt=acme,d=9000\r\nmn\r\n", List.of("CLIENT_ERROR unknown class", "MN")},
            {"mg a v O1 Pc=read,t=other,d=9000\r\nmn\r\n", List.of("CLIENT_ERROR unknown tenant", "MN")},
            {"ms a 1 O1 Pc=put,t=acme,d=9000\r\nx\r\nmn\r\n",
                List.of("CLIENT_ERROR no idempotency key", "MN")},
            {"ms failed 1 O1 Pc=once,t=acme,d=9000\r\nx\r\nmn\r\n", List.of("SERVER_ERROR failed", "MN")}};
    }

    @Test(dataProvider = "dialogues")
    public void returnsExpectedLines(String sent, List<String> lines) throws IOException {
        try (Client client = new Client(proxy.port())) {
            client.say(sent);
            for (String line : lines) {
                assertEquals(client.line(), line);
            }
        }
    }

    /**
     * Malformed input whose end can't be found: the client gets one error line, then the connection is
     * closed.
     */
    @DataProvider
    Object[][] malformedInputs() {
        return new Object[][] {{"x".repeat(TOO_LONG_LINE_BYTES) + "\r\n", "CLIENT_ERROR line too long"},
            {"ms a x O1 Pc=put,d=9000\r\n", "CLIENT_ERROR bad length"},
            {"ms a 1 O1 Pc=put,d=9000\r\nxyz", "CLIENT_ERROR bad data chunk"},
            {"ms a " + LONG_VALUE_BYTES + " O1 Pc=put,t=acme,d=9000,k=5\r\n" + "x".repeat(LONG_VALUE_BYTES)
                + "yz",
                "CLIENT_ERROR bad data chunk"},
            {"ms a " + LONG_VALUE_BYTES + " O1 Pc=put,t=acme,k=5\r\n", "CLIENT_ERROR no time to wait"}};
    }

    @Test(dataProvider = "malformedInputs")
    public void closesConnectionAfterMalformedInput(String sent, String line) throws IOException {
        try (Client client = new Client(proxy.port())) {
            client.say(sent);
            assertEquals(client.line(), line);
            assertNull(client.line());
        }
    }

    @Test
    public void rejectsRequestIdInUse() throws Exception {
        String request = "mg silent v O7 Pc=read,t=acme,d=2000\r\n";
        // not the proxy of the other tests: it may eject a node that does not respond
        int port = proxyWithoutRetryAfter.port();
        try (Client first = new Client(port); Client second = new Client(port)) {
            first.say(request);
            assertNotNull(cacheNode.await("mg silent "));
            assertEquals(second.say(request).line(), "CLIENT_ERROR request id in use");
        }
    }

    @Test
    public void reportsIncompleteCommandAfterPendingRequest() throws IOException {
        try (Client client = new Client(proxy.port())) {
            client.say("mg slow v O8 Pc=read,t=acme,d=9000\r\nmg half v O9 Pc=re");
            assertEquals(client.line(), "VA 1 O8");
            assertEquals(client.line(), "v");
            assertEquals(client.line(), "CLIENT_ERROR command not finished in time");
            assertNull(client.line());
        }
    }

    /** The request was not executed; Retry-After is sent only if the settings allow it. */
    @Test
    public void sendsRetryAfterOnlyIfAllowed() throws IOException {
        String request = "ms busy 1 O1 Pc=put,t=acme,d=9000,k=5\r\nx\r\n";
        try (Client client = new Client(proxy.port());
            Client other = new Client(proxyWithoutRetryAfter.port())) {
            String line = client.say(request).line();
            assertTrue(line.matches("SERVER_ERROR busy [1-9][0-9]{0,3}"), line);
            assertEquals(other.say(request).line(), "SERVER_ERROR busy");
        }
    }

    /** A guest receives a Retry-After time, and its connection is closed. */
    @Test
    public void rejectsAndClosesGuest() throws Exception {
        ProxyService small = service(ScriptedPeers.start(1, FEW_DESCRIPTORS, ScriptedPeers.list(1, true)));
        List<Client> busy = new ArrayList<>();
        for (int i = 0; i < MORE_THAN_CONNECTION_LIMIT; i++) {
            Client client = new Client(small.port());
            busy.add(client);
            // an incomplete command keeps the connection from being idle
            assertEquals(client.say("mn\r\nmg k").line(), "MN");
        }
        try (Client next = new Client(small.port())) {
            assertEquals(next.say("mg a v O1 Pc=read,t=acme,d=9000\r\n").line(), "SERVER_ERROR busy 2000");
            assertNull(next.line());
        }
        for (Client client : busy) {
            client.close();
        }
        small.end();
    }

    /** A process that shuts down answers the requests in flight before it may be killed. */
    @Test
    public void failsPendingRequestAtShutdown() throws Exception {
        Peer node = closeAfterTests(new Peer(message -> message.startsWith("stats") ? NO_LOAD : null));
        ProxyService ending = service(ScriptedPeers.start(1, 256,
            ScriptedPeers.list(1, true, ScriptedPeers.target("s-1", "m1", node.port, "active", 0))));
        try (Client client = new Client(ending.port())) {
            client.say("mg silent v O1 Pc=read,t=acme,d=9000\r\n");
            assertNotNull(node.await("mg silent "));
            ending.end();
            assertEquals(client.line(), "SERVER_ERROR failed");
        }
    }
}
