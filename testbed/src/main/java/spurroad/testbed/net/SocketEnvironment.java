package spurroad.testbed.net;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import spurroad.testbed.environment.Environment;
import spurroad.testbed.environment.FaultDriver;
import spurroad.testbed.environment.ProxyControl;
import spurroad.testbed.environment.ProxyFile;
import spurroad.testbed.environment.ProxySelector;
import spurroad.testbed.model.CacheNode;
import spurroad.testbed.model.LoadGenerator;
import spurroad.testbed.scenario.Scenario;

/**
 * Runs a scenario on loopback sockets in real time: the same models as in simulated time, on one event loop,
 * around real proxies that are processes of their own. Public methods are called from any thread but the
 * loop's, those of {@link ProxyControl} on the loop. {@link #close} ends everything that was opened or
 * started.
 */
public final class SocketEnvironment implements ProxyControl, AutoCloseable {
    private static final String LOOPBACK = "127.0.0.1:";
    private static final long USAGE_INTERVAL_MS = 500;
    /** How much later than planned the loop may end a run. */
    private static final long RUN_GRACE_MS = 10_000;
    private static final long CLOSE_TIMEOUT_SECONDS = 5;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /**
     * The resources that one proxy has used.
     *
     * @param proxy the proxy's number
     * @param cpuSeconds the processor time of all its processes
     * @param memoryMb the peak of its resident memory, in MiB
     * @param descriptors the peak of its open file descriptors
     */
    public record Used(int proxy, double cpuSeconds, double memoryMb, int descriptors) {}

    private final MultiThreadIoEventLoopGroup loopGroup = new MultiThreadIoEventLoopGroup(1,
        NioIoHandler.newFactory());
    private final EventLoop loop = loopGroup.next();
    private final SocketTimeline timeline = new SocketTimeline(loop);
    private final Signals signals;
    private final Environment environment;
    private final ProxyFile proxyFile;
    private final List<NodeServer> nodeServers = new ArrayList<>();
    private final OriginServer originServer;
    private final List<DiscoveryServer> discoveryServers = new ArrayList<>();
    private final List<ProxyProcess> proxies = new ArrayList<>();
    private final SocketGateway gateway;
    private final Consumer<String> log;
    private volatile long startedAtEpochMillis;
    private volatile String failure;

    /**
     * Opens all servers; the proxies are started by {@link #play} or {@link #open}.
     *
     * @param command how a proxy is started, without its configuration
     * @param folder the folder for the proxies' configurations and logs
     * @param log receives a line for each start and end of a fault
     */
    public SocketEnvironment(Scenario scenario, long seed, List<String> command, Path folder,
                             Consumer<String> log)
        throws IOException {
        this.log = log;
        signals = new Signals();
        environment = new Environment(scenario, seed, timeline);
        CommandFields commandFields = new CommandFields(scenario);
        originServer = new OriginServer(loop, commandFields, environment.origin);
        for (CacheNode node : environment.nodes.values()) {
            nodeServers.add(new NodeServer(loop, commandFields, node));
        }
        environment.onAppeared(node -> nodeServers.get(place(node.uid) - 1).serve(node));
        proxyFile = new ProxyFile(environment, this::address, () -> startedAtEpochMillis);
        int[] ports = new int[scenario.world().proxies()];
        for (int i = 0; i < ports.length; i++) {
            ports[i] = freePort();
            discoveryServers.add(new DiscoveryServer(loop, environment, proxyFile, i));
            proxies.add(new ProxyProcess(i, ports[i], command, folder, signals));
        }
        gateway = new SocketGateway(environment, loop, ports);
    }

    private int place(String uid) {
        return environment.members.entry(uid).place();
    }

