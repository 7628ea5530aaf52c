package spurroad.testbed.simulation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import spurroad.model.Decisions;
import spurroad.model.EndpointId;
import spurroad.model.LoadReport;
import spurroad.model.Outcome;
import spurroad.model.RequestClassId;
import spurroad.model.RequestId;
import spurroad.model.TenantId;
import spurroad.testbed.model.Answer;
import spurroad.testbed.model.CacheNode;
import spurroad.testbed.model.Reply;
import spurroad.testbed.model.RequestAttempt;
import spurroad.testbed.model.ServerRequest;
import spurroad.testbed.policy.Policy;
import spurroad.testbed.time.Timeline;

/**
 * One proxy in simulated time: its policy, and a pool of connections to each server that costs nothing of its
 * own. What a real proxy's processor, sockets and admission control add is not modelled.
 */
final class SimulatedProxy {
    /**
     * The policy's time at which the timeline begins. It is late, as the policy's averages decay from zero,
     * and nodes that started "long ago" started at zero.
     */
    static final long EPOCH_NANOS = 1_000_000_000_000L;
    private static final long CONNECT_TIMEOUT_NANOS = 250_000_000L;
    private static final LoadReport NO_REPORT = new LoadReport(Double.NaN, Double.NaN);

    final int number;
    private final SimulatedEnvironment environment;
    private final Timeline timeline;
    private final Policy policy;
    private final Decisions decisions = new Decisions();
    private final Map<EndpointId, ConnectionPool> pools = new HashMap<>();
    private final Map<RequestAttempt, SimulatedRequest> openRequests = new HashMap<>(); // without a response
    private final Map<RequestId, SimulatedRequest> requestsById = new HashMap<>();
    private final long oneWayNanos;
    private Timeline.Alarm timer;
    private long timerAtNanos = Long.MAX_VALUE;
    private long nextRequestId;
    private boolean isDead;

    SimulatedProxy(SimulatedEnvironment environment, int number, long seed) {
        this.environment = environment;
        this.number = number;
        timeline = environment.timeline;
        policy = environment.policyFactory.create(environment.deployment, seed);
        oneWayNanos = environment.scenario.world().oneWayNs();
        onEndpointUpdate(0);
    }

    private long now() {
        return EPOCH_NANOS + timeline.now();
    }

    private Decisions clearedDecisions() {
        decisions.clear();
        return decisions;
    }

    /** Takes what has changed in the endpoint list after a revision; all of it with 0. */
    void onEndpointUpdate(long afterRevision) {
        if (!isDead) {
            policy.onEndpointUpdate(now(), environment.endpoints(afterRevision), afterRevision == 0,
                clearedDecisions());
            carryOutDecisions();
        }
    }

    /** Kills the proxy: its requests are lost and its connections end. */
    void kill() {
        isDead = true;
        for (ConnectionPool pool : pools.values()) {
            List.copyOf(pool.inFlight).forEach(attempt -> end(attempt, true));
            pool.closeIdle();
        }
        List.copyOf(openRequests.values()).forEach(request -> environment.cutOff(request.clientAttempt));
    }

    // ---- clients

    /** The last byte of a client's attempt has arrived. */
    void onRequest(RequestAttempt clientAttempt) {
        if (isDead) {
            environment.cutOff(clientAttempt);
            return;
        }
        SimulatedRequest request = new SimulatedRequest(new RequestId(nextRequestId++), clientAttempt);
        openRequests.put(clientAttempt, request);
        requestsById.put(request.id, request);
        long timeout = clientAttempt.until - timeline.now() - oneWayNanos
            - environment.deployment.clockTickNanos();
        policy.onRequest(now(), request.id,
            new RequestClassId(environment.requestClassIndex(clientAttempt.request.track)),
            new TenantId(environment.tenantIndex(clientAttempt.request.customer)),
            environment.key(clientAttempt.request.key), clientAttempt.request.track.write(),
            Math.max(0, timeout), clearedDecisions());
        carryOutDecisions();
    }

    /** The client of an attempt has closed its connection. */
    void onClientDisconnect(RequestAttempt clientAttempt) {
        SimulatedRequest request = openRequests.remove(clientAttempt);
        if (request != null && !isDead) {
            request.isOver = true;
            policy.onClientDisconnect(now(), request.id, clearedDecisions());
            carryOutDecisions();
            removeIfFinished(request);
        }
    }

    private void respond(SimulatedRequest request, Answer answer) {
        if (!request.isOver) {
            request.isOver = true;
            openRequests.remove(request.clientAttempt);
            environment.answered(request.clientAttempt, answer);
            removeIfFinished(request);
        }
    }

