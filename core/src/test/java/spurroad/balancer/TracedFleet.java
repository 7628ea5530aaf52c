package spurroad.balancer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import spurroad.model.CacheKey;
import spurroad.model.CellId;
import spurroad.model.Decisions;
import spurroad.model.Deployment;
import spurroad.model.Endpoint;
import spurroad.model.EndpointId;
import spurroad.model.EndpointKindId;
import spurroad.model.EndpointPhase;
import spurroad.model.LoadReport;
import spurroad.model.Outcome;
import spurroad.model.PeerUpdate;
import spurroad.model.RequestClassId;
import spurroad.model.RequestId;
import spurroad.model.TenantId;
import spurroad.model.ZoneId;

/**
 * A simulated fleet: executes the decisions of one or several load balancers against simulated endpoints, and
 * calls the load balancers with events of all kinds. Time is simulated, in nanoseconds; the same seed results
 * in the same calls as long as the load balancers make the same decisions.
 */
final class TracedFleet {
    private static final long MS = 1_000_000L;
    private static final EndpointKindId CACHE = new EndpointKindId(0);
    private static final int KEYS = 300;

    private record Event(long timeNanos, long order, Runnable action) {}

    /** An attempt, which ends once. */
    private static final class RunningAttempt {
        private final Proxy proxy;
        private final long request;
        private final int number;
        private final long endpoint;
        private boolean ended;

        private RunningAttempt(Proxy proxy, long request, int number, long endpoint) {
            this.proxy = proxy;
            this.request = request;
            this.number = number;
            this.endpoint = endpoint;
        }
    }

    /** A proxy: its load balancer, the latest decisions, and the attempts in progress. */
    private static final class Proxy {
        private final int index;
        private final LoadBalancer balancer;
        private final Decisions decisions = new Decisions();
        private final Map<Long, List<RunningAttempt>> attempts = new HashMap<>();
        private long timerCount;

        private Proxy(int index, LoadBalancer balancer) {
            this.index = index;
            this.balancer = balancer;
        }
    }

    private final DecisionTrace trace;
    private final TracedDeployment traced;
    private final Random random;
    private final PriorityQueue<Event> events = new PriorityQueue<>(
        Comparator.comparingLong(Event::timeNanos).thenComparingLong(Event::order));
    private final List<Proxy> proxies = new ArrayList<>();
    private final Map<Long, Endpoint> listedEndpoints = new HashMap<>();
    private final List<Long> endpointIds = new ArrayList<>();
    private final SimulatedEndpoints simulatedEndpoints;
    private final List<Long> drainedIds = new ArrayList<>();
    private Deployment deployment;
    private long now = 100_000 * MS;
    private long nextOrder;
    private long nextRequest;
    private long discoveryDownUntilNanos;

    TracedFleet(TracedDeployment traced, DecisionTrace trace) {
        this.traced = traced;
        this.trace = trace;
        random = new Random(traced.seed());
        simulatedEndpoints = new SimulatedEndpoints(random);
        deployment = traced.deployment();
        for (int i = 0; i < traced.simulatedProxies(); i++) {
            proxies.add(
                new Proxy(i, new LoadBalancer(TracedDeployment.forProxy(deployment, i), traced.seed() + i)));
        }
        for (long id = 1; id <= traced.endpoints(); id++) {
            endpointIds.add(id);
            listedEndpoints.put(id, endpoint(id, EndpointPhase.READY, 0));
        }
        if (deployment.originKind() != null) {
            endpointIds.add(0L);
            listedEndpoints.put(0L, new Endpoint(new EndpointId(0), deployment.originKind(), new ZoneId(0),
                new CellId(0), 0, 1, EndpointPhase.READY));
        }
    }

    private static Endpoint endpoint(long id, EndpointPhase phase, long startedNanos) {
        return new Endpoint(new EndpointId(id), CACHE, new ZoneId((int) (id % 3)), new CellId((int) (id / 2)),
            startedNanos, 1 + id % 2, phase);
    }

    /** Runs until at least a number of calls are traced. */
    void run(long calls) {
        for (Proxy proxy : proxies) {
            schedule(0, () -> updateEndpoints(proxy, true, List.copyOf(listedEndpoints.values())));
            schedule(MS, () -> sendRequest(proxy));
            schedule(20 * MS, () -> changeSettings(proxy));
        }
        if (deployment.fleet().gossipEnabled() && deployment.fleet().proxyCount() > proxies.size()) {
            schedule(10 * MS, this::sendUpdateOfAnotherProxy);
        }
        schedule(600 * MS, this::interruptDiscovery);
        schedule(50 * MS, this::changeFaults);
        schedule(300 * MS, this::changeEndpoints);
        schedule(400 * MS, this::changeAdminDrain);
        while (trace.callCount() < calls) {
            Event next = events.poll();
            now = next.timeNanos;
            next.action.run();
        }
    }

