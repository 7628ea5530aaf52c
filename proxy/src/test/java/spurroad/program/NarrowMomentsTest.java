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
    private static final long NANOS_PER_MILLI = 1_000_000L;
    /** Commands after a request without a response: enough that the proxy stops reading from the client. */
    private static final String PIPELINED_PROBES = "mn\r\n".repeat(15);

    private static String readCommand(String id) {
        return RunningProxy.READ.replace("O1", "O" + id);
    }

    private static ProxyService proxy(String configuration) throws Exception {
        return RunningProxy.service(new ProxyConfiguration(configuration));
    }

    private static String configuration(Peer discovery, Peer... nodes) {
        String[] targets = new String[nodes.length];
        for (int i = 0; i < nodes.length; i++) {
            targets[i] = ScriptedPeers.target("s-" + i, "m1", nodes[i].port, "active", 0);
        }
        return ScriptedPeers.start(discovery.port, 1024, ScriptedPeers.list(1, true, targets));
    }

    private static long millisSince(long startNanos) {
        return (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
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
    public void answersTakenRequestsBeforeKillWhateverTheirTimeout(long timeoutMillis, long killMillis)
        throws Exception {
        try (Peer hung = new Peer(message -> null);
            Peer discovery = new Peer(message -> RunningProxy.WATCH)) {
            ProxyService proxy = proxy(configuration(discovery, hung).replace("\"sloTimeUs\":8000000",
                "\"statementTimeoutUs\":" + timeoutMillis * 1000 + ",\"sloTimeUs\":8000000"));
            try (Client earlier = new Client(proxy.port()); Client later = new Client(proxy.port())) {
                earlier.say(readCommand("1"));
                assertNotNull(hung.await("mg"));
                long sinceNanos = System.nanoTime();
                Thread shutdown = RunningProxy.ending(proxy);
                later.say(readCommand("2"));
                assertTrue(earlier.line().startsWith("SERVER_ERROR"));
                assertTrue(later.line().startsWith("SERVER_ERROR"));
                assertTrue(millisSince(sinceNanos) < killMillis,
                    "answered after " + millisSince(sinceNanos) + " ms");
                shutdown.join();
            }
        }
    }

    /** Connections that the kernel accepted for a proxy that shuts down before it serves are answered too. */
    @Test
    public void answersClientsAcceptedByKernelBeforeServing() throws Exception {
        CountDownLatch neverOpened = new CountDownLatch(1);
        try (Peer silent = new Peer(message -> respondAfter(neverOpened, RunningProxy.WATCH));
            Peer node = new Peer(RunningProxy.hit("v"))) {
            ProxyService proxy = proxy(configuration(silent, node).replace("on_request", "pushed"));
            try (Client client = new Client(proxy.port())) {
                client.say(readCommand("1"));
                Thread shutdown = RunningProxy.ending(proxy);
                assertEquals(client.line() + client.line(), "VA 1 O1v");
                shutdown.join();
            }
            neverOpened.countDown();
        }
    }

    private static String respondAfter(CountDownLatch release, String answer) {
        try {
            release.await();
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
    public void losesNoRequestInReloadRightBeforeShutdown() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (Peer node = new Peer(message -> respondAfter(release, RunningProxy.hit("v").apply(message)));
            Peer discovery = new Peer(message -> RunningProxy.WATCH)) {
            String configuration = configuration(discovery, node);
            String readClass = configuration
                .replaceFirst("(?s).*'tracks':\\[(\\{.*?\\}),.*".replace('\'', '"'), "$1");
            String changedConfiguration = configuration
                .replace(readClass + ",", "").replace("\"sloTimeUs\":8000000,\"importance\":5}",
                    "\"statementTimeoutUs\":800000,\"sloTimeUs\":400000,\"importance\":5},"
                        + readClass.replace("read", "late")
                        + "," + readClass.replace("retryable", "fragile"))
                .replace("\"mostExecutions\":6", "\"mostExecutions\":1");
            ProxyService proxy = proxy(configuration);
            try (Client earlier = new Client(proxy.port()); Client later = new Client(proxy.port())) {
                earlier.say(readCommand("1"));
                assertNotNull(node.await("mg"));
                List<Thread> reloads = new ArrayList<>();
                for (int i = 0; i < 2; i++) {
                    reloads.add(
                        new Thread(() -> proxy.reload(() -> new ProxyConfiguration(changedConfiguration))));
                    reloads.get(i).start();
                }
                for (Thread reload : reloads) {
                    reload.join();
                }
                // the loop applies the settings before it reads on
                assertEquals(later.say("mn\r\n").line(), "MN");
                Thread shutdown = RunningProxy.ending(proxy);
                later.say(readCommand("2") + readCommand("3").replace("c=read", "c=late")
                    + readCommand("4").replace("c=read", "c=none"));
                assertNotNull(node.await("mg"));
                release.countDown();
                assertEquals(earlier.line() + earlier.line(), "VA 1 O1v");
                assertEquals(later.line() + later.line() + later.line() + later.line(), "VA 1 O2vVA 1 O3v");
                assertEquals(later.line(), "CLIENT_ERROR unknown class");
                shutdown.join();
            }
        }
    }

    // ---- stalled endpoint lists

    /** Whether the stalled watch still sends bytes that never complete a line. */
    @DataProvider
    Object[][] stalls() {
        return new Object[][] {{false}, {true}};
    }

    /**
     * Guards against a stalled watch that is detected too late: detection took 7 s, but a missed drain counts
     * as a rule violation after 6 s (in calm+brink).
     */
    @Test(dataProvider = "stalls")
    public void replacesStalledWatchInTimeAndKeepsItUntilNewOneSends(boolean sendsBytes)
        throws Exception {
        AtomicInteger polls = new AtomicInteger();
        CountDownLatch release = new CountDownLatch(1);
        try (Peer a = new Peer(RunningProxy.hit("a")); Peer b = new Peer(RunningProxy.hit("b"))) {
            String both = ScriptedPeers.list(2, true, ScriptedPeers.target("s-a", "m1", a.port, "active", 0));
            String drained = ScriptedPeers.list(3, true,
                ScriptedPeers.target("s-a", "m1", a.port, "leaving", 0),
                ScriptedPeers.target("s-b", "m1", b.port, "active", 0));
            try (Peer discovery = new Peer(message -> RunningProxy.WATCH
                + (polls.incrementAndGet() == 1 ? ScriptedPeers.chunk(both)
                    : respondAfter(release, ScriptedPeers.chunk(drained))))) {
                ProxyService proxy = proxy(configuration(discovery, a));
                assertNotNull(discovery.await("GET"));
                long sinceNanos = System.nanoTime();
                if (sendsBytes) {
                    discovery.say("100\r\n");
                    ScriptedPeers.daemon(() -> {
                        while (true) {
                            discovery.say(" ");
                            Thread.sleep(200);
                        }
                    });
                }
                String reconnected = discovery.await("GET");
                assertTrue(reconnected.contains("since=2 "), reconnected);
                assertTrue(millisSince(sinceNanos) < 5000,
                    "polled again after " + millisSince(sinceNanos) + " ms");
                assertTrue(discovery.received.isEmpty(),
                    "the stalled watch is kept until the new one has sent a list");
                release.countDown();
                assertEquals(discovery.await("closed"), "closed");
                try (Client client = new Client(proxy.port())) {
                    String line = client.say(readCommand("1")).line() + client.line();
                    for (int i = 0; i < 2000 && line.endsWith("a"); i++) {
                        line = client.say(readCommand("1")).line() + client.line(); // list not applied yet
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
    public void forwardsNothingBeforeFirstPushedList() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (Peer a = new Peer(RunningProxy.hit("a")); Peer b = new Peer(RunningProxy.hit("b"))) {
            String drained = ScriptedPeers.list(3, true,
                ScriptedPeers.target("s-0", "m1", a.port, "leaving", 0),
                ScriptedPeers.target("s-b", "m1", b.port, "active", 0));
            try (
                Peer agent = new Peer(
                    message -> RunningProxy.WATCH + respondAfter(release, ScriptedPeers.chunk(drained)))) {
                ProxyService proxy = proxy(configuration(agent, a).replace("on_request", "pushed"));
                try (Client client = new Client(proxy.port())) {
                    client.say("mn\r\n" + readCommand("1"));
                    assertNotNull(agent.await("GET"));
                    release.countDown();
                    assertEquals(client.line() + client.line() + client.line(), "MNVA 1 O1b");
                }
                assertTrue(a.received.isEmpty());
            }
        }
    }

    @DataProvider
    Object[][] pollLimits() {
        return new Object[][] {
            {"\"tickUs\"", "\"obligations\":{\"askWithinUs\":500000},\"tickUs\"", 20, 9000},
            {"on_request", "pushed", 12, 5000}};
    }

    /**
     * The balancer's backoff grows to 12 s, past the 10 s for which jaffna-student-housing lets a list be
     * used. With pushed lists, the list of an agent that was away counts as soon as the agent is back.
     */
    @Test(dataProvider = "pollLimits")
    public void pollsDiscoveryWithinConfiguredTime(String settingText, String replacement, int polls,
                                                   long maxMillis)
        throws Exception {
        AtomicInteger pollCount = new AtomicInteger();
        try (Peer node = new Peer(RunningProxy.hit("a"));
            Peer discovery = new Peer(
                message -> pollCount.incrementAndGet() < polls ? "" : RunningProxy.WATCH)) {
            long sinceNanos = System.nanoTime();
            proxy(configuration(discovery, node).replace(settingText, replacement));
            for (int i = 0; i < polls; i++) {
                assertNotNull(discovery.await("GET"));
            }
            assertTrue(millisSince(sinceNanos) < maxMillis,
                polls + " polls took " + millisSince(sinceNanos) + " ms");
        }
    }

    // ---- disconnected clients

    /**
     * Guards against a disconnect that is detected only at the first response: the proxy does not read from a
     * client with sixteen waiting commands.
     */
    @Test
    public void detectsDisconnectOfClientThatIsNotReadFrom() throws Exception {
        try (Peer silent = new Peer(message -> null);
            Peer discovery = new Peer(message -> RunningProxy.WATCH)) {
            ProxyService proxy = proxy(configuration(discovery, silent));
            Client client = new Client(proxy.port())
                .say(readCommand("1") + PIPELINED_PROBES + readCommand("2"));
            assertNotNull(silent.await("mg"));
            long sinceNanos = System.nanoTime();
            client.close();
            assertEquals(silent.await("closed"), "closed", "the attempt was not cancelled");
            assertTrue(millisSince(sinceNanos) < 2000, "detected after " + millisSince(sinceNanos) + " ms");
            assertTrue(silent.received.stream().noneMatch(message -> message.startsWith("mg")),
                "the commands after it were forwarded");
        }
    }

    /** The proxy does not read either from a client that waits for memory for a long value. */
    @Test
    public void detectsDisconnectOfClientThatWaitsForMemory() throws Exception {
        try (Peer silent = new Peer(message -> null);
            Peer discovery = new Peer(message -> RunningProxy.WATCH)) {
            ProxyService proxy = proxy(configuration(discovery, silent));
            String upload = "ms k 4000000 O3 Pc=put,t=acme,d=9000,k=5\r\n";
            List<Client> holders = new ArrayList<>();
            for (int i = 0; i < 8; i++) { // more than the memory budget has room for
                holders.add(new Client(proxy.port()).say(upload.replace("O3", "Oh" + i) + "x"));
            }
            Client client = new Client(proxy.port());
            client.say(readCommand("1") + upload + "x");
            assertNotNull(silent.await("mg"));
            long sinceNanos = System.nanoTime();
            client.close();
            assertEquals(silent.await("closed"), "closed", "the attempt was not cancelled");
            assertTrue(millisSince(sinceNanos) < 1500, "detected after " + millisSince(sinceNanos) + " ms");
            for (Client holder : holders) {
                holder.close();
            }
        }
    }

    /**
     * Guards against a client that reconnects at once and is rejected because its request id is still in use:
     * the proxy has not yet read the end of its former connection.
     */
    @Test
    public void servesClientThatReconnectsBeforeItsDisconnectIsRead() throws Exception {
        CountDownLatch reconnected = new CountDownLatch(1);
        Function<String, String> rule = message -> reconnected.getCount() > 0 ? null
            : RunningProxy.hit("v").apply(message);
        try (Peer node = new Peer(rule); Peer discovery = new Peer(message -> RunningProxy.WATCH)) {
            ProxyService proxy = proxy(configuration(discovery, node));
            Client disconnected = new Client(proxy.port()).say(readCommand("1") + PIPELINED_PROBES);
            assertNotNull(node.await("mg"));
            reconnected.countDown();
            disconnected.close();
            try (Client client = new Client(proxy.port())) {
                assertEquals(client.say(readCommand("1")).line() + client.line(), "VA 1 O1v");
            }
        }
    }
}