    private void removeIfFinished(SimulatedRequest request) {
        if (request.isFinished()) {
            requestsById.remove(request.id);
        }
    }

    // ---- decisions

    /** Carries out copies, as carrying out one decision may lead to the next event, which clears them. */
    private void carryOutDecisions() {
        List<Decisions.StartAttempt> starts = List.copyOf(decisions.attemptsToStart);
        List<Decisions.CancelAttempt> cancellations = List.copyOf(decisions.attemptsToCancel);
        List<Decisions.FinalResponse> responses = List.copyOf(decisions.responses);
        List<EndpointId> probes = List.copyOf(decisions.loadProbes);
        List<EndpointId> poolsToClose = List.copyOf(decisions.idleConnectionsToClose);
        boolean subscribes = decisions.pollDiscovery;
        setTimer(decisions.wakeAtNanos);
        starts.forEach(this::start);
        cancellations.forEach(this::cancel);
        responses.forEach(this::respond);
        probes.forEach(this::probe);
        poolsToClose.forEach(this::closeIdleConnections);
        if (subscribes) {
            environment.members.follow(revision -> environment.onRevision(this));
        }
    }

    private void cancel(Decisions.CancelAttempt cancellation) {
        SimulatedRequest request = requestsById.get(cancellation.request());
        if (request != null) {
            onAttemptEnd(request.attempts.get(cancellation.attempt()), Outcome.CANCELLED);
        }
    }

    private void respond(Decisions.FinalResponse response) {
        SimulatedRequest request = requestsById.get(response.request());
        if (request != null) {
            Answer.Kind kind = response.rejected() ? Answer.Kind.REJECTED : Answer.Kind.FAILED;
            respond(request, new Answer(kind, response.retryAfterNanos(), "", 0));
        }
    }

    private void closeIdleConnections(EndpointId endpoint) {
        ConnectionPool pool = pools.get(endpoint);
        if (pool != null) {
            pool.closeIdle();
        }
    }

    private void setTimer(long atNanos) {
        if (atNanos == timerAtNanos) {
            return;
        }
        if (timer != null) {
            timer.cancel();
        }
        timerAtNanos = atNanos;
        timer = atNanos == Long.MAX_VALUE ? null : timeline.at(atNanos - EPOCH_NANOS, this::onTimer);
    }

    private void onTimer() {
        timerAtNanos = Long.MAX_VALUE;
        if (!isDead) {
            policy.onTimer(now(), clearedDecisions());
            carryOutDecisions();
        }
    }

    private ConnectionPool pool(EndpointId endpoint) {
        return pools.computeIfAbsent(endpoint, id -> new ConnectionPool(environment.node(id)));
    }

    // ---- attempts

    private void start(Decisions.StartAttempt decision) {
        SimulatedRequest request = requestsById.get(decision.request());
        ConnectionPool pool = pool(decision.endpoint());
        SimulatedAttempt attempt = new SimulatedAttempt(request, request.attempts.size(), pool);
        request.attempts.add(attempt);
        request.inFlight++;
        pool.inFlight.add(attempt);
        attempt.timeout = timeline.after(decision.timeoutNanos(), () -> onTimeout(attempt));
        if (pool.takeIdle()) {
            sendOnIdleConnection(attempt);
        } else {
            connect(attempt);
        }
    }

    private void onTimeout(SimulatedAttempt attempt) {
        onAttemptEnd(attempt, attempt.isSent ? Outcome.TIMED_OUT : Outcome.NO_CONNECTION);
    }

    private void sendOnIdleConnection(SimulatedAttempt attempt) {
        attempt.holdsConnection = true;
        timeline.after(oneWayNanos, () -> deliver(attempt, false));
        attempt.isSent = true;
    }

    private void connect(SimulatedAttempt attempt) {
        ConnectionPool pool = attempt.pool;
        CacheNode.Reach reach = pool.reach();
        if (reach == CacheNode.Reach.HALF_OPEN || reach == CacheNode.Reach.VANISHED) {
            timeline.after(CONNECT_TIMEOUT_NANOS, () -> onAttemptEnd(attempt, Outcome.NO_CONNECTION));
        } else if (pool.node != null && !pool.node.connect()) {
            timeline.after(2 * oneWayNanos, () -> onAttemptEnd(attempt, Outcome.NO_CONNECTION));
        } else {
            attempt.holdsConnection = true;
            timeline.after(2 * oneWayNanos, () -> sendOnNewConnection(attempt));
        }
    }

