package spurroad.program;

import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import spurroad.admin.AdminRoutes;
import spurroad.admin.StatsdExport;
import spurroad.configuration.ProxyConfiguration;
import spurroad.model.Fleet;
import spurroad.program.restart.HotRestart;
import spurroad.routing.ClientConnections;
import spurroad.routing.EndpointWatch;
import spurroad.routing.LoadBalancerThread;
import spurroad.routing.PeerGossip;
import spurroad.routing.SocketFactory;
import spurroad.transport.Clock;
import spurroad.transport.DescriptorBudget;
import spurroad.transport.EventLog;
import spurroad.transport.EventLoop;
import spurroad.transport.Listener;
import spurroad.transport.Threads;

/**
 * One proxy: builds its components in dependency order, starts them and is their facade.
 * {@link SettingsReload}, {@link AdminOperations} and {@link GracefulShutdown} act on the running proxy.
 */
public final class ProxyService {
    // ns; surplus bytes after a response arrive sooner, so a connection idle for longer has none pending
    private static final long IDLE_BEFORE_REUSE_NANOS = 10_000_000L;

    private final ProxyConfiguration configuration;
    private final EventLog log;
    private final HotRestart hotRestart;
    private final DescriptorBudget descriptors;
    private final EventLoop loop;
    private final LoadBalancerThread loadBalancer;
    private final Listener listener;
    private final ClientAcceptance acceptance;
    private final StatsdExport metrics;
    private final SettingsReload settingsReload;
    private final AdminOperations adminOperations;
    private final EndpointWatch endpointWatch;
    private final CountDownLatch closed = new CountDownLatch(1);
    private final GracefulShutdown gracefulShutdown;

    /**
     * Starts a proxy. It accepts clients once this returns, but not before the first endpoint list has
     * arrived or timed out if discovery pushes lists.
     *
     * @param hotRestart coordinates the processes of this proxy; null if there can be no other
     */
    public ProxyService(ProxyConfiguration configuration, Threads threads, EventLog log, Clock clock,
                        HotRestart hotRestart)
        throws IOException, InterruptedException {
        this(configuration, threads, log, clock, hotRestart, new StartBudget());
    }

    /**
     * Starts a proxy.
     *
     * @param hotRestart coordinates the processes of this proxy; null if there can be no other
     * @param budget limits the wait for the first endpoint list if discovery pushes lists
     */
    ProxyService(ProxyConfiguration configuration, Threads threads, EventLog log, Clock clock,
                 HotRestart hotRestart, StartBudget budget)
        throws IOException, InterruptedException {
        this.configuration = configuration;
        this.log = log;
        this.hotRestart = hotRestart;
        descriptors = new DescriptorBudget(
            hotRestart == null ? configuration.connectionPermits : hotRestart.descriptorLimit());
        loop = new EventLoop(log, clock);
        loadBalancer = new LoadBalancerThread(configuration, threads, loop, log, clock, descriptors,
            SocketFactory.TCP, IDLE_BEFORE_REUSE_NANOS);
        ClientConnections clients = new ClientConnections(configuration, loop, log, loadBalancer,
            descriptors.availableForClients());
        listener = listener(clients);
        acceptance = new ClientAcceptance(listener);
        endpointWatch = new EndpointWatch(configuration, threads, loop, log, loadBalancer);
        LocalProcessControl processControl = new LocalProcessControl(loadBalancer, descriptors);
        settingsReload = new SettingsReload(configuration, endpointWatch, clients, log);
        metrics = ProxyMetrics.export(loadBalancer, settingsReload, clock);
        adminOperations = new AdminOperations(acceptance, metrics, processControl, hotRestart);
        gracefulShutdown = new GracefulShutdown(acceptance, listener, clients, hotRestart, log);
        connectLoadBalancer(endpointWatch, threads);
        startThreads(threads, processControl);
        startAccepting(endpointWatch, budget);
    }