    /** Returns the address at a place in the endpoint list, where the origin comes first. */
    private String address(int place) {
        return LOOPBACK + (place == 0 ? originServer.port() : nodeServers.get(place - 1).port());
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private String configuration(int proxy) {
        return proxyFile.configuration(proxy, LOOPBACK + proxies.get(proxy).port,
            LOOPBACK + discoveryServers.get(proxy).port());
    }

    private void startProxies() throws IOException, InterruptedException {
        for (ProxyProcess proxy : proxies) {
            proxy.start(configuration(proxy.number));
        }
        for (ProxyProcess proxy : proxies) {
            proxy.awaitReady();
        }
    }

    /** Starts the proxies and the faults, but no load; returns where each part can be reached. */
    public List<String> open() throws IOException, InterruptedException {
        startProxies();
        loop.execute(() -> {
            startTimeline();
            new FaultDriver(environment, environment.generator(gateway), this, log).begin();
        });
        List<String> addresses = new ArrayList<>();
        proxies.forEach(proxy -> addresses.add("proxy " + proxy + " " + LOOPBACK + proxy.port));
        environment.members.entries().forEach(entry -> addresses
            .add((entry.place() == 0 ? "origin " : "cache node " + entry.uid() + " ")
                + address(entry.place())));
        discoveryServers.forEach(server -> addresses.add("discovery " + LOOPBACK + server.port()));
        return addresses;
    }

    /** Runs the scenario from start to end; returns the environment with its results. */
    public Environment play() throws IOException, InterruptedException {
        startProxies();
        CompletableFuture<Void> done = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                startScenario(done);
            } catch (RuntimeException e) {
                done.completeExceptionally(e);
            }
        });
        sampleUsageUntil(done);
        if (!done.isDone()) {
            failure = "the testbed's own event loop hangs";
        }
        done.getNow(null);
        return environment;
    }

    private void startTimeline() {
        timeline.begin();
        startedAtEpochMillis = System.currentTimeMillis();
    }

    private void startScenario(CompletableFuture<Void> done) {
        startTimeline();
        LoadGenerator generator = environment.generator(gateway);
        gateway.setGenerator(generator);
        new FaultDriver(environment, generator, this, log).begin();
        environment.begin(generator);
        timeline.at(environment.endNs(), () -> {
            environment.end();
            proxies.forEach(this::checkAlive);
            done.complete(null);
        });
    }

    private void checkAlive(ProxyProcess proxy) {
        if (!proxy.isAlive() && failure == null) {
            failure = proxy + " has exited unexpectedly; see its log";
        }
    }

    private void sampleUsageUntil(CompletableFuture<Void> done) throws InterruptedException {
        long maxMillis = environment.endNs() / NANOS_PER_MILLI + RUN_GRACE_MS;
        long deadline = System.nanoTime() + maxMillis * NANOS_PER_MILLI;
        while (!done.isDone() && System.nanoTime() < deadline) {
            proxies.forEach(ProxyProcess::sampleUsage);
            Thread.sleep(USAGE_INTERVAL_MS);
        }
    }

    /** Returns why the run is invalid; null if it is valid. */
    public String failure() {
        return failure;
    }

    /** Returns how many connections clients have opened. */
    public long clientConnections() {
        return gateway.openedConnections();
    }

    /** Returns the resources that each proxy has used so far. */
    public List<Used> used() {
        return proxies.stream().map(
            proxy -> new Used(proxy.number, proxy.cpuSeconds(), proxy.peakMemoryMb(),
                proxy.peakDescriptors()))
            .toList();
    }

    // ---- faults

    @Override
    public void stopped(int proxy, boolean on) {
        proxies.get(proxy).stopped(on);
        if (on) {
            environment.checker.held(timeline.now(), proxy);
        } else {
            environment.checker.released(timeline.now(), proxy);
        }
    }

    @Override
    public void killed(int proxy, boolean on) {
        if (on) {
            kill(proxy);
        } else {
            startAgain(proxy);
        }
    }

    private void kill(int proxy) {
        environment.checker.held(timeline.now(), proxy);
        proxies.get(proxy).kill();
        timeline.after(ProxySelector.NOTICE_NS, () -> gateway.setOffered(proxy, false));
    }

    private void startAgain(int proxy) {
        try {
            environment.checker.forgets(proxy);
            proxies.get(proxy).start(configuration(proxy));
        } catch (IOException e) {
            throw new UncheckedIOException("p-" + proxy + " can't be started again", e);
        }
        Thread waiter = new Thread(() -> awaitReadyAgain(proxy), "start of p-" + proxy);
        waiter.setDaemon(true);
        waiter.start();
    }

    private void awaitReadyAgain(int proxy) {
        try {
            proxies.get(proxy).awaitReady();
            loop.execute(() -> {
                environment.checker.released(timeline.now(), proxy);
                gateway.setOffered(proxy, true);
            });
        } catch (IOException e) {
            failure = e.getMessage();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void share(int proxy, double part) {
        proxies.get(proxy).limitCpuShare(part);
    }

    // ---- end

    /** Kills the proxies' processes without waiting; for a shutdown hook. */
    public void endNow() {
        proxies.forEach(ProxyProcess::endNow);
    }

    @Override
    public void close() {
        try {
            for (ProxyProcess proxy : proxies) {
                proxy.end();
            }
        } catch (InterruptedException e) {
            endNow();
            Thread.currentThread().interrupt();
        }
        CompletableFuture<Void> closed = new CompletableFuture<>();
        loop.execute(() -> {
            closeSockets();
            closed.complete(null);
        });
        closed.orTimeout(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS).exceptionally(e -> null).join();
        loopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        signals.close();
    }

    private void closeSockets() {
        gateway.close();
        nodeServers.forEach(NodeServer::close);
        originServer.close();
        discoveryServers.forEach(DiscoveryServer::close);
    }
}