    private void sendOnNewConnection(SimulatedAttempt attempt) {
        if (!attempt.isEnded) {
            attempt.isSent = true;
            timeline.after(oneWayNanos, () -> deliver(attempt, true));
        }
    }

    /** The attempt's last byte reaches the server, even if the proxy has given the attempt up since. */
    private void deliver(SimulatedAttempt attempt, boolean isNewConnection) {
        RequestAttempt clientAttempt = attempt.request.clientAttempt;
        ServerRequest request = new ServerRequest(clientAttempt.id, clientAttempt.request.key,
            clientAttempt.request.track, clientAttempt.request.mark, isNewConnection);
        CacheNode node = attempt.pool.node;
        if (node == null) {
            environment.origin.offer(request,
                reply -> timeline.after(oneWayNanos, () -> onReply(attempt, reply)));
        } else if (node.reach() == CacheNode.Reach.DOWN) {
            timeline.after(oneWayNanos, () -> onAttemptEnd(attempt, Outcome.CONNECTION_LOST));
        } else {
            node.offer(request, reply -> timeline.after(oneWayNanos, () -> onReply(attempt, reply)));
        }
    }

    private void onReply(SimulatedAttempt attempt, Reply reply) {
        Outcome outcome = reply.spoilt() > 0 ? Outcome.CONNECTION_LOST : switch (reply.kind()) {
            case VALUE, RECEIPT -> Outcome.SUCCEEDED;
            case MISS -> Outcome.CACHE_MISS;
            case BUSY -> Outcome.REJECTED;
            case FAILED -> Outcome.FAILED;
        };
        onAttemptEnd(attempt, outcome, new LoadReport(reply.inFlight(), Double.NaN), reply);
    }

    private void onAttemptEnd(SimulatedAttempt attempt, Outcome outcome) {
        onAttemptEnd(attempt, outcome, NO_REPORT, null);
    }

    private void onAttemptEnd(SimulatedAttempt attempt, Outcome outcome, LoadReport report, Reply reply) {
        if (attempt.isEnded || isDead) {
            return;
        }
        SimulatedRequest request = attempt.request;
        end(attempt, !outcome.hasReply());
        boolean answers = outcome == Outcome.SUCCEEDED && !request.isOver;
        if (answers) {
            Answer.Kind kind = reply.kind() == Reply.Kind.VALUE ? Answer.Kind.VALUE : Answer.Kind.RECEIPT;
            respond(request, new Answer(kind, 0, request.clientAttempt.id, reply.version()));
        }
        policy.onAttemptEnd(now(), request.id, attempt.number, outcome, report, answers, clearedDecisions());
        carryOutDecisions();
        removeIfFinished(request);
    }

    /** Ends an attempt; its connection goes back to the pool, or ends where it is broken. */
    private static void end(SimulatedAttempt attempt, boolean isConnectionBroken) {
        attempt.isEnded = true;
        attempt.timeout.cancel();
        attempt.request.inFlight--;
        attempt.pool.inFlight.remove(attempt);
        if (attempt.holdsConnection && isConnectionBroken) {
            attempt.pool.disconnect();
        } else if (attempt.holdsConnection) {
            attempt.pool.release();
        }
        attempt.holdsConnection = false;
    }

    /** All connections of a node have ended, and with them the attempts in flight there. */
    void onNodeDown(CacheNode node) {
        for (ConnectionPool pool : List.copyOf(pools.values())) {
            if (pool.node == node && !isDead) {
                pool.closeIdle();
                for (SimulatedAttempt attempt : List.copyOf(pool.inFlight)) {
                    if (attempt.holdsConnection) {
                        timeline.after(oneWayNanos, () -> onAttemptEnd(attempt, Outcome.CONNECTION_LOST));
                    }
                }
            }
        }
    }

    // ---- load probes

    private void probe(EndpointId endpoint) {
        ConnectionPool pool = pool(endpoint);
        timeline.after(oneWayNanos, () -> {
            boolean answers = pool.node == null || pool.node.answers();
            int load = pool.node == null ? environment.origin.inFlight() : pool.node.report();
            timeline.after(answers ? oneWayNanos : CONNECT_TIMEOUT_NANOS,
                () -> onLoadProbeEnd(endpoint, answers, load));
        });
    }

    private void onLoadProbeEnd(EndpointId endpoint, boolean answered, int load) {
        if (!isDead) {
            policy.onLoadProbeEnd(now(), endpoint, answered ? Outcome.SUCCEEDED : Outcome.TIMED_OUT,
                answered ? new LoadReport(load, Double.NaN) : NO_REPORT, clearedDecisions());
            carryOutDecisions();
        }
    }
}
