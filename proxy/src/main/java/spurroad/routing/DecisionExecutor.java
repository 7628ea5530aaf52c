package spurroad.routing;

import java.util.function.Consumer;
import spurroad.balancer.LoadBalancer;
import spurroad.configuration.DeploymentSettings;
import spurroad.model.AdminStatus;
import spurroad.model.Decisions;
import spurroad.model.EndpointId;
import spurroad.protocol.MetaResponse;
import spurroad.transport.Clock;
import spurroad.transport.EventLog;
import spurroad.transport.StallDetector;

/**
 * Carries out the decisions of {@link LoadBalancer}. The caller passes {@link #cleared()} to the load
 * balancer with each event and calls {@link #execute()} afterwards. Work on connections goes to the event
 * loop through the outbox. Used by the load balancer's thread only, unless a method says otherwise.
 */
final class DecisionExecutor {
    // The messages that each request needs are records rather than lambdas; BalancerMessage says why.
    private record StartAttempt(UpstreamRequest attempt) implements Runnable {
        @Override
        public void run() {
            attempt.pool.start(attempt);
        }
    }

    private record SendPeerUpdate(PeerGossip gossip, Decisions.SendPeerUpdate update) implements Runnable {
        @Override
        public void run() {
            gossip.send(update);
        }
    }

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int LOAD_PROBE_CONNECT_TIMEOUTS = 2; // timeout of a load probe, in connect timeouts

    private final Decisions decisions = new Decisions();
    private final LoadBalancer balancer;
    private final EndpointRegistry endpoints;
    private final InFlightRequests requests;
    private final RequestCounters counters;
    private final LoopOutbox outbox;
    private final Clock clock;
    private final EventLog log;
    private final StallDetector stalls;
    private final Consumer<EndpointId> unroutableProbe;
    private DeploymentSettings settings;
    private LoadBalancerThread.DiscoveryPoller discoveryPoller;
    private PeerGossip peerGossip;
    private long wakeAtNanos = Long.MAX_VALUE;
    private final EndpointStatusLog statusLog;
    private final AttemptTrace trace;
    private volatile AdminStatus adminStatus = AdminStatus.NONE;

    /**
     * Creates an executor without pending decisions.
     *
     * @param unroutableProbe called for a load probe whose endpoint is no longer listed
     */
    DecisionExecutor(LoadBalancer balancer, EndpointRegistry endpoints, InFlightRequests requests,
                     RequestCounters counters, LoopOutbox outbox, Clock clock, EventLog log,
                     StallDetector stalls, Consumer<EndpointId> unroutableProbe,
                     DeploymentSettings settings) {
        this.balancer = balancer;
        this.endpoints = endpoints;
        this.requests = requests;
        this.counters = counters;
        this.outbox = outbox;
        this.clock = clock;
        this.log = log;
        this.stalls = stalls;
        this.unroutableProbe = unroutableProbe;
        this.settings = settings;
        statusLog = new EndpointStatusLog(id -> String.valueOf(endpoints.pool(id)), log::info);
        trace = new AttemptTrace(log, clock::now);
    }

    /** Sets the poller; must be called before the thread starts. */
    void setDiscoveryPoller(LoadBalancerThread.DiscoveryPoller poller) {
        discoveryPoller = poller;
    }

    /** Sets the exchange of peer updates, if enabled; must be called before the thread starts. */
    void setPeerGossip(PeerGossip gossip) {
        peerGossip = gossip;
    }

    /** Applies new settings to the decisions that follow. */
    void configure(DeploymentSettings next) {
        settings = next;
    }

    /** Returns the time of the load balancer's next timer event, Unix nanoseconds. */
    long wakeAtNanos() {
        return wakeAtNanos;
    }

    /** Returns the endpoints' administrative status, at most a second old. May be called by any thread. */
    AdminStatus adminStatus() {
        return adminStatus;
    }

