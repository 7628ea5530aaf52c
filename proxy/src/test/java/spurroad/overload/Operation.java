package spurroad.overload;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Locale;
import spurroad.fixture.ScriptedPeers;
import spurroad.overload.Platform.Proxy;
import spurroad.transport.Clock;
import spurroad.transport.EventLog;
import spurroad.transport.EventLoop;
import spurroad.transport.Threads;

/**
 * Measures the behavior that operators rely on, with real proxies limited to a fraction of a core between
 * fake endpoints on loopback: the latency of admin calls under load and silent callers, how soon a drained
 * cache node gets no further requests, how many connections a hot restart closes and how much memory it
 * holds, and the memory for slow readers of large values. It ends by itself after some three minutes.
 *
 * <p>Properties: {@code jar}, {@code share} (of a core), {@code per} (requests per second at multiple one),
 * {@code bans}, {@code upgrades}, {@code readers}.
 */
public final class Operation {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int MAX_CONNECTIONS = 128;
    private static final int SILENT_CALLERS = 100;
    private static final String FLAGS = "-XX:-UsePerfData -Xms44m -Xmx44m -Xmn24m -XX:+UseSerialGC "
        + "-XX:TieredStopAtLevel=1 -Xbatch -Xss256k " + StackFlags.ofThisMachine()
        + " -XX:MaxDirectMemorySize=16m "
        + "-Djdk.nio.maxCachedBufferSize=16384 -Djava.net.preferIPv4Stack=true";

    private final Clock clock = new Clock();
    private final EventLoop servers;
    private final EventLoop clients;
    private final FakeFleet fleet;
    private final Platform platform = new Platform();
    private final String command = "java " + FLAGS + " -jar "
        + Path.of(System.getProperty("jar", "proxy/target/spurroad.jar")).toAbsolutePath();
    private final double share = Double.parseDouble(System.getProperty("share", "0.5"));
    private final double baseRate = Double.parseDouble(System.getProperty("per", "270"));
    private final String configuration;
    private final LoadGenerator load;

