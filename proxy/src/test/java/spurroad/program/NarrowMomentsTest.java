package spurroad.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.configuration.ProxyConfiguration;
import spurroad.fixture.ScriptedPeers;
import spurroad.fixture.ScriptedPeers.Client;
import spurroad.fixture.ScriptedPeers.Peer;

/** Forces orders of events that are rare in production, with a whole proxy between scripted peers. */
public class NarrowMomentsTest {
    private static final long MS = 1_000_000L;
    /** Commands after a request without a response: enough that the proxy stops reading from the client. */
    private static final String BEHIND = "mn\r\n".repeat(15);

    private static String read(String id) {
        return RunningProxy.READ.replace("O1", "O" + id);
    }

    private static ProxyService proxy(String text) throws Exception {
        return RunningProxy.service(new ProxyConfiguration(text));
    }

    private static String start(Peer discovery, Peer... nodes) {
        String[] targets = new String[nodes.length];
        for (int i = 0; i < nodes.length; i++) {
            targets[i] = ScriptedPeers.target("s-" + i, "m1", nodes[i].port, "active", 0);
        }
        return ScriptedPeers.start(discovery.port, 1024, ScriptedPeers.list(1, true, targets));
    }

    private static long msSince(long then) {
        return (System.nanoTime() - then) / MS;
    }

    // ---- graceful shutdown

    /**
     * The longest statement timeout of the settings, and how soon after SIGTERM the kill may follow; both in
     * milliseconds.
     */
    @DataProvider
    Object[][] kills() {
        return new Object[][] {{9000, 3700}, {800, 1500}};
    }

    /**
     * Guards against responses after the kill while cache nodes hang. The kill follows SIGTERM by the longest
     * statement timeout, 3 s at most, plus 0.7 s. Requests that could wait longer were answered after that
     * (in roll+term+brink on five of ten seeds), as were all requests once one client had sent a timeout
     * beyond that of the settings.
     */
    @Test(dataProvider = "kills")
    public void allThatWasTakenIsAnsweredBeforeTheKillHoweverLongItCouldWait(long timeoutMs, long killMs)
        throws Exception {
        try (Peer hung = new Peer(m -> null); Peer discovery = new Peer(m -> RunningProxy.WATCH)) {
            ProxyService s = proxy(start(discovery, hung).replace("\"sloTimeUs\":8000000",
                "\"statementTimeoutUs\":" + timeoutMs * 1000 + ",\"sloTimeUs\":8000000"));
            try (Client before = new Client(s.port()); Client after = new Client(s.port())) {
                before.say(read("1"));
                assertNotNull(hung.await("mg"));
                long since = System.nanoTime();
                Thread end = RunningProxy.ending(s);
                after.say(read("2"));
                assertTrue(before.line().startsWith("SERVER_ERROR"));
                assertTrue(after.line().startsWith("SERVER_ERROR"));
                assertTrue(msSince(since) < killMs, "answered after " + msSince(since) + " ms");
                end.join();
            }
        }
    }

