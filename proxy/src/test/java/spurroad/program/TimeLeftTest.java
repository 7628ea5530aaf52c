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
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int CACHE_NODES = 4;
    private static final int CLIENTS = 24;
    private static final int REQUESTS_EACH = 12;
    private static final int MIN_TIMEOUT_MILLIS = 100;
    private static final int MAX_TIMEOUT_MILLIS = 2_500;
    private static final int MAX_DELAY_MILLIS = 200;
    /**
     * Time that may pass on a busy machine between a client's write and the moment at which the proxy's
     * thread runs. No proxy can measure it. A third of the operators' limit.
     */
    private static final int TOLERANCE_MILLIS = 50;
    private static final int PIPELINED_READS = 4;
    private static final long HELD_MILLIS = 300;
    private static final long LONG_TIMEOUT_MILLIS = 30_000;
    private static final long PAUSE_MILLIS = 1_000;
    /**
     * A request whose response is held by its server, and enough commands after it that the proxy stops
     * reading from the connection.
     */
    private static final String HELD_REQUEST_AND_PROBES = "mg k v Oheld Pc=read,t=acme,d=30000\r\n"
        + "mn\r\n".repeat(15);
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nr";
    /** Exceeds the read-ahead limit, so that its last byte stays unread in the socket buffer. */
    private static final int LONG_BYTES = 70_000;
    private static final String LONG_WRITE = "ms k " + LONG_BYTES + " Olong Pc=put,t=acme,d=30000,k=7\r\n"
        + "x".repeat(LONG_BYTES) + "\r\n";
    private static final Pattern ID = Pattern.compile("(?: O|X-Request-Id: )(\\S+)");
    private static final Pattern TIMEOUT = Pattern.compile("[P,: ]d=(\\d+)");

    /** The time at which a request had certainly been written, and how long its client waits. */
    private record Sent(long sentAtNanos, long timeoutMillis) {}

    /**
     * An attempt as received by its server: the remaining time that it sent, the upper bound of the time left
     * when it began, and whether an earlier attempt of its request had been answered.
     */
    private record Attempt(String message, long sentTimeMillis, long timeLeftMillis, boolean further) {}

    private final Map<String, Sent> sent = new ConcurrentHashMap<>();
    private final Map<String, Long> lastResponseNanos = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<Attempt> attempts = new ConcurrentLinkedQueue<>();

    @DataProvider
    Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}};
    }

    @Test(dataProvider = "seeds")
    public void sendsNoMoreTimeThanIsLeft(long seed) throws Exception {
        sent.clear();
        lastResponseNanos.clear();
        attempts.clear();
        Random random = new Random(seed);
        List<Peer> cacheNodes = new ArrayList<>();
        for (int i = 0; i < CACHE_NODES; i++) {
            Random derivedRandom = new Random(random.nextLong());
            cacheNodes.add(new Peer(message -> cacheNode(message, derivedRandom)));
        }
        Random originRandom = new Random(random.nextLong());
        try (Peer origin = new Peer(message -> origin(message, originRandom));
            Peer discovery = new Peer(message -> RunningProxy.WATCH)) {
            ProxyService service = RunningProxy
                .service(new ProxyConfiguration(settings(discovery, cacheNodes, origin)));
            List<Thread> clients = new ArrayList<>();
            AtomicInteger answeredCount = new AtomicInteger();
            for (int i = 0; i < CLIENTS; i++) {
                int clientIndex = i;
                Random derivedRandom = new Random(random.nextLong());
                clients.add(new Thread(() -> answeredCount
                    .addAndGet(runClient(service.port(), seed, clientIndex, derivedRandom))));
            }
            clients.forEach(Thread::start);
            for (Thread client : clients) {
                client.join();
            }
            assertEquals(answeredCount.get(), CLIENTS * REQUESTS_EACH, "answered requests");
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
            assertTrue(
                a.sentTimeMillis >= 1 && a.sentTimeMillis <= Math.max(1, a.timeLeftMillis + TOLERANCE_MILLIS),
                a.toString());
        }
    }

    @DataProvider
    Object[][] pipelinedCommands() {
        String reads = IntStream.range(0, PIPELINED_READS)
            .mapToObj(i -> "mg k" + i + " v Op" + i + " Pc=read,t=acme,d=30000\r\n")
            .collect(Collectors.joining());
        return new Object[][] {{"reads", reads, PIPELINED_READS},
            {"a long write and reads", LONG_WRITE + reads, PIPELINED_READS + 1}};
    }

    /**
     * Requests that waited behind an earlier response, in the proxy or unread in the socket buffer, have that
     * much less time left.
     */
    @Test(dataProvider = "pipelinedCommands")
    public void sendsLessTimeForRequestsBehindEarlierResponses(String name, String commands, int count)
        throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        ConcurrentLinkedQueue<String> forwarded = new ConcurrentLinkedQueue<>();
        Function<String, String> rule = message -> {
            if (message.contains("Oheld ")) {
                await(release);
            } else if (!message.startsWith("stats") && !message.startsWith("GET /_load")) {
                forwarded.add(message);
            }
            return message.startsWith("m") || message.startsWith("stats")
                ? RunningProxy.hit("v").apply(message) : OK;
        };
        try (Peer node = new Peer(rule);
            Peer origin = new Peer(rule);
            Peer discovery = new Peer(message -> RunningProxy.WATCH)) {
            ProxyService service = RunningProxy
                .service(
                    new ProxyConfiguration(withLongObjective(settings(discovery, List.of(node), origin))));
            try (Client client = new Client(service.port())) {
                assertEquals(client.say("mn\r\n").line(), "MN");
                client.say(HELD_REQUEST_AND_PROBES + commands);
                assertNotNull(node.await("mg"));
                Thread.sleep(HELD_MILLIS);
                assertEquals(forwarded.size(), 0, "attempts sent before the response ahead of them");
                release.countDown();
                for (int i = 0; i < 1 + count; i++) {
                    String line = client.line();
                    while (line.equals("MN") || line.equals("v")) {
                        line = client.line();
                    }
                    assertTrue(line.startsWith("VA") || line.startsWith("HD"), line);
                }
            }
            assertEquals(forwarded.size(), count);
            for (String message : forwarded) {
                long timeLeftMillis = LONG_TIMEOUT_MILLIS - HELD_MILLIS;
                String head = message.split("\n")[0];
                assertTrue(sentTimeMillis(message) <= timeLeftMillis,
                    "held for " + HELD_MILLIS + " ms: " + head);
            }
            RunningProxy.ending(service).join();
        }
    }

    /** A request that waited for the proxy to accept its connection has that much less time left. */
    @Test
    public void sendsLessTimeForRequestsThatWaitedForAccept() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        Function<String, String> silentAtFirst = message -> {
            await(release);
            return RunningProxy.WATCH + ScriptedPeers.chunk(ScriptedPeers.list(2, false));
        };
        try (Peer node = new Peer(RunningProxy.hit("v")); Peer discovery = new Peer(silentAtFirst)) {
            // the proxy accepts no connections before the first pushed list
            String settings = withLongObjective(settings(discovery, List.of(node), node)).replace(
                "on_request",
                "pushed");
            ProxyService service = RunningProxy.service(new ProxyConfiguration(settings));
            try (Client client = new Client(service.port())) {
                client.say("mg k v Owaited Pc=read,t=acme,d=" + LONG_TIMEOUT_MILLIS + "\r\n");
                Thread.sleep(HELD_MILLIS);
                release.countDown();
                assertEquals(client.line(), "VA 1 Owaited");
            }
            assertTrue(sentTimeMillis(node.await("mg")) <= LONG_TIMEOUT_MILLIS - HELD_MILLIS,
                "waited for " + HELD_MILLIS + " ms");
            RunningProxy.ending(service).join();
        }
    }

    /**
     * A request on a connection that arrives while the event loop is blocked has that much less time left.
     */
    @Test
    public void sendsLessTimeForRequestsThatArriveWhileLoopIsBlocked() throws Exception {
        try (Peer node = new Peer(RunningProxy.hit("v"));
            Peer discovery = new Peer(message -> RunningProxy.WATCH)) {
            ProxyService service = RunningProxy
                .service(new ProxyConfiguration(withLongObjective(settings(discovery, List.of(node), node))));
            CountDownLatch blocked = new CountDownLatch(1);
            CountDownLatch release = new CountDownLatch(1);
            service.setDrained("s-0", false, listed -> { // runs on the loop
                blocked.countDown();
                await(release);
            });
            blocked.await();
            try (Client client = new Client(service.port())) {
                client.say("mg k v Oheldup Pc=read,t=acme,d=" + LONG_TIMEOUT_MILLIS + "\r\n");
                Thread.sleep(HELD_MILLIS);
                release.countDown();
                assertEquals(client.line(), "VA 1 Oheldup");
            }
            assertTrue(sentTimeMillis(node.await("mg")) <= LONG_TIMEOUT_MILLIS - HELD_MILLIS,
                "held for " + HELD_MILLIS + " ms");
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
    public void sendsFullTimeForRequestsAfterPause(String before, String response) throws Exception {
        try (Peer node = new Peer(RunningProxy.hit("v"));
            Peer discovery = new Peer(message -> RunningProxy.WATCH)) {
            ProxyService service = RunningProxy
                .service(new ProxyConfiguration(withLongObjective(settings(discovery, List.of(node), node))));
            try (Client client = new Client(service.port())) {
                client.say(before);
                for (int i = before.split("\n").length; i > 0; i--) {
                    assertEquals(client.line(), response);
                }
                Thread.sleep(PAUSE_MILLIS);
                client.say("mg k v Olater Pc=read,t=acme,d=" + PAUSE_MILLIS + "\r\n");
                assertEquals(client.line(), "VA 1 Olater");
            }
            assertTrue(sentTimeMillis(node.await("mg")) > PAUSE_MILLIS / 2, "the earlier pause was deducted");
            RunningProxy.ending(service).join();
        }
    }

    private static long sentTimeMillis(String message) {
        Matcher wait = TIMEOUT.matcher(message);
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
    private static String withLongObjective(String settings) {
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
    private int runClient(int port, long seed, int clientIndex, Random random) {
        int answeredCount = 0;
        try (Client client = new Client(port)) {
            for (int i = 0; i < REQUESTS_EACH; i++) {
                String id = "s" + seed + "c" + clientIndex + "x" + i;
                long timeoutMillis = MIN_TIMEOUT_MILLIS
                    + random.nextInt(MAX_TIMEOUT_MILLIS - MIN_TIMEOUT_MILLIS);
                boolean write = random.nextInt(4) == 0;
                sent.put(id, new Sent(Long.MAX_VALUE, timeoutMillis)); // not written yet
                client.say(write
                    ? "ms k" + clientIndex + " 1 O" + id + " Pc=put,t=acme,d=" + timeoutMillis + ",k=" + id
                        + "\r\na\r\n"
                    : "mg k" + clientIndex + " v O" + id + " Pc=read,t=acme,d=" + timeoutMillis + ",h=9\r\n");
                sent.put(id, new Sent(System.nanoTime(), timeoutMillis));
                String line = client.line();
                assertNotNull(line, "no answer to " + id);
                if (line.startsWith("VA")) {
                    client.line();
                }
                answeredCount++;
            }
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
        return answeredCount;
    }

    private void recordAttempt(String message) {
        Matcher id = ID.matcher(message);
        Matcher wait = TIMEOUT.matcher(message);
        assertTrue(id.find() && wait.find(), message);
        Sent request = sent.get(id.group(1));
        Long response = lastResponseNanos.get(id.group(1));
        boolean comparable = response != null && request.sentAtNanos != Long.MAX_VALUE;
        long elapsedMillis = comparable ? Math.max(0, (response - request.sentAtNanos) / NANOS_PER_MILLI) : 0;
        attempts.add(
            new Attempt(message, Long.parseLong(wait.group(1)), request.timeoutMillis - elapsedMillis,
                response != null));
    }

    private void delayAndRecordResponse(String message, Random random) {
        try {
            Thread.sleep(random.nextInt(MAX_DELAY_MILLIS));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
        Matcher id = ID.matcher(message);
        assertTrue(id.find(), message);
        lastResponseNanos.put(id.group(1), System.nanoTime());
    }

    private String cacheNode(String message, Random random) {
        if (message.startsWith("stats")) {
            return "STAT rif 0\r\nEND\r\n";
        }
        recordAttempt(message);
        delayAndRecordResponse(message, random);
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
        recordAttempt(message);
        delayAndRecordResponse(message, random);
        return switch (random.nextInt(6)) {
            case 0 -> "HTTP/1.1 500 no\r\nContent-Length: 0\r\n\r\n";
            case 1 -> "HTTP/1.1 503 no\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
            default -> "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv";
        };
    }
}
