package spurroad.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.configuration.ProxyConfiguration;
import spurroad.fixture.ScriptedPeers;
import spurroad.fixture.ScriptedPeers.Client;
import spurroad.fixture.ScriptedPeers.Peer;

/**
 * Checks the remaining time that attempts send to cache nodes and the origin. The servers miss, fail, reject,
 * disconnect and respond late in a random order. An attempt is checked against the time that had certainly
 * passed before it began: up to the last response to an earlier attempt of the same request.
 */
public class TimeLeftTest {
    private static final long NS_PER_MS = 1_000_000L;
    private static final int CACHE_NODES = 4;
    private static final int CLIENTS = 24;
    private static final int REQUESTS_EACH = 12;
    private static final int SHORTEST_WAIT_MS = 100;
    private static final int LONGEST_WAIT_MS = 2_500;
    private static final int LONGEST_DELAY_MS = 200;
    /**
     * Time that may pass on a busy machine between a client's write and the moment at which the proxy's
     * thread runs. No proxy can measure it. A third of the operators' limit.
     */
    private static final int UNKNOWN_MS = 50;
    private static final int BEHIND = 4;
    private static final long HELD_MS = 300;
    private static final long PATIENT_MS = 30_000;
    private static final long PAUSE_MS = 1_000;
    /**
     * A request whose response is held by its server, and enough commands after it that the proxy stops
     * reading from the connection.
     */
    private static final String FULL = "mg k v Oheld Pc=read,t=acme,d=30000\r\n" + "mn\r\n".repeat(15);
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nr";
    /** Exceeds the read-ahead limit, so that its last byte stays unread in the socket buffer. */
    private static final int LONG_BYTES = 70_000;
    private static final String LONG_WRITE = "ms k " + LONG_BYTES + " Olong Pc=put,t=acme,d=30000,k=7\r\n"
        + "x".repeat(LONG_BYTES) + "\r\n";
    private static final Pattern ID = Pattern.compile("(?: O|X-Request-Id: )(\\S+)");
    private static final Pattern WAIT = Pattern.compile("[P,: ]d=(\\d+)");

    /** The time at which a request had certainly been written, and how long its client waits. */
    private record Sent(long atNs, long waitMs) {}

    /**
     * An attempt as received by its server: the remaining time that it sent, the upper bound of the time left
     * when it began, and whether an earlier attempt of its request had been answered.
     */
    private record Attempt(String message, long toldMs, long leftMs, boolean further) {}

    private final Map<String, Sent> sent = new ConcurrentHashMap<>();
    private final Map<String, Long> lastAnswer = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<Attempt> attempts = new ConcurrentLinkedQueue<>();