    /** Listens on the configured address or on the socket that the process inherited. */
    private Listener listener(ClientConnections clients) throws IOException {
        if (configuration.listenDescriptor.isEmpty()) {
            return new Listener(configuration.listenAddress, loop, descriptors.clientPermits(), clients, log);
        }
        boolean shared = hotRestart != null && hotRestart.isAnotherServing();
        return new Listener(inheritedSocket(), shared, loop, descriptors.clientPermits(), clients, log);
    }

    private static ServerSocketChannel inheritedSocket() throws IOException {
        if (System.inheritedChannel() instanceof ServerSocketChannel socket) {
            return socket;
        }
        throw new IOException("descriptor 0 is not a listening socket, though BALANCER_LISTEN_FD is set");
    }

    /** Connects the load balancer to discovery and peer gossip, and passes it the initial endpoint list. */
    private void connectLoadBalancer(EndpointWatch endpointWatch, Threads threads) {
        loadBalancer.setDiscoveryPoller(endpointWatch);
        Fleet fleet = configuration.settings.deployment.fleet();
        if (fleet.gossipEnabled()) {
            loadBalancer.setPeerGossip(
                new PeerGossip(configuration.peerAddresses, fleet.proxyIndex(), threads, log, loadBalancer));
        }
        loadBalancer.onEndpointUpdate(configuration.initialEndpoints);
    }

    private void startThreads(Threads threads, LocalProcessControl processControl)
        throws InterruptedException {
        threads.start("load balancer", loadBalancer);
        threads.start("event loop", loop);
        if (hotRestart != null) {
            hotRestart.startServing(processControl);
            threads.start("hot restart", hotRestart);
        }
    }

    /**
     * Accepts clients at once, unless discovery pushes lists. A pushed list applies to all requests from the
     * start of the process, so clients are accepted only after the first list has arrived or the wait for it
     * has ended.
     */
    private void startAccepting(EndpointWatch endpointWatch, StartBudget budget) {
        if (endpointWatch.isPushed()) {
            loop.execute(() -> loop.schedule(budget.firstListNanos(), acceptance::open));
            endpointWatch.startWatching(acceptance::open);
        } else {
            acceptance.open();
        }
        log.info("serving", "name=" + configuration.name + " address=" + configuration.listenAddress
            + " clientPermits=" + descriptors.availableForClients()
            + " endpointPermits=" + descriptors.availableForEndpoints());
    }

    /** Returns the port that clients connect to. */
    public int port() {
        return listener.port();
    }

    /** Returns the operations of this proxy for the admin server. */
    public AdminRoutes adminRoutes() {
        return adminOperations.routes();
    }

    StatsdExport metrics() {
        return metrics;
    }

    /** Drains a cache node or returns it to use; see {@link AdminOperations#setDrained}. */
    void setDrained(String id, boolean drained, Consumer<Boolean> onResult) {
        adminOperations.setDrained(id, drained, () -> {}, onResult);
    }

    /**
     * Reads a configuration and applies all of its settings at once, or none if it is invalid.
     *
     * @param source reads and checks it; throws {@link spurroad.configuration.InvalidSettingException} if it
     *     is invalid
     */
    public void reload(Supplier<ProxyConfiguration> source) {
        settingsReload.reload(source);
    }

    /** Shuts this proxy down gracefully; returns when no client is connected or closing has timed out. */
    public void end() throws InterruptedException {
        gracefulShutdown.run();
    }

    /** Stops the threads and closes the sockets at once, without a response to any request. */
    void close() {
        loadBalancer.shutdown();
        loop.execute(() -> {
            endpointWatch.close();
            loop.shutdown();
            closed.countDown();
        });
    }

    /** Waits until {@link #close} has closed the sockets, or the timeout in milliseconds has passed. */
    void awaitClosed(long timeoutMillis) throws InterruptedException {
        closed.await(timeoutMillis, TimeUnit.MILLISECONDS);
    }
}
