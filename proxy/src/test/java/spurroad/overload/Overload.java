package spurroad.overload;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import spurroad.fixture.ScriptedPeers;
import spurroad.transport.Clock;
import spurroad.transport.EventLog;
import spurroad.transport.EventLoop;
import spurroad.transport.Threads;

/**
 * Drives one real proxy, a process of its own limited to a fraction of a core, through loads that are
 * multiples of a base rate, between fake endpoints on loopback. Prints the outcomes of the requests and the
 * proxy's processor time. It ends by itself.
 *
 * <p>Properties: {@code jar}, {@code share} (of a core; 0 for a whole core), {@code per} (requests per second
 * at multiple one), {@code times} (multiples, in order), {@code seconds} (per multiple), {@code retry},
 * {@code flags} (of the proxy's virtual machine), {@code core} (number of the core that the proxy runs on, if
 * {@code taskset} is available), {@code stall} (seconds for which the proxy is stopped in the middle of each
 * load).
 */
public final class Overload {
    private static final int MAX_CONNECTIONS = 341; // a third of the proxy's 1,024 descriptors
    private static final long SETTLE_MILLIS = 2_000; // at the beginning of each load, not counted
    private static final String FLAGS = "-XX:-UsePerfData -Xms64m -Xmx64m -Xmn40m -XX:+UseSerialGC "
        + "-XX:TieredStopAtLevel=1 -Xbatch -Xss256k " + StackFlags.ofThisMachine();

    private Overload() {}

    public static void main(String[] args) throws Exception {
        String jar = System.getProperty("jar", "proxy/target/spurroad.jar");
        double share = Double.parseDouble(System.getProperty("share", "0.42"));
        double baseRate = Double.parseDouble(System.getProperty("per", "270"));
        double seconds = Double.parseDouble(System.getProperty("seconds", "8"));
        double stall = Double.parseDouble(System.getProperty("stall", "0"));
        String[] multiples = System.getProperty("times", "1,2,4,8,16,1").split(",");
        LoadPlan.Retry retry = LoadPlan.Retry.valueOf(System.getProperty("retry", "AT_ONCE"));

        EventLog log = new EventLog();
        Clock clock = new Clock();
        EventLoop servers = new EventLoop(log, clock);
        EventLoop clients = new EventLoop(log, clock);
        new Threads(log).start("servers", servers);
        new Threads(log).start("clients", clients);
        String[] targets = new FakeFleet(servers, log).targets();
        int port = freePort();
        Process proxy = startProxy(jar, port, share, targets);
        Runtime.getRuntime().addShutdownHook(new Thread(proxy::destroyForcibly));
        awaitReady(port);
        if (share > 0) {
            new ProcessBuilder("bin/hold-to-share", Long.toString(proxy.pid()), Double.toString(share), "10",
                Double.toString(seconds * multiples.length + 30)).inheritIO().start();
        }
        LoadGenerator load = new LoadGenerator(clients,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 7);
        System.out
            .println("times offered/s in-time/s late/s rejections/s timed-out/s failed/s no-conn/s opened/s "
                + "broken cut-off p50ms p99ms cpu switches/s threads us/answer");
        for (String multipleText : multiples) {
            double multiple = Double.parseDouble(multipleText);
            call(clients, () -> {
                load.start(LoadPlan.of(baseRate * multiple, MAX_CONNECTIONS, retry));
                return null;
            });
            Thread.sleep(SETTLE_MILLIS);
            call(clients, load::takeStatistics);
            ProcessUsage usageBefore = ProcessUsage.of(proxy.pid());
            if (stall > 0) {
                signal("STOP", proxy.pid());
                Thread.sleep((long) (stall * 1000));
                signal("CONT", proxy.pid());
            }
            Thread.sleep((long) (seconds * 1000));
            LoadStatistics statistics = call(clients, load::takeStatistics);
            double elapsedSeconds = seconds + stall;
            ProcessUsage usageAfter = ProcessUsage.of(proxy.pid());
            double cpuSeconds = usageAfter.cpuSeconds() - usageBefore.cpuSeconds();
            System.out.printf(Locale.ROOT,
                "%s %.0f %.0f %.0f %.0f %.0f %.0f %.0f %.0f %d %d %.1f %.1f %.2f %.0f %d %.0f%n",
                multipleText, statistics.offered / elapsedSeconds, statistics.inTime / elapsedSeconds,
                statistics.late / elapsedSeconds, statistics.rejections / elapsedSeconds,
                statistics.timedOut / elapsedSeconds, statistics.failed / elapsedSeconds,
                statistics.connectionWaits / elapsedSeconds, statistics.connectionsOpened / elapsedSeconds,
                statistics.disconnected, statistics.truncated,
                statistics.latencyMicros.getValueAtPercentile(50) / 1e3,
                statistics.latencyMicros.getValueAtPercentile(99) / 1e3, cpuSeconds / elapsedSeconds,
                (usageAfter.contextSwitches() - usageBefore.contextSwitches()) / elapsedSeconds,
                usageAfter.threads(),
                1e6 * cpuSeconds / Math.max(1, statistics.served() + statistics.rejections));
        }
        proxy.destroy();
        proxy.waitFor(10, TimeUnit.SECONDS);
        System.exit(0);
    }

    private static void signal(String name, long pid) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(pid)).start().waitFor();
    }

    static <T> T call(EventLoop loop, Supplier<T> work) {
        CompletableFuture<T> done = new CompletableFuture<>();
        loop.execute(() -> done.complete(work.get()));
        return done.join();
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private static Process startProxy(String jar, int port, double share, String[] targets)
        throws IOException {
        String start = ScriptedPeers
            .start(freePort(), 1024, ScriptedPeers.list(1, true, targets))
            .replace("\"cores\":64.0", "\"cores\":" + (share > 0 ? share : 1))
            .replace("127.0.0.1:0\"", "127.0.0.1:" + port + "\"")
            .replace("\"sloTimeUs\":8000000", "\"sloTimeUs\":300000")
            .replace("\"allowancePerS\":1000", "\"allowancePerS\":100000")
            .replace("\"maxRetryAfterUs\":2000000", "\"maxRetryAfterUs\":500000");
        Path file = Files.createTempFile("spurroad", ".json");
        Files.writeString(file, start);
        file.toFile().deleteOnExit();
        String core = System.getProperty("core", "");
        List<String> command = new ArrayList<>(core.isEmpty() ? List.of("java")
            : List.of("taskset", "-c", core, "java"));
        command.addAll(List.of(System.getProperty("flags", FLAGS).split(" ")));
        command.addAll(List.of("-jar", jar, "serve"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("BALANCER_CONFIG", file.toString());
        File out = new File("target/overload-proxy.log");
        return builder.redirectErrorStream(true).redirectOutput(out).start();
    }

    private static void awaitReady(int port) throws InterruptedException {
        for (int i = 0; i < 200; i++) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket.getOutputStream().write("mn\r\n".getBytes());
                if (socket.getInputStream().read() == 'M') {
                    return;
                }
            } catch (IOException e) {
                Thread.sleep(50); // the proxy does not listen yet
            }
        }
        throw new IllegalStateException("the proxy did not answer a no-op; see target/overload-proxy.log");
    }
}
