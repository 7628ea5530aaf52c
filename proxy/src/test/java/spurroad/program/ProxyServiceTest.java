package spurroad.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static spurroad.program.RunningProxy.READ;
import static spurroad.program.RunningProxy.WATCH;
import static spurroad.program.RunningProxy.await;
import static spurroad.program.RunningProxy.ending;
import static spurroad.program.RunningProxy.heldUntil;
import static spurroad.program.RunningProxy.hit;
import static spurroad.program.RunningProxy.id;
import static spurroad.program.RunningProxy.ok;
import static spurroad.program.RunningProxy.proxy;
import static spurroad.program.RunningProxy.service;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.configuration.ProxyConfiguration;
import spurroad.fixture.ScriptedPeers;
import spurroad.fixture.ScriptedPeers.Client;
import spurroad.fixture.ScriptedPeers.Peer;

/** One proxy between scripted clients, cache nodes, an origin and discovery: requests and responses. */
public class ProxyServiceTest {
    @DataProvider
    Object[][] requests() {
        Function<String, String> miss = message -> "EN O" + id(message) + "\r\n";
        Function<String, String> origin = message -> ok("body");
        String write = "ms k 3 O1 Pc=put,t=acme,d=9000,k=5\r\na\nb\r\n";
        String longValue = "x".repeat(65536);
        return new Object[][] {{READ, hit("v"), origin, "VA 1 O1\r\nv\r\n"},
            {READ, hit(""), origin, "VA 0 O1\r\n\r\n"},
            {READ, hit(longValue), origin, "VA 65536 O1\r\n" + longValue + "\r\n"},
            {READ, miss, origin, "VA 4 O1\r\nbody\r\n"},
            {write, miss, origin, "HD O1 cbody\r\n"},
            {write.replace("3 O", "65536 O").replace("a\nb", longValue), miss, origin, "HD O1 cbody\r\n"},
            {write, miss, (Function<String, String>) message -> "", "SERVER_ERROR"},
            {READ, (Function<String, String>) message -> "VA 1 O9\r\nv\r\n", origin, "SERVER_ERROR busy"},
            {READ, (Function<String, String>) message -> "SERVER_ERROR failed\r\n", origin,
                "SERVER_ERROR busy"},
            {READ.replace("9000", "300"), (Function<String, String>) message -> null, origin,
                "SERVER_ERROR"}};
    }

    @Test(dataProvider = "requests")
    public void sendsOneResponsePerRequestWhateverEndpointsSend(String request, Function<String, String> node,
                                                                Function<String, String> origin,
                                                                String response)
        throws Exception {
        try (Peer cacheNode = new Peer(node);
            Peer originPeer = new Peer(origin);
            Client client = new Client(proxy(cacheNode, originPeer).port())) {
            client.say(request + "mn\r\n");
            byte[] received = new byte[response.length()];
            client.in.readFully(received, 0, received.length);
            assertEquals(new String(received), response);
            String next = client.line();
            assertEquals(response.endsWith("\n") ? next : client.line(), "MN",
                "bytes after the only expected response");
            if (request.startsWith("ms")) {
                String heard = originPeer.await("PUT /k HTTP/1.1");
                assertTrue(heard.contains("X-Request-Id: 1\n"), heard);
                Matcher list = Pattern.compile("\nX-Extras: c=put,t=acme,d=(\\d+),k=5\n").matcher(heard);
                assertTrue(list.find(), heard);
                long sentTimeMillis = Long.parseLong(list.group(1));
                assertTrue(sentTimeMillis >= 1 && sentTimeMillis < 9000,
                    "expected the remaining time, below the client's own timeout: " + sentTimeMillis);
                assertTrue(
                    heard.endsWith(
                        "\n" + request.substring(request.indexOf("\r\n") + 2, request.length() - 2)));
            }
        }
    }

    @DataProvider
    Object[][] invalidCommands() {
        return new Object[][] {{"get a\r\n", "ERROR", true},
            {READ.replace("c=read", "c=x"), "CLIENT_ERROR unknown class", true},
            {READ.replace("acme", "x"), "CLIENT_ERROR unknown tenant", true},
            {READ.replace("d=9000", "q=1"), "CLIENT_ERROR no time to wait", true},
            {READ.replace("mg k v", "ms k 0").replace("read", "put") + "\r\n",
                "CLIENT_ERROR no idempotency key", true},
            {"ms k x O1\r\n", "CLIENT_ERROR bad length", false},
            {"y".repeat(5000), "CLIENT_ERROR line too long", false}};
    }

    @Test(dataProvider = "invalidCommands")
    public void invalidInputReachesNoEndpointAndAffectsOnlyItsConnection(String command, String response,
                                                                         boolean staysOpen)
        throws Exception {
        try (Peer cacheNode = new Peer(hit("v")); Peer originPeer = new Peer(message -> ok(""))) {
            int port = proxy(cacheNode, originPeer).port();
            try (Client client = new Client(port); Client other = new Client(port)) {
                assertEquals(client.say(command).line(), response);
                assertEquals(staysOpen ? client.say("mn\r\n").line() : client.line(),
                    staysOpen ? "MN" : null);
                assertTrue(cacheNode.received.isEmpty());
                assertEquals(other.say(READ).line(), "VA 1 O1");
            }
        }
    }

