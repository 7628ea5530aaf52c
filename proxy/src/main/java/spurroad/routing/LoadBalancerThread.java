package spurroad.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import spurroad.admission.ServiceLevel;
import spurroad.balancer.LoadBalancer;
import spurroad.configuration.DeploymentSettings;
import spurroad.configuration.ProxyConfiguration;
import spurroad.model.AdminStatus;
import spurroad.model.EndpointId;
import spurroad.model.PeerUpdate;
import spurroad.protocol.EndpointList;
import spurroad.protocol.UpstreamReply;
import spurroad.transport.Clock;
import spurroad.transport.DescriptorBudget;
import spurroad.transport.EventLog;
import spurroad.transport.EventLoop;
import spurroad.transport.Mailbox;
import spurroad.transport.StallDetector;
import spurroad.transport.Threads;

/**
 * The one thread that calls {@link LoadBalancer}, and its inbox: the methods here post messages, which the
 * thread runs in order. {@link RequestEvents} and {@link ControlEvents} pass the events on to the load
 * balancer, {@link DecisionExecutor} carries out the decisions, and {@link LoopOutbox} hands their results to
 * the event loop. {@link InFlightRequests} and {@link EndpointRegistry} hold the state, which is this
 * thread's own.
 */
public final class LoadBalancerThread implements Runnable {
    /** Asked to follow the endpoint list when the load balancer wants it. */
    public interface DiscoveryPoller {
        /** Asks discovery for the list, and follows its changes. */
        void poll();
    }

    /** Messages run before their results are handed over: no more than a millisecond's work. */
    private static final int MESSAGES_PER_FLUSH = 32;
    /** Messages; a dozen for each request that there is room for. */
    private static final int MAILBOX_CAPACITY = 1 << 16;
    private static final int MAX_WAITING_PEER_UPDATES = 4096; // further ones are lost
    private static final long LOG_FLUSH_MILLIS = 200; // for the last lines to be written
    private static final int FAILURE_EXIT_CODE = 70; // EX_SOFTWARE: a fault of the program itself

    private final Mailbox mailbox = new Mailbox(MAILBOX_CAPACITY);
    /** {@link BalancerMessage}s posted together at the end of an iteration of the event loop; the loop's. */
    private final List<Runnable> fromLoop = new ArrayList<>();
    private final AtomicInteger waitingPeerUpdates = new AtomicInteger();
    private final OutcomeStatistics statistics = new OutcomeStatistics();
    private final StallDetector stalls = new StallDetector();
    private final Threads threads;
    private final Clock clock;
    private final EventLog log;
    private final RuleMonitor rules;
    private final LoopOutbox outbox;
    private final EndpointRegistry endpoints;
    private final DecisionExecutor executor;
    private final RequestEvents requestEvents;
    private final ControlEvents controlEvents;
    private boolean shutdown;

    /**
     * Creates the load balancer and its inbox; nothing runs yet.
     *
     * @param reuseDelayNanos how long a connection to an endpoint rests between two attempts
     */
    public LoadBalancerThread(ProxyConfiguration start, Threads threads, EventLoop loop, EventLog log,
                              Clock clock,
                              DescriptorBudget descriptors,
                              SocketFactory socketFactory, long reuseDelayNanos) {
        this.threads = threads;
        this.clock = clock;
        this.log = log;
        rules = new RuleMonitor(log);
        outbox = new LoopOutbox(loop);
        DeploymentSettings settings = start.settings;
        LoadBalancer balancer = new LoadBalancer(settings.deployment, start.seed);
        InFlightRequests requests = new InFlightRequests();
        RequestCounters counters = new RequestCounters();
        endpoints = new EndpointRegistry(
            new EndpointConnectionPool.Environment(loop, log, rules, descriptors,
                settings.connectTimeoutNanos, settings.deployment.idleTimeoutNanos(), reuseDelayNanos,
                socketFactory, this::placesNeeded, this::onAttemptEnd, statistics::onForwarded),
            outbox, settings);
        executor = new DecisionExecutor(balancer, endpoints, requests, counters, outbox, clock, log, stalls,
            this::onUnroutableProbe, settings);
        requestEvents = new RequestEvents(balancer, executor, requests, counters, outbox, clock, stalls,
            settings);
        controlEvents = new ControlEvents(balancer, executor, endpoints, requestEvents, counters, outbox,
            settings.deployment.fleet(), clock, log);
        loop.onIterationEnd(this::postFromLoop);
    }

    /** To be called before the thread starts. */
    public void setDiscoveryPoller(DiscoveryPoller poller) {
        executor.setDiscoveryPoller(poller);
    }

    /** To be called before the thread starts, where proxies exchange updates. */
    public void setPeerGossip(PeerGossip gossip) {
        executor.setPeerGossip(gossip);
    }

    /** To be called before the thread starts. */
    void setAdmissionController(AdmissionController controller) {
        requestEvents.setAdmissionController(controller);
    }

    // ---- the thread

    @Override
    public void run() {
        threads.start("stall detector", stalls);
        try {
            while (!shutdown) {
                runMessages(mailbox.takeAll(executor.wakeAtNanos() - clock.now()));
                if (executor.wakeAtNanos() <= clock.now()) {
                    controlEvents.onTimer();
                }
                flush();
            }
        } catch (RuntimeException | Error | InterruptedException e) {
            log.warn("load balancer failed, exiting", "error=" + EventLog.describe(e));
            log.flush(LOG_FLUSH_MILLIS);
            Runtime.getRuntime().halt(FAILURE_EXIT_CODE);
        }
        stalls.stop();
    }

