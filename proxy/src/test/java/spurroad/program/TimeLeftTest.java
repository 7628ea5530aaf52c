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
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.Peers;
import spurroad.Peers.Client;
import spurroad.Peers.Peer;
import spurroad.start.ProxyStart;

/**
 * What attempts tell cache nodes and the origin of the time that is left to the client. Servers miss, fail,
 * turn away, break off and answer late in a random order; an attempt is held against the time that had passed
 * for certain before it began: that of the last answer to an earlier attempt of the same request.
 */
public class TimeLeftTest {
    private static final long NS_PER_MS = 1_000_000L;
    private static final int CACHE_NODES = 4;
    private static final int CLIENTS = 24;
    private static final int REQUESTS_EACH = 8;
    private static final int SHORTEST_WAIT_MS = 30;
    private static final int LONGEST_WAIT_MS = 1_500;
    private static final int LONGEST_DELAY_MS = 200;
    /** Times told are whole milliseconds, and so is the client's. */
    private static final int ROUNDING_MS = 1;
    private static final Pattern ID = Pattern.compile("(?: O|X-Request-Id: )(\\S+)");
    private static final Pattern WAIT = Pattern.compile("[P,: ]d=(\\d+)");

    /** A request of a client: when it was sent, and how long its client waits. */
    private record Sent(long atNs, long waitMs) {}

    /** An attempt as its server saw it: what it told, and what was left at most when it began. */
    private record Attempt(String message, long toldMs, long leftMs, boolean further) {}

    private final Map<String, Sent> sent = new ConcurrentHashMap<>();
    private final Map<String, Long> lastAnswer = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<Attempt> attempts = new ConcurrentLinkedQueue<>();

    @DataProvider
    Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}};
    }

    @Test(dataProvider = "seeds")
    public void noAttemptTellsMoreThanIsLeft(long seed) throws Exception {
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
            Peer discovery = new Peer(message -> ServiceTest.WATCH)) {
            Service service = ServiceTest.service(new ProxyStart(settings(discovery, cacheNodes, origin)));
            List<Thread> clients = new ArrayList<>();
            AtomicInteger answered = new AtomicInteger();
            for (int i = 0; i < CLIENTS; i++) {
                int number = i;
                Random own = new Random(random.nextLong());
                clients.add(new Thread(() -> answered.addAndGet(client(service.port(), number, own))));
            }
            clients.forEach(Thread::start);
            for (Thread client : clients) {
                client.join();
            }
            assertEquals(answered.get(), CLIENTS * REQUESTS_EACH, "requests that got an answer");
            ServiceTest.ending(service).join();
        } finally {
            for (Peer node : cacheNodes) {
                node.close();
            }
        }
        assertTrue(attempts.stream().filter(Attempt::further).count() > CLIENTS,
            "too few further attempts to tell");
        assertTrue(attempts.stream().anyMatch(a -> a.further && a.message.startsWith("GET")),
            "none at the origin");
        assertTrue(attempts.stream().anyMatch(a -> a.further && a.message.startsWith("mg")),
            "none at cache nodes");
        for (Attempt a : attempts) {
            assertTrue(a.toldMs >= 1 && a.toldMs <= Math.max(1, a.leftMs + ROUNDING_MS), a.toString());
        }
    }

    private static String settings(Peer discovery, List<Peer> cacheNodes, Peer origin) {
        String[] targets = new String[cacheNodes.size() + 1];
        for (int i = 0; i < cacheNodes.size(); i++) {
            targets[i] = Peers.target("s-" + i, "m1", cacheNodes.get(i).port, "active", 0);
        }
        targets[cacheNodes.size()] = Peers.target("origin", "origin", origin.port, "active", 0);
        return Peers.start(discovery.port, 1024, Peers.list(1, true, targets));
    }

    /** How many answers it got, to so many requests one after the other. */
    private int client(int port, int number, Random random) {
        int answered = 0;
        try (Client client = new Client(port)) {
            for (int i = 0; i < REQUESTS_EACH; i++) {
                String id = "c" + number + "x" + i;
                long waitMs = SHORTEST_WAIT_MS + random.nextInt(LONGEST_WAIT_MS - SHORTEST_WAIT_MS);
                boolean write = random.nextInt(4) == 0;
                sent.put(id, new Sent(System.nanoTime(), waitMs));
                client.say(write
                    ? "ms k" + number + " 1 O" + id + " Pc=put,t=acme,d=" + waitMs + ",k=" + id + "\r\na\r\n"
                    : "mg k" + number + " v O" + id + " Pc=read,t=acme,d=" + waitMs + ",h=9\r\n");
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
        long passedMs = answer == null ? 0 : (answer - request.atNs) / NS_PER_MS;
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
            case 2 -> ""; // breaks off
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