    /** Returns the reused decisions object, cleared for the next event. */
    Decisions cleared() {
        decisions.clear();
        return decisions;
    }

    /** Carries out the decisions made since {@link #cleared()}. */
    void execute() {
        wakeAtNanos = decisions.wakeAtNanos;
        long now = clock.now();
        if (decisions.adminStatusChanged || statusLog.isRenewalDue(now)) {
            adminStatus = balancer.adminStatus();
            statusLog.onStatus(adminStatus, now);
        }
        logCounters(now);
        for (Decisions.StartAttempt start : decisions.attemptsToStart) {
            startAttempt(start, now);
        }
        for (Decisions.CancelAttempt cancel : decisions.attemptsToCancel) {
            cancelAttempt(cancel);
        }
        for (Decisions.FinalResponse response : decisions.responses) {
            respond(response);
        }
        for (EndpointId id : decisions.loadProbes) {
            startLoadProbe(id, now);
        }
        for (EndpointId id : decisions.idleConnectionsToClose) {
            closeIdleConnections(id);
        }
        sendPeerUpdates();
        if (decisions.pollDiscovery) {
            discoveryPoller.poll();
        }
    }

    private void logCounters(long now) {
        String line = counters.takeLineIfDue(now, stalls.totalNanos());
        if (line != null) {
            log.info("traffic", line);
        }
    }

    private void startAttempt(Decisions.StartAttempt start, long now) {
        ProxiedRequest request = requests.get(start.request());
        long clockTick = settings.deployment.clockTickNanos();
        // the load balancer measured the timeout from the start of its decision, which took some time
        long deadline = Math.min(now + start.timeoutNanos(), request.deadlineNanos - clockTick);
        UpstreamRequest attempt = new UpstreamRequest(request, request.attempts.size(),
            endpoints.pool(start.endpoint()), deadline, start.sendDeadlineNanos() - clockTick,
            stalls.totalNanos());
        request.attempts.add(attempt);
        request.attemptsInFlight++;
        trace.onDecided(attempt);
        outbox.add(new StartAttempt(attempt));
    }

    private void cancelAttempt(Decisions.CancelAttempt cancel) {
        UpstreamRequest attempt = requests.get(cancel.request()).attempts.get(cancel.attempt());
        outbox.add(() -> attempt.pool.cancel(attempt));
    }

    private void respond(Decisions.FinalResponse response) {
        ProxiedRequest request = requests.get(response.request());
        if (!request.finished) {
            request.finished = true;
            boolean rejected = response.rejected();
            trace.onResponse(request, response);
            counters.onResponse(rejected);
            byte[] bytes = rejected ? MetaResponse.rejected(response.retryAfterNanos() / NANOS_PER_MILLI)
                : MetaResponse.failed();
            outbox.add(new ResponseMessage(request, bytes,
                rejected ? OutcomeStatistics.End.DECLINED : OutcomeStatistics.End.ABORTED, null,
                null));
        }
        requests.removeIfDone(request);
    }

    private void startLoadProbe(EndpointId id, long now) {
        EndpointConnectionPool pool = endpoints.pool(id);
        if (pool == null) {
            unroutableProbe.accept(id); // removed since the last update that the load balancer received
            return;
        }
        UpstreamRequest probe = new UpstreamRequest(null, 0, pool,
            now + LOAD_PROBE_CONNECT_TIMEOUTS * settings.connectTimeoutNanos, Long.MAX_VALUE,
            stalls.totalNanos());
        outbox.add(() -> pool.start(probe));
    }

    private void closeIdleConnections(EndpointId id) {
        EndpointConnectionPool pool = endpoints.pool(id);
        if (pool != null) {
            outbox.add(pool::closeIdle);
        }
    }

    private void sendPeerUpdates() {
        if (peerGossip != null) {
            for (Decisions.SendPeerUpdate update : decisions.peerUpdates) {
                outbox.add(new SendPeerUpdate(peerGossip, update));
            }
        }
    }
}
