package spurroad.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
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
 * The only thread that calls {@link LoadBalancer}, with its inbox: the methods of this class post messages,
 * which the thread runs in order. {@link RequestEvents} and {@link ControlEvents} pass the events to the load
 * balancer, {@link DecisionExecutor} carries out the decisions, and {@link LoopOutbox} sends the resulting
 * messages to the event loop. {@link InFlightRequests} and {@link EndpointRegistry} hold the state, which
 * belongs to this thread.
 */
public final class LoadBalancerThread implements Runnable {
    /** Polls discovery when the load balancer decides to. */
    public interface DiscoveryPoller {
        /** Requests the endpoint list from discovery and watches its changes. */
        void poll();
    }

    /** Number of messages run between flushes of the outbox: at most a millisecond of work. */
    private static final int MESSAGES_PER_FLUSH = 32;
    /** In messages: about a dozen for each request that a process can hold. */
    private static final int MAILBOX_CAPACITY = 1 << 16;
    private static final int MAX_PENDING_PEER_UPDATES = 4096; // further updates are dropped
    private static final long LOG_FLUSH_MILLIS = 200; // time to write the last lines
    private static final int FAILURE_EXIT_CODE = 70; // EX_SOFTWARE of sysexits: an internal error

    private final Mailbox mailbox = new Mailbox(MAILBOX_CAPACITY);
    /** {@link BalancerMessage}s to post at the end of the loop's iteration; used on the event loop only. */
    private final List<Runnable> fromLoop = new ArrayList<>();
    private final AtomicInteger pendingPeerUpdates = new AtomicInteger();
    private final OutcomeStatistics statistics = new OutcomeStatistics();
    private final StallDetector stalls = new StallDetector();
    private final Threads threads;
    private final Clock clock;
    private final EventLog log;
    private final RuleMonitor rules;
    private final MemoryBudgets memory;
    private final LoopOutbox outbox;
    private final EndpointRegistry endpoints;
    private final DecisionExecutor executor;
    private final RequestEvents requestEvents;
    private final ControlEvents controlEvents;
    private final AtomicBoolean closingIdle = new AtomicBoolean(); // for want of descriptors
    private boolean shutdown;

    /**
     * Creates the load balancer and its inbox without starting the thread.
     *
     * @param reuseDelayNanos how long a connection to an endpoint stays unused between two attempts
     */
    public LoadBalancerThread(ProxyConfiguration configuration, Threads threads, EventLoop loop, EventLog log,
                              Clock clock,
                              DescriptorBudget descriptors,
                              SocketFactory socketFactory, long reuseDelayNanos) {
        this.threads = threads;
        this.clock = clock;
        this.log = log;
        rules = new RuleMonitor(log);
        outbox = new LoopOutbox(loop);
        memory = new MemoryBudgets(configuration, loop, log);
        DeploymentSettings settings = configuration.settings;
        LoadBalancer balancer = new LoadBalancer(settings.deployment, configuration.seed);
        InFlightRequests requests = new InFlightRequests();
        RequestCounters counters = new RequestCounters();
        endpoints = new EndpointRegistry(
            new EndpointConnectionPool.Environment(loop, log, rules, descriptors,
                new ReplyMemory(memory.replies, memory.replyHeads), settings.connectTimeoutNanos,
                settings.deployment.idleTimeoutNanos(),
                reuseDelayNanos,
                socketFactory, this::onDescriptorShortage, this::onAttemptEnd, statistics::onForwarded),
            outbox, settings);
        executor = new DecisionExecutor(balancer, endpoints, requests, counters, outbox, clock, log, stalls,
            this::onUnroutableProbe, settings);
        requestEvents = new RequestEvents(balancer, executor, requests, counters, outbox, clock, stalls,
            settings);
        controlEvents = new ControlEvents(balancer, executor, endpoints, memory, requestEvents, counters,
            outbox,
            settings.deployment.fleet(), clock, log);
        loop.onIterationEnd(this::postFromLoop);
    }

    /** Sets the poller; must be called before the thread starts. */
    public void setDiscoveryPoller(DiscoveryPoller poller) {
        executor.setDiscoveryPoller(poller);
    }

    /** Sets the exchange of peer updates, if enabled; must be called before the thread starts. */
    public void setPeerGossip(PeerGossip gossip) {
        executor.setPeerGossip(gossip);
    }