    private void runMessages(List<Runnable> messages) {
        int done = 0;
        for (Runnable message : messages) {
            message.run();
            if (++done % MESSAGES_PER_FLUSH == 0) {
                flush();
            }
        }
    }

    /** Hands the results of what ran since the last flush to the event loop, in one batch. */
    private void flush() {
        requestEvents.reportQueueDelay();
        outbox.flush();
    }

    /** Ends the thread once all messages before are done; nothing may be posted to it any more. */
    public void shutdown() {
        mailbox.post(new BalancerMessage.Shutdown(this));
    }

    /** On the thread itself. */
    void onShutdown() {
        shutdown = true;
    }

    // ---- from the event loop

    /** Posts what an iteration of the event loop has brought, all at once. */
    private void postFromLoop() {
        if (!fromLoop.isEmpty()) {
            mailbox.post(fromLoop);
            fromLoop.clear();
        }
    }

    /** A client's request was admitted. */
    void onRequest(ProxiedRequest request) {
        fromLoop.add(new BalancerMessage.RequestArrived(requestEvents, request));
    }

    /** The client of a request disconnected; what has not gone out for it does not begin any more. */
    void onClientDisconnect(ProxiedRequest request) {
        // at once: what has been decided meanwhile, or waits for a connection, is not begun
        request.clientDisconnected = true;
        fromLoop.add(new BalancerMessage.ClientDisconnected(requestEvents, request));
    }

    /** Fails all requests that have no response: this process is about to be killed. */
    void failAllRequests() {
        fromLoop.add(new BalancerMessage.FailAllRequests(requestEvents));
    }

    private void onAttemptEnd(UpstreamRequest attempt, UpstreamReply reply) {
        fromLoop.add(new BalancerMessage.AttemptEnded(requestEvents, attempt, reply));
    }

    /** The service level, the fraction of requests that is admitted, and rejections since the last call. */
    void onServiceLevel(ServiceLevel level, double admittedFraction, long rejected) {
        fromLoop.add(
            new BalancerMessage.ServiceLevelMeasured(controlEvents, level, admittedFraction, rejected));
    }

    /** Other settings: all requests before have been taken under the former ones. */
    void onDeploymentChange(DeploymentSettings next) {
        fromLoop.add(new BalancerMessage.DeploymentChanged(controlEvents, next));
    }

    /** Checks what is done; the loop's. */
    RuleMonitor rules() {
        return rules;
    }

    // ---- from other threads

    private void onUnroutableProbe(EndpointId endpoint) {
        mailbox.post(new BalancerMessage.ProbeUnroutable(requestEvents, endpoint));
    }

    /** An update from another proxy. A flood of them fills no mailbox: updates may be lost. */
    void onPeerUpdate(PeerUpdate update) {
        if (waitingPeerUpdates.incrementAndGet() > MAX_WAITING_PEER_UPDATES) {
            waitingPeerUpdates.decrementAndGet();
            return;
        }
        mailbox.post(new BalancerMessage.PeerUpdateReceived(controlEvents, update, waitingPeerUpdates));
    }

    /** Descriptors are short: the pools are to close idle connections. */
    void placesNeeded() {
        mailbox.post(new BalancerMessage.CloseIdlePerPool(endpoints, 1));
    }

    /** Has about so many idle connections to nodes closed. */
    public void closeIdleConnections(int connections) {
        mailbox.post(new BalancerMessage.CloseIdle(endpoints, connections));
    }

    /** The list that this process was started with, of unknown age. */
    public void onEndpointUpdate(EndpointList known) {
        onEndpointUpdate(known, EndpointStartTimes.NEVER);
    }

    /**
     * A list came from discovery.
     *
     * @param previousContactNanos when discovery was last heard before this list, Unix nanoseconds
     */
    void onEndpointUpdate(EndpointList list, long previousContactNanos) {
        mailbox.post(new BalancerMessage.EndpointListReceived(controlEvents, list, previousContactNanos));
    }

    /** A call to discovery failed, or its subscription ended. */
    public void onDiscoveryFailure() {
        mailbox.post(new BalancerMessage.DiscoveryFailed(controlEvents));
    }

    /**
     * Drains a cache node by an operator's order, or puts it back in use. Tells, on the loop, whether such a
     * cache node has been listed; by then nothing new begins at a drained one: not what waits for a
     * connection to it either.
     *
     * @param vouched whether it is so even if it was never listed here: another process has heard of it
     */
    public void setAdminDrain(EndpointId id, boolean drained, boolean vouched, Consumer<Boolean> done) {
        mailbox.post(new BalancerMessage.AdminDrainRequested(controlEvents, id, drained, vouched, done));
    }

    // ---- to be read from any thread

    /** How requests ended. */
    public OutcomeStatistics results() {
        return statistics;
    }

    /** How often a rule was broken since the start of the process, as far as is checked. */
    public long ruleViolations() {
        return rules.violations();
    }

    /** The endpoints' administrative status, less than a second after it has changed. */
    public AdminStatus adminStatus() {
        return executor.adminStatus();
    }

    /** Whether a listed endpoint is still in its slow start. */
    boolean isAnyEndpointWarmingUp(long nowNanos) {
        return endpoints.isAnyEndpointWarmingUp(nowNanos);
    }
}
