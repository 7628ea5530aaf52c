package spurroad.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;
import spurroad.fixture.ScriptedPeers;
import spurroad.fixture.ScriptedPeers.Client;
import spurroad.fixture.ScriptedPeers.Peer;
import spurroad.overload.Platform;
import spurroad.overload.Platform.Proxy;

/** Real processes that inherit one listening socket and run beside each other. */
public class UpgradeTest {

    private static String configuration(Peer discovery, Peer... nodes) {
        List<String> targets = new ArrayList<>();
        for (Peer node : nodes) {
            targets.add(ScriptedPeers.target("s-" + targets.size(), "m1", node.port, "active", 0));
        }
        return ScriptedPeers
            .start(discovery.port, 256, ScriptedPeers.list(1, true, targets.toArray(String[]::new)))
            .replace("\"allowancePerS\":1000", "\"allowancePerS\":1000000"); // no tenant is over quota
    }

    /**
     * Clients that open a connection for every ten requests, and count connections closed before the first
     * response.
     */
    private static final class Load {
        private final AtomicBoolean running = new AtomicBoolean(true);
        private final AtomicInteger served = new AtomicInteger();
        private final AtomicInteger unanswered = new AtomicInteger();
        private final AtomicInteger unexpected = new AtomicInteger();
        private final List<Thread> threads = new ArrayList<>();
        private final Set<String> unexpectedResponses = new ConcurrentSkipListSet<>();

        private Load(int port) {
            for (int i = 0; i < 4; i++) {
                int number = i;
                Thread thread = new Thread(() -> run(port, number));
                thread.start();
                threads.add(thread);
            }
        }

        private void run(int port, int number) {
            for (int nextId = 0; running.get();) {
                int i = 0;
                try (Client c = new Client(port)) {
                    for (; i < 10 && running.get(); i++, nextId++) {
                        String line = c.say(RunningProxy.READ.replace("O1", "Ot" + number + "n" + nextId))
                            .line();
                        if (line == null && i > 0) {
                            break; // closed between two requests: retried on a new connection
                        }
                        if (line == null) {
                            unanswered.incrementAndGet();
                        } else if (line.startsWith("VA")) {
                            c.line();
                            served.incrementAndGet();
                        } else {
                            unexpected.incrementAndGet();
                            unexpectedResponses.add(line);
                        }
                    }
                } catch (IOException e) {
                    // a command crossed a close between two requests: retried on a new connection
                    unanswered.addAndGet(i == 0 ? 1 : 0);
                }
            }
        }

        private void end() throws InterruptedException {
            running.set(false);
            for (Thread thread : threads) {
                thread.join();
            }
        }
    }

    @Test
    public void upgradesUnderLoadRejectNoClientAndKeepDrains() throws Exception {
        try (Peer a = new Peer(RunningProxy.hit("v"));
            Peer b = new Peer(RunningProxy.hit("v"));
            Peer discovery = new Peer(m -> RunningProxy.WATCH);
            Platform platform = new Platform()) {
            String configuration = configuration(discovery, a, b);
            Proxy old = platform.ready(configuration, Platform.fromClasses());
            assertTrue(old.call("POST", "/cache-nodes/s-0/maint").startsWith("HTTP/1.1 200"));
            Load load = new Load(platform.port);
            for (int i = 0; i < 2; i++) {
                Proxy next = platform.ready(configuration, Platform.fromClasses());
                assertTrue(next.call("GET", "/stats").contains("proxy.ejected:1|g"),
                    "the drain was lost in the upgrade");
                old.terminate();
                assertTrue(old.ended(10), "the old process did not end within 10 s of SIGTERM");
                assertTrue(next.alive());
                assertTrue(Files.readString(old.log()).contains("ended"),
                    "the log lacks the end of the shutdown");
                old = next;
            }
            Thread.sleep(300);
            load.end();
            assertTrue(a.received.stream().noneMatch(m -> m.startsWith("mg")),
                "new requests to the drained node");
            assertEquals(load.unanswered.get() + load.unexpected.get(), 0,
                load.served + " served, closed before a response " + load.unanswered
                    + ", unexpected responses " + load.unexpectedResponses);
            assertTrue(load.served.get() > 100, "too few requests for an upgrade under load: " + load.served);
            assertTrue(old.call("POST", "/cache-nodes/s-0/ready").startsWith("HTTP/1.1 200"));
        }
    }

    @Test
    public void newProcessThatDiesBeforeServingChangesNothing() throws Exception {
        try (Peer a = new Peer(RunningProxy.hit("v"));
            Peer discovery = new Peer(m -> RunningProxy.WATCH);
            Platform platform = new Platform()) {
            String configuration = configuration(discovery, a);
            Proxy old = platform.ready(configuration, Platform.fromClasses());
            Proxy killed = platform.start(configuration, Platform.fromClasses());
            Thread.sleep(400);
            killed.kill();
            Proxy faulty = platform.start("{}", Platform.fromClasses());
            assertTrue(faulty.ended(20));
            try (Client c = new Client(platform.port)) {
                assertEquals(c.say(RunningProxy.READ).line(), "VA 1 O1");
            }
            old.terminate();
            Thread.sleep(100);
            assertFalse(Files.readString(old.log()).contains("load balancer failed"));
            Proxy next = platform.ready(configuration, Platform.fromClasses());
            try (Client c = new Client(platform.port)) {
                assertEquals(c.say(RunningProxy.READ).line(), "VA 1 O1",
                    "not served after a killed process left its files behind");
            }
            assertTrue(next.alive());
        }
    }
}