    /** Sets the admission controller; must be called before the thread starts. */
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
        int processed = 0;
        for (Runnable message : messages) {
            message.run();
            if (++processed % MESSAGES_PER_FLUSH == 0) {
                flush();
            }
        }
    }

    /** Sends the messages added since the last flush to the event loop in one batch. */
    private void flush() {
        requestEvents.reportQueueDelay();
        outbox.flush();
    }

    /** Ends the thread after all messages posted so far; no message may be posted afterwards. */
    public void shutdown() {
        mailbox.post(new BalancerMessage.Shutdown(this));
    }

    /** Ends the thread's loop; called on the thread itself. */
    void onShutdown() {
        shutdown = true;
    }

    // ---- called on the event loop

    /** Posts the messages of an iteration of the event loop in one batch. */
    private void postFromLoop() {
        if (!fromLoop.isEmpty()) {
            mailbox.post(fromLoop);
            fromLoop.clear();
        }
    }

    /** Reports an admitted request. */
    void onRequest(ProxiedRequest request) {
        fromLoop.add(new BalancerMessage.RequestArrived(requestEvents, request));
    }

    /** Reports that the client of a request disconnected; attempts that were not sent yet do not start. */
    void onClientDisconnect(ProxiedRequest request) {
        // set at once, so that attempts already decided or waiting for a connection do not start
        request.clientDisconnected = true;
        fromLoop.add(new BalancerMessage.ClientDisconnected(requestEvents, request));
    }

    /** Fails all requests without a response because this process is about to be killed. */
    void failAllRequests() {
        fromLoop.add(new BalancerMessage.FailAllRequests(requestEvents));
    }

    private void onAttemptEnd(UpstreamRequest attempt, UpstreamReply reply) {
        fromLoop.add(new BalancerMessage.AttemptEnded(requestEvents, attempt, reply));
    }

    /** Reports the service level, the admitted fraction of requests, and rejections since the last call. */
    void onServiceLevel(ServiceLevel level, double admittedFraction, long rejected) {
        fromLoop.add(
            new BalancerMessage.ServiceLevelMeasured(controlEvents, level, admittedFraction, rejected));
    }

    /** Applies new settings; all requests reported before were admitted under the previous settings. */
    void onDeploymentChange(DeploymentSettings next) {
        fromLoop.add(new BalancerMessage.DeploymentChanged(controlEvents, next));
    }

    /** Returns the monitor of rule violations, which is used on the event loop only. */
    RuleMonitor rules() {
        return rules;
    }

    /** Returns the memory budgets, which are used on the event loop only. */
    MemoryBudgets memory() {
        return memory;
    }

    // ---- called by any thread

    private void onUnroutableProbe(EndpointId endpoint) {
        mailbox.post(new BalancerMessage.ProbeUnroutable(requestEvents, endpoint));
    }

    /**
     * Reports an update from another proxy; surplus updates are dropped so that they can't fill the mailbox.
     */
    void onPeerUpdate(PeerUpdate update) {
        if (pendingPeerUpdates.incrementAndGet() > MAX_PENDING_PEER_UPDATES) {
            pendingPeerUpdates.decrementAndGet();
            return;
        }
        mailbox.post(new BalancerMessage.PeerUpdateReceived(controlEvents, update, pendingPeerUpdates));
    }

    /**
     * Closes an idle connection in each pool because descriptors are short. Does nothing while an earlier
     * call has not been carried out: each attempt that waits for a descriptor calls this again and again.
     */
    void onDescriptorShortage() {
        if (closingIdle.compareAndSet(false, true)) {
            mailbox.post(
                new BalancerMessage.CloseIdlePerPool(endpoints, 1, () -> closingIdle.set(false)));
        }
    }

    /** Closes about the given number of idle connections to endpoints. */
    public void closeIdleConnections(int count) {
        mailbox.post(new BalancerMessage.CloseIdle(endpoints, count));
    }

    /** Reports the list of unknown age with which this process was started. */
    public void onEndpointUpdate(EndpointList initial) {
        onEndpointUpdate(initial, EndpointStartTimes.NEVER);
    }

    /**
     * Reports an endpoint list from discovery.
     *
     * @param previousContactNanos when discovery's line before this list arrived, Unix nanoseconds
     */
    void onEndpointUpdate(EndpointList list, long previousContactNanos) {
        mailbox.post(new BalancerMessage.EndpointListReceived(controlEvents, list, previousContactNanos));
    }

    /** Reports a failed call to discovery, or the end of a watch. */
    public void onDiscoveryFailure() {
        mailbox.post(new BalancerMessage.DiscoveryFailed(controlEvents));
    }

    /**
     * Drains a cache node on an operator's request, or returns it to use. The callback runs on the event loop
     * and receives whether the cache node is known. By then, no attempt starts at a drained cache node, not
     * even one that waits for a connection to it.
     *
     * @param knownToOtherProcess whether another process knows the cache node, so that it counts as known
     *     even if this process never had it listed
     */
    public void setAdminDrain(EndpointId id, boolean drained, boolean knownToOtherProcess,
                              Consumer<Boolean> onResult) {
        mailbox.post(new BalancerMessage.AdminDrainRequested(controlEvents, id, drained, knownToOtherProcess,
            onResult));
    }

    // ---- readable from any thread

    /** Returns the statistics of the outcomes of requests. */
    public OutcomeStatistics outcomeStatistics() {
        return statistics;
    }

    /** Returns the number of rule violations detected since the start of the process. */
    public long ruleViolations() {
        return rules.violations();
    }

    /** Returns the endpoints' administrative status, at most a second old. */
    public AdminStatus adminStatus() {
        return executor.adminStatus();
    }

    /** Returns whether a listed endpoint is still in its slow start. */
    boolean isAnyEndpointWarmingUp(long nowNanos) {
        return endpoints.isAnyEndpointWarmingUp(nowNanos);
    }
}
