package spurroad.program;

import java.util.concurrent.CountDownLatch;
import java.util.function.Function;
import spurroad.configuration.ProxyConfiguration;
import spurroad.fixture.ScriptedPeers;
import spurroad.fixture.ScriptedPeers.Peer;
import spurroad.program.restart.HotRestart;
import spurroad.transport.Clock;
import spurroad.transport.EventLog;
import spurroad.transport.Threads;

/** Starts proxies for tests, and holds the requests and responses that most tests use. */
final class RunningProxy {
    static final String READ = "mg k v O1 Pc=read,t=acme,d=9000\r\n";
    static final String WATCH = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    static String id(String message) {
        return message.replaceFirst("(?s).*? O(\\S+).*", "$1");
    }

    static Function<String, String> hit(String value) {
        return message -> message.startsWith("stats") ? "STAT inflight 0\r\nEND\r\n"
            : "VA " + value.length() + " O" + id(message) + "\r\n" + value + "\r\n";
    }

    static String ok(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    static ProxyService service(ProxyConfiguration start) throws Exception {
        return service(start, new EventLog());
    }

    static ProxyService service(ProxyConfiguration start, EventLog log) throws Exception {
        return LeftServices
            .add(new ProxyService(start, new Threads(log), log, new Clock(), HotRestart.of(start, log)));
    }

    static ProxyService proxy(Peer discovery, int sockets, String... targets) throws Exception {
        return service(new ProxyConfiguration(
            ScriptedPeers.start(discovery.port, sockets, ScriptedPeers.list(1, true, targets))));
    }

    static ProxyService proxy(Peer node, Peer origin) throws Exception {
        return proxy(new Peer(message -> WATCH), 256,
            ScriptedPeers.target("s-1", "m1", node.port, "active", 0),
            ScriptedPeers.target("s-o", "origin", origin.port, "active", 0));
    }

    /** Begins a graceful shutdown, on a thread of its own. */
    static Thread ending(ProxyService s) {
        Thread shutdown = new Thread(() -> {
            try {
                s.end();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        shutdown.start();
        return shutdown;
    }

    static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Responds as a cache hit, but not before the latch opens. */
    static Function<String, String> heldUntil(CountDownLatch open) {
        return message -> {
            await(open);
            return hit("v").apply(message);
        };
    }

    private RunningProxy() {}
}