    private void schedule(long delayNanos, Runnable action) {
        events.add(new Event(now + delayNanos, nextOrder++, action));
    }

    private Proxy randomProxy() {
        return proxies.get(random.nextInt(proxies.size()));
    }

    private void handleEvent(Proxy proxy, Runnable action) {
        proxy.decisions.clear();
        action.run();
        trace.recordDecisions(proxy.decisions);
        execute(proxy);
    }

    private void execute(Proxy proxy) {
        Decisions decisions = proxy.decisions;
        List.copyOf(decisions.attemptsToStart).forEach(start -> startAttempt(proxy, start));
        for (Decisions.CancelAttempt cancel : List.copyOf(decisions.attemptsToCancel)) {
            RunningAttempt attempt = proxy.attempts.get(cancel.request().value()).get(cancel.attempt());
            schedule(random.nextInt(2) * MS / 2, () -> endAttempt(attempt, Outcome.CANCELLED));
        }
        decisions.responses.forEach(response -> removeIfEnded(proxy, response.request().value()));
        decisions.loadProbes
            .forEach(endpoint -> schedule(probeDelayNanos(), () -> endLoadProbe(proxy, endpoint)));
        decisions.peerUpdates.forEach(sent -> deliver(proxy, sent));
        if (decisions.pollDiscovery) {
            schedule((1 + random.nextInt(20)) * MS, () -> pollDiscovery(proxy));
        }
        if (decisions.wakeAtNanos != Long.MAX_VALUE) {
            long timer = ++proxy.timerCount;
            schedule(Math.max(0, decisions.wakeAtNanos - now), () -> onTimer(proxy, timer));
        }
        if (random.nextInt(50) == 0) {
            trace.recordAdminStatus(proxy.balancer.adminStatus());
        }
    }

    private void onTimer(Proxy proxy, long timer) {
        if (timer == proxy.timerCount) {
            trace.recordCall('R', proxy.index, now);
            handleEvent(proxy, () -> proxy.balancer.onTimer(now, proxy.decisions));
        }
    }

    // ---- requests

    private void sendRequest(Proxy proxy) {
        double burst = now / (500 * MS) % 4 == 0 ? 3 : 1;
        double gapNanos = 1e9 / (traced.requestsPerSecond() * burst);
        schedule((long) (-Math.log(1 - random.nextDouble()) * gapNanos) + 1, () -> sendRequest(proxy));
        long request = nextRequest++;
        int requestClass = random.nextInt(deployment.requestClasses().size());
        int tenant = random.nextInt(Math.max(1, deployment.tenantQuotasPerSecond().size()) + 1);
        long key = random.nextInt(20) == 0 ? 0 : 1 + (long) (KEYS * Math.pow(random.nextDouble(), 3));
        boolean write = requestClass > 0 && random.nextInt(4) > 0;
        long workNanos = random.nextInt(3) == 0 ? random.nextInt(5) * MS : 0;
        long timeoutNanos = random.nextInt(30) == 0 ? random.nextInt(10) * MS
            : (200 + random.nextInt(2_000)) * MS;
        trace.recordCall('Q', proxy.index, now, request, requestClass, tenant, key, write, workNanos,
            timeoutNanos);
        proxy.attempts.put(request, new ArrayList<>());
        handleEvent(proxy,
            () -> proxy.balancer.onRequest(now, new RequestId(request), new RequestClassId(requestClass),
                new TenantId(tenant), new CacheKey(key), write, workNanos, timeoutNanos, proxy.decisions));
        if (random.nextInt(25) == 0) {
            schedule(random.nextInt(400) * MS, () -> disconnectClient(proxy, request));
        }
    }

    private void disconnectClient(Proxy proxy, long request) {
        if (proxy.attempts.containsKey(request)) {
            trace.recordCall('L', proxy.index, now, request);
            handleEvent(proxy,
                () -> proxy.balancer.onClientDisconnect(now, new RequestId(request), proxy.decisions));
        }
    }

    private static void removeIfEnded(Proxy proxy, long request) {
        List<RunningAttempt> attempts = proxy.attempts.get(request);
        if (attempts != null && attempts.stream().allMatch(attempt -> attempt.ended)) {
            proxy.attempts.remove(request);
        }
    }

    // ---- attempts