    private Operation() throws IOException {
        EventLog log = new EventLog();
        servers = new EventLoop(log, clock);
        clients = new EventLoop(log, clock);
        new Threads(log).start("servers", servers);
        new Threads(log).start("clients", clients);
        fleet = new FakeFleet(servers, log);
        configuration = configuration(384, fleet.targets());
        load = new LoadGenerator(clients,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), platform.port), 7);
    }

    private String configuration(int sockets, String... targets) {
        return ScriptedPeers.start(1, sockets, ScriptedPeers.list(1, true, targets))
            .replace("\"cores\":64.0", "\"cores\":" + share)
            .replace("\"sloTimeUs\":8000000", "\"sloTimeUs\":300000")
            .replace("\"memory_mb\":192", "\"memory_mb\":144")
            .replace("\"allowancePerS\":1000", "\"allowancePerS\":100000");
    }

    public static void main(String[] args) throws Exception {
        Operation operation = new Operation();
        try {
            operation.adminCalls();
            operation.drains(Integer.getInteger("bans", 100));
            operation.upgrades(Integer.getInteger("upgrades", 20));
            operation.slowReaders(Integer.getInteger("readers", 200));
        } finally {
            operation.platform.close();
        }
        System.exit(0);
    }

    private Proxy startProxy(String text) throws IOException, InterruptedException {
        Proxy proxy = platform.ready(text, command);
        new ProcessBuilder("bin/hold-to-share", Long.toString(proxy.pid()), Double.toString(share), "10",
            "600")
            .inheritIO()
            .start();
        return proxy;
    }

    private void startLoad(double multiple) {
        Overload.call(clients, () -> {
            load.start(LoadPlan.of(baseRate * multiple, MAX_CONNECTIONS, LoadPlan.Retry.SPREAD));
            return load.takeStatistics();
        });
    }

    private static void print(String format, Object... values) {
        System.out.printf(Locale.ROOT, format + "%n", values);
    }

    /**
     * Measures admin calls at sixteen times the load, with callers that send nothing and reconnect as soon as
     * they are disconnected.
     */
    private void adminCalls() throws Exception {
        Proxy proxy = startProxy(configuration);
        for (int i = 0; i < SILENT_CALLERS; i++) {
            Thread thread = new Thread(() -> callSilently(proxy.adminPort()));
            thread.setDaemon(true);
            thread.start();
        }
        startLoad(16);
        Thread.sleep(2_000);
        double[] latenciesMillis = new double[60];
        int failed = 0;
        for (int i = 0; i < latenciesMillis.length; i++) {
            long startNanos = System.nanoTime();
            failed += proxy.call("GET", i % 2 == 0 ? "/stats" : "/healthcheck").startsWith("HTTP/1.1 200") ? 0
                : 1;
            latenciesMillis[i] = (System.nanoTime() - startNanos) / 1e6;
            Thread.sleep(200);
        }
        LoadStatistics statistics = Overload.call(clients, load::takeStatistics);
        Arrays.sort(latenciesMillis);
        print(
            "admin calls at %d requests a second, %d silent callers: longest %.0f ms, median %.0f ms, "
                + "%d of %d failed; served in time %d, rejections %d",
            (int) (16 * baseRate), SILENT_CALLERS, latenciesMillis[latenciesMillis.length - 1],
            latenciesMillis[latenciesMillis.length / 2], failed,
            latenciesMillis.length, statistics.inTime, statistics.rejections);
        proxy.kill();
        proxy.ended(10);
    }

    private static void callSilently(int port) {
        for (long deadlineNanos = System.nanoTime() + 20_000 * NANOS_PER_MILLI; System.nanoTime()
            < deadlineNanos;) {
            try (Socket s = new Socket(InetAddress.getLoopbackAddress(), port)) {
                s.setSoTimeout(4_000);
                s.getInputStream().read();
            } catch (IOException e) {
                // the admin server closed the connection, or the read timed out
            }
        }
    }

    /** Measures how soon a drained cache node gets no further requests. */
    private void drains(int count) throws Exception {
        Proxy proxy = startProxy(configuration);
        startLoad(1);
        Thread.sleep(2_000);
        double longestDelayMillis = 0;
        int late = 0;
        int unusedAfterReturn = 0;
        int failed = 0;
        for (int i = 0; i < count; i++) {
            int index = i % FakeFleet.CACHE_NODES;
            FakeEndpoint node = fleet.cacheNode(index);
            String path = "/cache-nodes/" + FakeFleet.cacheNodeId(index);
            failed += proxy.call("POST", path + "/maint").startsWith("HTTP/1.1 200") ? 0
                : 1;
            long respondedAtNanos = clock.now();
            Thread.sleep(300);
            double delayMillis = (node.lastRequestNanos() - respondedAtNanos) / 1e6;
            longestDelayMillis = Math.max(longestDelayMillis, delayMillis);
            late += delayMillis > 0 ? 1 : 0;
            failed += proxy.call("POST", path + "/ready").startsWith("HTTP/1.1 200") ? 0
                : 1;
            long returnedAtNanos = clock.now();
            Thread.sleep(300);
            unusedAfterReturn += node.lastRequestNanos() < returnedAtNanos ? 1 : 0;
        }
        print(
            "%d drains at %d requests a second: %d with a request after the response, the latest %.1f ms "
                + "after; %d calls failed; %d times no request within 0.3 s of the return to use",
            count, (int) baseRate, late, longestDelayMillis, failed, unusedAfterReturn);
        proxy.kill();
        proxy.ended(10);
    }

    /** Measures the rejections and the memory of hot restarts. */
    private void upgrades(int count) throws Exception {
        Proxy old = startProxy(configuration);
        startLoad(1);
        Thread.sleep(2_000);
        Overload.call(clients, load::takeStatistics);
        double maxResidentMb = 0;
        double longestStartSeconds = 0;
        for (int i = 0; i < count; i++) {
            long startNanos = System.nanoTime();
            Proxy next = startProxy(configuration);
            longestStartSeconds = Math.max(longestStartSeconds, (System.nanoTime() - startNanos) / 1e9);
            old.terminate();
            while (old.alive()) {
                maxResidentMb = Math.max(maxResidentMb, old.residentMb() + next.residentMb());
                Thread.sleep(20);
            }
            old = next;
            Thread.sleep(500);
        }
        LoadStatistics statistics = Overload.call(clients, load::takeStatistics);
        print(
            "%d upgrades at %d requests a second: %d of %d requests disconnected, %d failed, %d rejections; "
                + "ready after %.1f s at most; both processes hold %.0f MiB at most",
            count, (int) baseRate, statistics.disconnected, statistics.offered, statistics.failed,
            statistics.rejections,
            longestStartSeconds, maxResidentMb);
        Overload.call(clients, () -> {
            load.stop();
            return null;
        });
        old.kill();
        old.ended(10);
    }

    /** Measures the memory held for clients that read large values slowly. */
    private void slowReaders(int count) throws Exception {
        try (LargeValueNode node = new LargeValueNode()) {
            Proxy proxy = startProxy(configuration(1024,
                ScriptedPeers.target("s-l", "m1", node.port(), "active", 0)));
            double before = proxy.residentMb();
            double maxResidentMb = 0;
            SlowReaders readers = new SlowReaders(platform.port, count);
            while (readers.running()) {
                maxResidentMb = Math.max(maxResidentMb, proxy.residentMb());
                Thread.sleep(50);
            }
            print(
                "%d clients reading 4 MiB at some 200 KiB a second: %d complete; "
                    + "%.0f MiB at most, %.0f before",
                count, readers.completed(), maxResidentMb, before);
            proxy.kill();
        }
    }
}
