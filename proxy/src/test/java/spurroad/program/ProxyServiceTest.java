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
    Object[][] queries() {
        Function<String, String> miss = m -> "EN O" + id(m) + "\r\n";
        Function<String, String> origin = m -> ok("body");
        String write = "ms k 3 O1 Pc=put,t=acme,d=9000,k=5\r\na\nb\r\n";
        String big = "x".repeat(65536);
        return new Object[][] {{READ, hit("v"), origin, "VA 1 O1\r\nv\r\n"},
            {READ, hit(""), origin, "VA 0 O1\r\n\r\n"},
            {READ, hit(big), origin, "VA 65536 O1\r\n" + big + "\r\n"},
            {READ, miss, origin, "VA 4 O1\r\nbody\r\n"},
            {write, miss, origin, "HD O1 cbody\r\n"},
            {write.replace("3 O", "65536 O").replace("a\nb", big), miss, origin, "HD O1 cbody\r\n"},
            {write, miss, (Function<String, String>) m -> "", "SERVER_ERROR"},
            {READ, (Function<String, String>) m -> "VA 1 O9\r\nv\r\n", origin, "SERVER_ERROR busy"},
            {READ, (Function<String, String>) m -> "SERVER_ERROR failed\r\n", origin, "SERVER_ERROR busy"},
            {READ.replace("9000", "300"), (Function<String, String>) m -> null, origin, "SERVER_ERROR"}};
    }

    @Test(dataProvider = "queries")
    public void aRequestHasOneResponseWhateverItsEndpointsSend(String query, Function<String, String> node,
                                                               Function<String, String> origin, String answer)
        throws Exception {
        try (Peer n = new Peer(node); Peer o = new Peer(origin); Client c = new Client(proxy(n, o).port())) {
            c.say(query + "mn\r\n");
            byte[] got = new byte[answer.length()];
            c.in.readFully(got, 0, got.length);
            assertEquals(new String(got), answer);
            String next = c.line();
            assertEquals(answer.endsWith("\n") ? next : c.line(), "MN",
                "bytes after the only expected response");
            if (query.startsWith("ms")) {
                String heard = o.await("PUT /k HTTP/1.1");
                assertTrue(heard.contains("X-Request-Id: 1\n"), heard);
                Matcher list = Pattern.compile("\nX-Extras: c=put,t=acme,d=(\\d+),k=5\n").matcher(heard);
                assertTrue(list.find(), heard);
                long toldMs = Long.parseLong(list.group(1));
                assertTrue(toldMs >= 1 && toldMs < 9000,
                    "expected the remaining time, below the client's own timeout: " + toldMs);
                assertTrue(
                    heard.endsWith("\n" + query.substring(query.indexOf("\r\n") + 2, query.length() - 2)));
            }
        }
    }

    @DataProvider
    Object[][] faulty() {
        return new Object[][] {{"get a\r\n", "ERROR", true},
            {READ.replace("c=read", "c=x"), "CLIENT_ERROR unknown class", true},
            {READ.replace("acme", "x"), "CLIENT_ERROR unknown tenant", true},
            {READ.replace("d=9000", "q=1"), "CLIENT_ERROR no time to wait", true},
            {READ.replace("mg k v", "ms k 0").replace("read", "put") + "\r\n",
                "CLIENT_ERROR no idempotency key", true},
            {"ms k x O1\r\n", "CLIENT_ERROR bad length", false},
            {"y".repeat(5000), "CLIENT_ERROR line too long", false}};
    }

    @Test(dataProvider = "faulty")
    public void badInputEndsItsOwnConnectionAtMostAndReachesNoEndpoint(String command, String answer,
                                                                       boolean goesOn)
        throws Exception {
        try (Peer n = new Peer(hit("v")); Peer o = new Peer(m -> ok(""))) {
            int port = proxy(n, o).port();
            try (Client c = new Client(port); Client other = new Client(port)) {
                assertEquals(c.say(command).line(), answer);
                assertEquals(goesOn ? c.say("mn\r\n").line() : c.line(), goesOn ? "MN" : null);
                assertTrue(n.heard.isEmpty());
                assertEquals(other.say(READ).line(), "VA 1 O1");
            }
        }
    }

    @Test
    public void responsesComeInTheOrderOfTheirRequests() throws Exception {
        CountDownLatch second = new CountDownLatch(1);
        Function<String, String> rule = m -> {
            if (m.contains("O2")) {
                second.countDown();
            } else if (m.contains("O1")) {
                await(second);
            }
            return hit("v").apply(m);
        };
        try (Peer n = new Peer(rule);
            Peer o = new Peer(m -> ok(""));
            Client c = new Client(proxy(n, o).port())) {
            c.say(READ + READ.replace("O1", "O2") + "mn\r\n");
            assertEquals(List.of(c.line(), c.line(), c.line(), c.line(), c.line()),
                List.of("VA 1 O1", "v", "VA 1 O2", "v", "MN"));
        }
    }

    @Test
    public void theAttemptOfAClientThatDisconnectsIsCancelled() throws Exception {
        try (Peer n = new Peer(m -> null); Peer o = new Peer(m -> ok(""))) {
            Client c = new Client(proxy(n, o).port());
            c.say(READ);
            assertNotNull(n.await("mg k"));
            c.close();
            assertEquals(n.await("closed"), "closed");
        }
    }

    @Test
    public void theKeysOfALostCacheNodeGoToAnother() throws Exception {
        Peer lost = new Peer(m -> null);
        lost.close();
        try (Peer n = new Peer(hit("v"))) {
            ProxyService s = proxy(new Peer(m -> WATCH), 256,
                ScriptedPeers.target("s-1", "m1", lost.port, "active", 0),
                ScriptedPeers.target("s-2", "m1", n.port, "active", 0));
            try (Client c = new Client(s.port())) {
                for (int i = 0; i < 20; i++) {
                    assertEquals(c.say(READ.replace("mg k", "mg k" + i)).line(), "VA 1 O1");
                    assertEquals(c.line(), "v");
                }
            }
        }
    }

    @Test
    public void aShutdownAnswersAllThatWasTakenAndAcceptsNobodyElse() throws Exception {
        CountDownLatch ending = new CountDownLatch(1);
        try (Peer n = new Peer(heldUntil(ending)); Peer o = new Peer(m -> ok(""))) {
            ProxyService s = proxy(n, o);
            try (Client busy = new Client(s.port()); Client idle = new Client(s.port())) {
                assertEquals(idle.say("mn\r\n").line(), "MN");
                busy.say(READ);
                n.await("mg k");
                Thread end = ending(s);
                assertNull(idle.line(), "idle connection not closed");
                ending.countDown();
                assertEquals(busy.line(), "VA 1 O1");
                assertEquals(busy.line(), "v");
                assertNull(busy.line(), "connection not closed after the response");
                end.join();
                assertThrows(IOException.class, () -> new Client(s.port()));
                String again = ScriptedPeers.start(o.port, 256, ScriptedPeers.list(1, true))
                    .replace("127.0.0.1:0\"", "127.0.0.1:" + s.port() + "\"");
                try (Client next = new Client(service(new ProxyConfiguration(again)).port())) {
                    assertEquals(next.say("mn\r\n").line(), "MN",
                        "a successor at the same address does not serve");
                }
            }
        }
    }

    @Test
    public void theIdOfAnOpenRequestIsRejectedAndTheRequestUndisturbed() throws Exception {
        CountDownLatch refused = new CountDownLatch(1);
        try (Peer n = new Peer(heldUntil(refused)); Peer o = new Peer(m -> ok(""))) {
            ProxyService s = proxy(n, o);
            try (Client first = new Client(s.port()); Client other = new Client(s.port())) {
                first.say(READ + READ);
                n.await("mg k");
                assertEquals(other.say(READ).line(), "CLIENT_ERROR request id in use");
                refused.countDown();
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
    public void anErrorReachesAClientThatIsStillSending() throws Exception {
        try (Peer n = new Peer(hit("v"));
            Peer o = new Peer(m -> ok(""));
            Client c = new Client(proxy(n, o).port())) {
            c.say("ms k 60000000 O1 Pc=put,t=acme,d=9000,k=5\r\n" + "x".repeat(200_000));
            assertEquals(c.line(), "CLIENT_ERROR bad length");
            assertNull(c.line());
        }
    }
}