    /** Connections that the kernel accepted for a proxy that shuts down before it serves are answered too. */
    @Test
    public void clientsThatConnectBeforeAcceptanceAreAnsweredAtTheShutdown() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        try (Peer silent = new Peer(m -> held(never, RunningProxy.WATCH));
            Peer node = new Peer(RunningProxy.hit("v"))) {
            ProxyService s = proxy(start(silent, node).replace("on_request", "pushed"));
            try (Client c = new Client(s.port())) {
                c.say(read("1"));
                Thread end = RunningProxy.ending(s);
                assertEquals(c.line() + c.line(), "VA 1 O1v");
                end.join();
            }
            never.countDown();
        }
    }

    private static String held(CountDownLatch until, String answer) {
        try {
            until.await();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
        return answer;
    }

    /**
     * SIGHUP twice at once, followed by SIGTERM, while requests are in flight. The reload changes the numbers
     * of request classes, forbids retries, and leaves less time and fewer executions. Requests taken under
     * the former settings are answered.
     */
    @Test
    public void aReloadRightBeforeTheShutdownLosesNoRequest() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (Peer node = new Peer(m -> held(go, RunningProxy.hit("v").apply(m)));
            Peer discovery = new Peer(m -> RunningProxy.WATCH)) {
            String text = start(discovery, node);
            String read = text.replaceFirst("(?s).*'tracks':\\[(\\{.*?\\}),.*".replace('\'', '"'), "$1");
            String other = text.replace(read + ",", "").replace("\"sloTimeUs\":8000000,\"importance\":5}",
                "\"statementTimeoutUs\":800000,\"sloTimeUs\":400000,\"importance\":5},"
                    + read.replace("read", "late")
                    + "," + read.replace("retryable", "fragile"))
                .replace("\"mostExecutions\":6", "\"mostExecutions\":1");
            ProxyService s = proxy(text);
            try (Client before = new Client(s.port()); Client after = new Client(s.port())) {
                before.say(read("1"));
                assertNotNull(node.await("mg"));
                List<Thread> hups = new ArrayList<>();
                for (int i = 0; i < 2; i++) {
                    hups.add(new Thread(() -> s.reload(() -> new ProxyConfiguration(other))));
                    hups.get(i).start();
                }
                for (Thread hup : hups) {
                    hup.join();
                }
                // the loop applies the settings before it reads on
                assertEquals(after.say("mn\r\n").line(), "MN");
                Thread end = RunningProxy.ending(s);
                after.say(read("2") + read("3").replace("c=read", "c=late")
                    + read("4").replace("c=read", "c=none"));
                assertNotNull(node.await("mg"));
                go.countDown();
                assertEquals(before.line() + before.line(), "VA 1 O1v");
                assertEquals(after.line() + after.line() + after.line() + after.line(), "VA 1 O2vVA 1 O3v");
                assertEquals(after.line(), "CLIENT_ERROR unknown class");
                end.join();
            }
        }
    }

    // ---- stalled endpoint lists

    /** Whether the stalled watch still sends bytes that never complete a line. */
    @DataProvider
    Object[][] quiet() {
        return new Object[][] {{false}, {true}};
    }

    /**
     * Guards against a stalled watch that is detected too late: detection took 7 s, but a missed drain counts
     * as a rule violation after 6 s (in calm+brink).
     */
    @Test(dataProvider = "quiet")
    public void aSilentWatchIsReplacedInTimeAndKeptUntilTheNewOneSends(boolean trickles)
        throws Exception {
        AtomicInteger calls = new AtomicInteger();
        CountDownLatch go = new CountDownLatch(1);
        try (Peer a = new Peer(RunningProxy.hit("a")); Peer b = new Peer(RunningProxy.hit("b"))) {
            String both = ScriptedPeers.list(2, true, ScriptedPeers.target("s-a", "m1", a.port, "active", 0));
            String drained = ScriptedPeers.list(3, true,
                ScriptedPeers.target("s-a", "m1", a.port, "leaving", 0),
                ScriptedPeers.target("s-b", "m1", b.port, "active", 0));
            try (Peer discovery = new Peer(m -> RunningProxy.WATCH
                + (calls.incrementAndGet() == 1 ? ScriptedPeers.chunk(both)
                    : held(go, ScriptedPeers.chunk(drained))))) {
                ProxyService s = proxy(start(discovery, a));
                assertNotNull(discovery.await("GET"));
                long since = System.nanoTime();
                if (trickles) {
                    discovery.say("100\r\n");
                    ScriptedPeers.daemon(() -> {
                        while (true) {
                            discovery.say(" ");
                            Thread.sleep(200);
                        }
                    });
                }
                String again = discovery.await("GET");
                assertTrue(again.contains("since=2 "), again);
                assertTrue(msSince(since) < 5000, "polled again after " + msSince(since) + " ms");
                assertTrue(discovery.heard.isEmpty(),
                    "the stalled watch is kept until the new one has sent a list");
                go.countDown();
                assertEquals(discovery.await("closed"), "closed");
                try (Client c = new Client(s.port())) {
                    String line = c.say(read("1")).line() + c.line();
                    for (int i = 0; i < 2000 && line.endsWith("a"); i++) {
                        line = c.say(read("1")).line() + c.line(); // list not applied yet
                    }
                    assertEquals(line, "VA 1 O1b");
                }
            }
        }
    }

    /**
     * Guards against a proxy with pushed lists that opens no watch and so forwards to draining nodes for as
     * long as it runs.
     */
    @Test
    public void wherePushedListsAreUsedNothingIsForwardedBeforeTheFirst() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (Peer a = new Peer(RunningProxy.hit("a")); Peer b = new Peer(RunningProxy.hit("b"))) {
            String drained = ScriptedPeers.list(3, true,
                ScriptedPeers.target("s-0", "m1", a.port, "leaving", 0),
                ScriptedPeers.target("s-b", "m1", b.port, "active", 0));
            try (
                Peer agent = new Peer(m -> RunningProxy.WATCH + held(go, ScriptedPeers.chunk(drained)))) {
                ProxyService s = proxy(start(agent, a).replace("on_request", "pushed"));
                try (Client c = new Client(s.port())) {
                    c.say("mn\r\n" + read("1"));
                    assertNotNull(agent.await("GET"));
                    go.countDown();
                    assertEquals(c.line() + c.line() + c.line(), "MNVA 1 O1b");
                }
                assertTrue(a.heard.isEmpty());
            }
        }
    }

    @DataProvider
    Object[][] impatient() {
        return new Object[][] {
            {"\"tickUs\"", "\"obligations\":{\"askWithinUs\":500000},\"tickUs\"", 20, 9000},
            {"on_request", "pushed", 12, 5000}};
    }

    /**
     * The balancer's backoff grows to 12 s, past the 10 s for which jaffna-student-housing lets a list be
     * used. With pushed lists, the list of an agent that was away counts as soon as the agent is back.
     */
    @Test(dataProvider = "impatient")
    public void discoveryIsPolledWithinTheTimeOfTheSettings(String key, String with, int calls,
                                                            long ms)
        throws Exception {
        AtomicInteger came = new AtomicInteger();
        try (Peer node = new Peer(RunningProxy.hit("a"));
            Peer discovery = new Peer(m -> came.incrementAndGet() < calls ? "" : RunningProxy.WATCH)) {
            long since = System.nanoTime();
            proxy(start(discovery, node).replace(key, with));
            for (int i = 0; i < calls; i++) {
                assertNotNull(discovery.await("GET"));
            }
            assertTrue(msSince(since) < ms, calls + " polls took " + msSince(since) + " ms");
        }
    }

    // ---- disconnected clients

    /**
     * Guards against a disconnect that is detected only at the first response: the proxy does not read from a
     * client with sixteen waiting commands.
     */
    @Test
    public void theDisconnectOfAClientThatIsNotReadFromIsDetected() throws Exception {
        try (Peer silent = new Peer(m -> null); Peer discovery = new Peer(m -> RunningProxy.WATCH)) {
            ProxyService s = proxy(start(discovery, silent));
            Client c = new Client(s.port()).say(read("1") + BEHIND + read("2"));
            assertNotNull(silent.await("mg"));
            long since = System.nanoTime();
            c.close();
            assertEquals(silent.await("closed"), "closed", "the attempt was not cancelled");
            assertTrue(msSince(since) < 2000, "detected after " + msSince(since) + " ms");
            assertTrue(silent.heard.stream().noneMatch(m -> m.startsWith("mg")),
                "the commands after it were forwarded");
        }
    }

    /** The proxy does not read either from a client that waits for memory for a long value. */
    @Test
    public void theDisconnectOfAClientThatWaitsForMemoryIsDetected() throws Exception {
        try (Peer silent = new Peer(m -> null); Peer discovery = new Peer(m -> RunningProxy.WATCH)) {
            ProxyService s = proxy(start(discovery, silent));
            String upload = "ms k 4000000 O3 Pc=put,t=acme,d=9000,k=5\r\n";
            List<Client> holders = new ArrayList<>();
            for (int i = 0; i < 8; i++) { // more than the memory budget has room for
                holders.add(new Client(s.port()).say(upload.replace("O3", "Oh" + i) + "x"));
            }
            Client c = new Client(s.port());
            c.say(read("1") + upload + "x");
            assertNotNull(silent.await("mg"));
            long since = System.nanoTime();
            c.close();
            assertEquals(silent.await("closed"), "closed", "the attempt was not cancelled");
            assertTrue(msSince(since) < 1500, "detected after " + msSince(since) + " ms");
            for (Client h : holders) {
                h.close();
            }
        }
    }

    /**
     * Guards against a client that reconnects at once and is rejected because its request id is still in use:
     * the proxy has not yet read the end of its former connection.
     */
    @Test
    public void aClientThatReconnectsBeforeItsDisconnectIsReadIsServed() throws Exception {
        CountDownLatch again = new CountDownLatch(1);
        Function<String, String> rule = m -> again.getCount() > 0 ? null : RunningProxy.hit("v").apply(m);
        try (Peer node = new Peer(rule); Peer discovery = new Peer(m -> RunningProxy.WATCH)) {
            ProxyService s = proxy(start(discovery, node));
            Client former = new Client(s.port()).say(read("1") + BEHIND);
            assertNotNull(node.await("mg"));
            again.countDown();
            former.close();
            try (Client c = new Client(s.port())) {
                assertEquals(c.say(read("1")).line() + c.line(), "VA 1 O1v");
            }
        }
    }
}