    @DataProvider
    Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}};
    }

    @Test(dataProvider = "seeds")
    public void noAttemptGivesMoreTimeThanIsLeft(long seed) throws Exception {
        sent.clear();
        lastAnswer.clear();
        attempts.clear();
        Random random = new Random(seed);
        List<Peer> cacheNodes = new ArrayList<>();
        for (int i = 0; i < CACHE_NODES; i++) {
            Random own = new Random(random.nextLong());
            cacheNodes.add(new Peer(message -> cacheNode(message, own)));
        }
        Random originRandom = new Random(random.nextLong());
        try (Peer origin = new Peer(message -> origin(message, originRandom));
            Peer discovery = new Peer(message -> RunningProxy.WATCH)) {
            ProxyService service = RunningProxy
                .service(new ProxyConfiguration(settings(discovery, cacheNodes, origin)));
            List<Thread> clients = new ArrayList<>();
            AtomicInteger answered = new AtomicInteger();
            for (int i = 0; i < CLIENTS; i++) {
                int number = i;
                Random own = new Random(random.nextLong());
                clients.add(new Thread(() -> answered.addAndGet(client(service.port(), seed, number, own))));
            }
            clients.forEach(Thread::start);
            for (Thread client : clients) {
                client.join();
            }
            assertEquals(answered.get(), CLIENTS * REQUESTS_EACH, "answered requests");
            RunningProxy.ending(service).join();
        } finally {
            for (Peer node : cacheNodes) {
                node.close();
            }
        }
        assertTrue(attempts.stream().filter(Attempt::further).count() > CLIENTS,
            "too few further attempts for a conclusion");
        assertTrue(attempts.stream().anyMatch(a -> a.further && a.message.startsWith("GET")),
            "no further attempt at the origin");
        assertTrue(attempts.stream().anyMatch(a -> a.further && a.message.startsWith("mg")),
            "no further attempt at cache nodes");
        for (Attempt a : attempts) {
            assertTrue(a.toldMs >= 1 && a.toldMs <= Math.max(1, a.leftMs + UNKNOWN_MS), a.toString());
        }
    }

    @DataProvider
    Object[][] behind() {
        String reads = IntStream.range(0, BEHIND)
            .mapToObj(i -> "mg k" + i + " v Op" + i + " Pc=read,t=acme,d=30000\r\n")
            .collect(Collectors.joining());
        return new Object[][] {{"reads", reads, BEHIND},
            {"a long write and reads", LONG_WRITE + reads, BEHIND + 1}};
    }

    /**
     * Requests that waited behind an earlier response, in the proxy or unread in the socket buffer, have that
     * much less time left.
     */
    @Test(dataProvider = "behind")
    public void requestsBehindEarlierResponsesGiveLessTime(String name, String commands, int count)
        throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        ConcurrentLinkedQueue<String> late = new ConcurrentLinkedQueue<>();
        Function<String, String> rule = message -> {
            if (message.contains("Oheld ")) {
                await(go);
            } else if (!message.startsWith("stats") && !message.startsWith("GET /_load")) {
                late.add(message);
            }
            return message.startsWith("m") || message.startsWith("stats")
                ? RunningProxy.hit("v").apply(message) : OK;
        };
        try (Peer node = new Peer(rule);
            Peer origin = new Peer(rule);
            Peer discovery = new Peer(message -> RunningProxy.WATCH)) {
            ProxyService service = RunningProxy
                .service(new ProxyConfiguration(patient(settings(discovery, List.of(node), origin))));
            try (Client client = new Client(service.port())) {
                assertEquals(client.say("mn\r\n").line(), "MN");
                client.say(FULL + commands);
                assertNotNull(node.await("mg"));
                Thread.sleep(HELD_MS);
                assertEquals(late.size(), 0, "attempts sent before the response ahead of them");
                go.countDown();
                for (int i = 0; i < 1 + count; i++) {
                    String line = client.line();
                    while (line.equals("MN") || line.equals("v")) {
                        line = client.line();
                    }
                    assertTrue(line.startsWith("VA") || line.startsWith("HD"), line);
                }
            }
            assertEquals(late.size(), count);
            for (String message : late) {
                long leftMs = PATIENT_MS - HELD_MS;
                String head = message.split("\n")[0];
                assertTrue(toldMs(message) <= leftMs, "held for " + HELD_MS + " ms: " + head);
            }
            RunningProxy.ending(service).join();
        }
    }

    /** A request that waited for the proxy to accept its connection has that much less time left. */
    @Test
    public void requestsThatWaitedToBeAcceptedGiveLessTime() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        Function<String, String> silentAtFirst = message -> {
            await(go);
            return RunningProxy.WATCH + ScriptedPeers.chunk(ScriptedPeers.list(2, false));
        };
        try (Peer node = new Peer(RunningProxy.hit("v")); Peer discovery = new Peer(silentAtFirst)) {
            // the proxy accepts no connections before the first pushed list
            String settings = patient(settings(discovery, List.of(node), node)).replace("on_request",
                "pushed");
            ProxyService service = RunningProxy.service(new ProxyConfiguration(settings));
            try (Client client = new Client(service.port())) {
                client.say("mg k v Owaited Pc=read,t=acme,d=" + PATIENT_MS + "\r\n");
                Thread.sleep(HELD_MS);
                go.countDown();
                assertEquals(client.line(), "VA 1 Owaited");
            }
            assertTrue(toldMs(node.await("mg")) <= PATIENT_MS - HELD_MS, "waited for " + HELD_MS + " ms");
            RunningProxy.ending(service).join();
        }
    }

    /**
     * A request on a connection that arrives while the event loop is blocked has that much less time left.
     */
    @Test
    public void requestsThatArriveWhileTheLoopIsBlockedGiveLessTime() throws Exception {
        try (Peer node = new Peer(RunningProxy.hit("v"));
            Peer discovery = new Peer(message -> RunningProxy.WATCH)) {
            ProxyService service = RunningProxy
                .service(new ProxyConfiguration(patient(settings(discovery, List.of(node), node))));
            CountDownLatch holds = new CountDownLatch(1);
            CountDownLatch go = new CountDownLatch(1);
            service.setDrained("s-0", false, known -> { // runs on the loop
                holds.countDown();
                await(go);
            });
            holds.await();
            try (Client client = new Client(service.port())) {
                client.say("mg k v Oheldup Pc=read,t=acme,d=" + PATIENT_MS + "\r\n");
                Thread.sleep(HELD_MS);
                go.countDown();
                assertEquals(client.line(), "VA 1 Oheldup");
            }
            assertTrue(toldMs(node.await("mg")) <= PATIENT_MS - HELD_MS, "held for " + HELD_MS + " ms");
            RunningProxy.ending(service).join();
        }
    }

    @DataProvider
    Object[][] pauses() {
        return new Object[][] {{"what now\r\n", "ERROR"}, {"mn\r\n".repeat(40), "MN"}};
    }

    /**
     * An earlier pause in which the proxy did not read from a connection shortens no request that arrives
     * long after it.
     */
    @Test(dataProvider = "pauses")
    public void requestsAfterAPauseHaveAllOfTheirTime(String before, String answer) throws Exception {
        try (Peer node = new Peer(RunningProxy.hit("v"));
            Peer discovery = new Peer(message -> RunningProxy.WATCH)) {
            ProxyService service = RunningProxy
                .service(new ProxyConfiguration(patient(settings(discovery, List.of(node), node))));
            try (Client client = new Client(service.port())) {
                client.say(before);
                for (int i = before.split("\n").length; i > 0; i--) {
                    assertEquals(client.line(), answer);
                }
                Thread.sleep(PAUSE_MS);
                client.say("mg k v Olater Pc=read,t=acme,d=" + PAUSE_MS + "\r\n");
                assertEquals(client.line(), "VA 1 Olater");
            }
            assertTrue(toldMs(node.await("mg")) > PAUSE_MS / 2, "the earlier pause was deducted");
            RunningProxy.ending(service).join();
        }
    }

    private static long toldMs(String message) {
        Matcher wait = WAIT.matcher(message);
        assertTrue(wait.find(), message);
        return Long.parseLong(wait.group(1));
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Raises the latency objective, so that the client's own timeout bounds the time that attempts send. */
    private static String patient(String settings) {
        return settings.replace("\"sloTimeUs\":8000000", "\"sloTimeUs\":80000000");
    }

    private static String settings(Peer discovery, List<Peer> cacheNodes, Peer origin) {
        String[] targets = new String[cacheNodes.size() + 1];
        for (int i = 0; i < cacheNodes.size(); i++) {
            targets[i] = ScriptedPeers.target("s-" + i, "m1", cacheNodes.get(i).port, "active", 0);
        }
        targets[cacheNodes.size()] = ScriptedPeers.target("origin", "origin", origin.port, "active", 0);
        return ScriptedPeers.start(discovery.port, 1024, ScriptedPeers.list(1, true, targets));
    }

    /** Sends requests one after another and returns how many were answered. */
    private int client(int port, long seed, int number, Random random) {
        int answered = 0;
        try (Client client = new Client(port)) {
            for (int i = 0; i < REQUESTS_EACH; i++) {
                String id = "s" + seed + "c" + number + "x" + i;
                long waitMs = SHORTEST_WAIT_MS + random.nextInt(LONGEST_WAIT_MS - SHORTEST_WAIT_MS);
                boolean write = random.nextInt(4) == 0;
                sent.put(id, new Sent(Long.MAX_VALUE, waitMs)); // no time is known until it has been written
                client.say(write
                    ? "ms k" + number + " 1 O" + id + " Pc=put,t=acme,d=" + waitMs + ",k=" + id + "\r\na\r\n"
                    : "mg k" + number + " v O" + id + " Pc=read,t=acme,d=" + waitMs + ",h=9\r\n");
                sent.put(id, new Sent(System.nanoTime(), waitMs));
                String line = client.line();
                assertNotNull(line, "no answer to " + id);
                if (line.startsWith("VA")) {
                    client.line();
                }
                answered++;
            }
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
        return answered;
    }

    private void note(String message) {
        Matcher id = ID.matcher(message);
        Matcher wait = WAIT.matcher(message);
        assertTrue(id.find() && wait.find(), message);
        Sent request = sent.get(id.group(1));
        Long answer = lastAnswer.get(id.group(1));
        boolean known = answer != null && request.atNs != Long.MAX_VALUE;
        long passedMs = known ? Math.max(0, (answer - request.atNs) / NS_PER_MS) : 0;
        attempts.add(
            new Attempt(message, Long.parseLong(wait.group(1)), request.waitMs - passedMs, answer != null));
    }

    private void answering(String message, Random random) {
        try {
            Thread.sleep(random.nextInt(LONGEST_DELAY_MS));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
        Matcher id = ID.matcher(message);
        assertTrue(id.find(), message);
        lastAnswer.put(id.group(1), System.nanoTime());
    }

    private String cacheNode(String message, Random random) {
        if (message.startsWith("stats")) {
            return "STAT rif 0\r\nEND\r\n";
        }
        note(message);
        answering(message, random);
        String id = message.replaceFirst("(?s).*? O(\\S+).*", "$1");
        return switch (random.nextInt(8)) {
            case 0 -> "SERVER_ERROR failed\r\n";
            case 1 -> "SERVER_ERROR busy\r\n";
            case 2 -> ""; // disconnects
            default -> "EN O" + id + "\r\n";
        };
    }

    private String origin(String message, Random random) {
        if (message.startsWith("GET /_load") || message.startsWith("GET /ping")) {
            return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        }
        note(message);
        answering(message, random);
        return switch (random.nextInt(6)) {
            case 0 -> "HTTP/1.1 500 no\r\nContent-Length: 0\r\n\r\n";
            case 1 -> "HTTP/1.1 503 no\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
            default -> "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv";
        };
    }
}