    @Test
    public void sendsResponsesInRequestOrder() throws Exception {
        CountDownLatch second = new CountDownLatch(1);
        Function<String, String> rule = message -> {
            if (message.contains("O2")) {
                second.countDown();
            } else if (message.contains("O1")) {
                await(second);
            }
            return hit("v").apply(message);
        };
        try (Peer cacheNode = new Peer(rule);
            Peer originPeer = new Peer(message -> ok(""));
            Client client = new Client(proxy(cacheNode, originPeer).port())) {
            client.say(READ + READ.replace("O1", "O2") + "mn\r\n");
            assertEquals(List.of(client.line(), client.line(), client.line(), client.line(), client.line()),
                List.of("VA 1 O1", "v", "VA 1 O2", "v", "MN"));
        }
    }

    @Test
    public void cancelsAttemptWhenClientDisconnects() throws Exception {
        try (Peer cacheNode = new Peer(message -> null); Peer originPeer = new Peer(message -> ok(""))) {
            Client client = new Client(proxy(cacheNode, originPeer).port());
            client.say(READ);
            assertNotNull(cacheNode.await("mg k"));
            client.close();
            assertEquals(cacheNode.await("closed"), "closed");
        }
    }

    @Test
    public void forwardsKeysOfLostCacheNodeToAnother() throws Exception {
        Peer lost = new Peer(message -> null);
        lost.close();
        try (Peer cacheNode = new Peer(hit("v"))) {
            ProxyService proxyService = proxy(new Peer(message -> WATCH), 256,
                ScriptedPeers.target("s-1", "m1", lost.port, "active", 0),
                ScriptedPeers.target("s-2", "m1", cacheNode.port, "active", 0));
            try (Client client = new Client(proxyService.port())) {
                for (int i = 0; i < 20; i++) {
                    assertEquals(client.say(READ.replace("mg k", "mg k" + i)).line(), "VA 1 O1");
                    assertEquals(client.line(), "v");
                }
            }
        }
    }

    @Test
    public void shutdownAnswersTakenRequestsAndAcceptsNoMoreClients() throws Exception {
        CountDownLatch ending = new CountDownLatch(1);
        try (Peer cacheNode = new Peer(heldUntil(ending)); Peer originPeer = new Peer(message -> ok(""))) {
            ProxyService proxyService = proxy(cacheNode, originPeer);
            try (Client busy = new Client(proxyService.port());
                Client idle = new Client(proxyService.port())) {
                assertEquals(idle.say("mn\r\n").line(), "MN");
                busy.say(READ);
                cacheNode.await("mg k");
                Thread end = ending(proxyService);
                assertNull(idle.line(), "idle connection not closed");
                ending.countDown();
                assertEquals(busy.line(), "VA 1 O1");
                assertEquals(busy.line(), "v");
                assertNull(busy.line(), "connection not closed after the response");
                end.join();
                assertThrows(IOException.class, () -> new Client(proxyService.port()));
                String successorConfiguration = ScriptedPeers
                    .start(originPeer.port, 256, ScriptedPeers.list(1, true))
                    .replace("127.0.0.1:0\"", "127.0.0.1:" + proxyService.port() + "\"");
                try (Client next = new Client(
                    service(new ProxyConfiguration(successorConfiguration)).port())) {
                    assertEquals(next.say("mn\r\n").line(), "MN",
                        "a successor at the same address does not serve");
                }
            }
        }
    }

    @Test
    public void rejectsRequestIdInUseWithoutDisturbingItsRequest() throws Exception {
        CountDownLatch rejected = new CountDownLatch(1);
        try (Peer cacheNode = new Peer(heldUntil(rejected)); Peer originPeer = new Peer(message -> ok(""))) {
            ProxyService proxyService = proxy(cacheNode, originPeer);
            try (Client first = new Client(proxyService.port());
                Client other = new Client(proxyService.port())) {
                first.say(READ + READ);
                cacheNode.await("mg k");
                assertEquals(other.say(READ).line(), "CLIENT_ERROR request id in use");
                rejected.countDown();
                assertEquals(List.of(first.line(), first.line(), first.line()),
                    List.of("VA 1 O1", "v", "CLIENT_ERROR request id in use"));
                assertEquals(other.say(READ).line(), "VA 1 O1", "the id is free after the response");
            }
        }
    }

    /**
     * Guards against an error response that is lost when the proxy closes a connection with unread bytes
     * while the client is still sending.
     */
    @Test
    public void sendsErrorToClientThatIsStillSending() throws Exception {
        try (Peer cacheNode = new Peer(hit("v"));
            Peer originPeer = new Peer(message -> ok(""));
            Client client = new Client(proxy(cacheNode, originPeer).port())) {
            client.say("ms k 60000000 O1 Pc=put,t=acme,d=9000,k=5\r\n" + "x".repeat(200_000));
            assertEquals(client.line(), "CLIENT_ERROR bad length");
            assertNull(client.line());
        }
    }
}