    private void startAttempt(Proxy proxy, Decisions.StartAttempt start) {
        long request = start.request().value();
        long endpoint = start.endpoint().value();
        List<RunningAttempt> attempts = proxy.attempts.computeIfAbsent(request, id -> new ArrayList<>());
        RunningAttempt attempt = new RunningAttempt(proxy, request, attempts.size(), endpoint);
        attempts.add(attempt);
        SimulatedEndpoints.Reply reply = simulatedEndpoints.startAttempt(endpoint);
        boolean isInTime = reply.delayNanos() < start.timeoutNanos();
        long delayNanos = isInTime ? reply.delayNanos() : start.timeoutNanos();
        Outcome outcome = isInTime ? reply.outcome() : Outcome.TIMED_OUT;
        schedule(Math.max(1, delayNanos), () -> endAttempt(attempt, outcome));
    }

    private void endAttempt(RunningAttempt attempt, Outcome outcome) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        LoadReport report = simulatedEndpoints.endAttempt(attempt.endpoint);
        boolean isFinal = outcome == Outcome.SUCCEEDED;
        long proxyDelayNanos = random.nextInt(40) == 0 ? random.nextInt(30) * MS : 0;
        trace.recordCall('E', attempt.proxy.index, now, attempt.request, attempt.number, outcome.ordinal(),
            report.inFlight(), report.queued(), isFinal, proxyDelayNanos);
        Proxy proxy = attempt.proxy;
        handleEvent(attempt.proxy,
            () -> proxy.balancer.onAttemptEnd(now, new RequestId(attempt.request), attempt.number,
                outcome, report, isFinal, proxyDelayNanos, proxy.decisions));
        if (isFinal) {
            removeIfEnded(proxy, attempt.request);
        }
    }

    // ---- load probes and updates between proxies

    private long probeDelayNanos() {
        return (1 + random.nextInt(random.nextInt(8) == 0 ? 40 : 4)) * MS;
    }

    private void endLoadProbe(Proxy proxy, EndpointId endpoint) {
        boolean fails = simulatedEndpoints.failsLoadProbe(endpoint.value());
        Outcome outcome = fails ? Outcome.NO_CONNECTION : Outcome.SUCCEEDED;
        LoadReport report = fails ? LoadReport.NONE
            : new LoadReport(simulatedEndpoints.inFlight(endpoint.value()), Double.NaN);
        trace.recordCall('P', proxy.index, now, endpoint.value(), outcome.ordinal(), report.inFlight());
        handleEvent(proxy,
            () -> proxy.balancer.onLoadProbeEnd(now, endpoint, outcome, report, proxy.decisions));
    }

    private void deliver(Proxy sender, Decisions.SendPeerUpdate sent) {
        for (Proxy proxy : proxies) {
            boolean isRecipient = sent.recipient() == proxy.index
                || (sent.recipient() == Decisions.ALL_PEERS && proxy != sender);
            int copies = random.nextInt(20) == 0 ? 0 : random.nextInt(40) == 0 ? 2 : 1;
            for (int copy = 0; isRecipient && copy < copies; copy++) {
                schedule((1 + random.nextInt(30)) * MS / 10, () -> receive(proxy, sent.update()));
            }
        }
    }

    private void receive(Proxy proxy, PeerUpdate update) {
        trace.recordCall('T', proxy.index, now, update.topic().ordinal(), update.subject(), update.value());
        handleEvent(proxy, () -> proxy.balancer.onPeerUpdate(now, update, proxy.decisions));
    }

    /** Sends an update of a proxy that is not simulated, about an attempt, a tenant or a write. */
    private void sendUpdateOfAnotherProxy() {
        schedule((1 + random.nextInt(6)) * MS, this::sendUpdateOfAnotherProxy);
        Proxy proxy = randomProxy();
        boolean late = now / (1_500 * MS) % 2 == 0;
        PeerUpdate update = switch (random.nextInt(6)) {
            case 0 -> new PeerUpdate(PeerUpdate.Topic.TENANT_REQUEST,
                random.nextInt(deployment.tenantQuotasPerSecond().size() + 1), 1);
            case 1 -> PeerUpdate.ofOriginWrite(random.nextInt(100) < (late ? 75 : 20));
            case 2 -> inFlightUpdate(-Math.exp(-random.nextDouble()));
            case 3 -> inFlightUpdate(Math.exp(-random.nextDouble()));
            default -> inFlightUpdate(1);
        };
        receive(proxy, update);
    }

    private PeerUpdate inFlightUpdate(double value) {
        return new PeerUpdate(PeerUpdate.Topic.IN_FLIGHT, 1 + random.nextInt(6), value,
            new CacheKey(1 + random.nextInt(KEYS)));
    }

    /** Returns an update that no proxy would send: about an unknown subject, or with a value out of range. */
    private PeerUpdate invalidUpdate() {
        PeerUpdate.Topic topic = PeerUpdate.Topic.values()[random.nextInt(PeerUpdate.Topic.values().length)];
        long subject = random.nextInt(traced.endpoints() + 3);
        double value = topic == PeerUpdate.Topic.IN_FLIGHT ? 1 - random.nextInt(2) * 0.5 : random.nextInt(4);
        return new PeerUpdate(topic, subject, value, random.nextInt(50) * MS, random.nextDouble(),
            new CacheKey(1 + random.nextInt(KEYS)));
    }

    // ---- discovery, operators and settings

    private void updateEndpoints(Proxy proxy, boolean complete, List<Endpoint> entries) {
        trace.recordCall('D', proxy.index, now, complete, entries.size());
        handleEvent(proxy, () -> proxy.balancer.onEndpointUpdate(now, entries, complete, proxy.decisions));
    }

    private void interruptDiscovery() {
        schedule((300 + random.nextInt(3_000)) * MS, this::interruptDiscovery);
        discoveryDownUntilNanos = now + random.nextInt(4_000) * MS;
        failDiscovery(randomProxy());
    }

    private void failDiscovery(Proxy proxy) {
        trace.recordCall('X', proxy.index, now);
        handleEvent(proxy, () -> proxy.balancer.onDiscoveryFailure(now, proxy.decisions));
    }

    private void pollDiscovery(Proxy proxy) {
        if (now < discoveryDownUntilNanos || random.nextInt(3) == 0) {
            failDiscovery(proxy);
        } else {
            updateEndpoints(proxy, true, List.copyOf(listedEndpoints.values()));
        }
    }

    private void changeEndpoints() {
        schedule((100 + random.nextInt(600)) * MS, this::changeEndpoints);
        if (now < discoveryDownUntilNanos) {
            return;
        }
        List<Endpoint> changed = new ArrayList<>();
        for (int i = 0; i <= random.nextInt(1 + traced.endpoints() / 4); i++) {
            long id = 1L + random.nextInt(traced.endpoints());
            Endpoint entry = switch (random.nextInt(5)) {
                case 0 -> endpoint(id, EndpointPhase.DRAINING, listedEndpoints.get(id).startedAtNanos());
                case 1 -> listedEndpoints.get(id).asRemoved();
                case 2, 3 -> endpoint(id, EndpointPhase.READY, now - random.nextInt(300) * MS);
                default -> endpoint(id, EndpointPhase.READY, listedEndpoints.get(id).startedAtNanos());
            };
            listedEndpoints.put(id, entry);
            changed.add(entry);
        }
        boolean complete = random.nextInt(4) == 0;
        for (Proxy proxy : proxies) {
            List<Endpoint> entries = complete
                ? listedEndpoints.values().stream().filter(entry -> entry.phase() != EndpointPhase.REMOVED)
                    .toList()
                : changed;
            schedule(random.nextInt(30) * MS, () -> updateEndpoints(proxy, complete, entries));
        }
    }

    private void changeFaults() {
        schedule((100 + random.nextInt(1000)) * MS, this::changeFaults);
        simulatedEndpoints.changeBehaviours(endpointIds);
        if (deployment.fleet().gossipEnabled() && random.nextInt(3) == 0) {
            receive(randomProxy(), invalidUpdate());
        }
    }

    private void changeAdminDrain() {
        schedule((200 + random.nextInt(1500)) * MS, this::changeAdminDrain);
        boolean drain = drainedIds.isEmpty() || random.nextInt(3) == 0;
        long id = drain ? endpointIds.get(random.nextInt(endpointIds.size())) + random.nextInt(2)
            : drainedIds.remove(random.nextInt(drainedIds.size()));
        if (drain) {
            drainedIds.add(id);
        }
        for (Proxy proxy : proxies) {
            trace.recordCall('H', proxy.index, now, id, drain);
            handleEvent(proxy,
                () -> proxy.balancer.onAdminDrain(now, new EndpointId(id), drain, proxy.decisions));
        }
    }

    private void changeSettings(Proxy proxy) {
        schedule((500 + random.nextInt(1500)) * MS, () -> changeSettings(proxy));
        boolean conserve = random.nextInt(4) == 0;
        trace.recordCall('G', proxy.index, now, conserve);
        proxy.balancer.conserveResources(conserve);
        if (random.nextInt(3) == 0) {
            deployment = traced.withScaledSettings(0.5 + random.nextInt(4) / 2.0, 1 + random.nextInt(5));
            trace.recordCall('C', proxy.index, now);
            handleEvent(proxy,
                () -> proxy.balancer.onDeploymentChange(now,
                    TracedDeployment.forProxy(deployment, proxy.index),
                    proxy.decisions));
        }
    }
}
