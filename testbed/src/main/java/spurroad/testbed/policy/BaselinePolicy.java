package spurroad.testbed.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import spurroad.model.CacheKey;
import spurroad.model.Decisions;
import spurroad.model.Deployment;
import spurroad.model.Effect;
import spurroad.model.Endpoint;
import spurroad.model.EndpointId;
import spurroad.model.EndpointPhase;
import spurroad.model.LoadReport;
import spurroad.model.Outcome;
import spurroad.model.RequestClass;
import spurroad.model.RequestClassId;
import spurroad.model.RequestId;
import spurroad.model.SplitMix64;
import spurroad.model.TenantId;

/**
 * A plain policy to compare with. It chooses a node by one rule, sends misses and writes to the origin, makes
 * three attempts where that is allowed, and knows of no load but its own requests in flight. It keeps the
 * first three rules of the rule checker, as a comparison with a baseline that breaks them would say nothing.
 * It rejects only requests whose three attempts have failed.
 */
final class BaselinePolicy implements Policy {
    private static final int MAX_CACHE_ATTEMPTS = 3; // as many as the mechanism has candidates
    private static final int RING_POINTS = 96; // of a node, as the mechanism has them
    private static final double LOAD_BOUND = 1.25; // of the bounded ring, times the mean in flight
    private static final int RETRY_AFTER_DIVISOR = 10; // of the longest Retry-After that is allowed

    /** One request, until it has a response and no attempt of it is in flight. */
    private static final class PendingRequest {
        private final RequestClass requestClass;
        private final CacheKey key;
        private final long deadline;
        private final List<EndpointId> attempts = new ArrayList<>(2); // their endpoints, by their numbers
        private boolean goesToOrigin;
        private boolean isDone;
        private int inFlight;

        private PendingRequest(RequestClass requestClass, CacheKey key, boolean write, long deadline) {
            this.requestClass = requestClass;
            this.key = key;
            this.deadline = deadline;
            goesToOrigin = write;
        }
    }

    private final Kind kind;
    private final Deployment deployment;
    private final Random random;
    private final Map<EndpointId, Endpoint> endpoints = new LinkedHashMap<>();
    private final Map<EndpointId, Integer> inFlight = new HashMap<>();
    private final Map<RequestId, PendingRequest> requests = new HashMap<>();
    private final TreeMap<Long, EndpointId> ring = new TreeMap<>();
    private List<EndpointId> readyNodes = List.of();
    private EndpointId origin;
    private boolean isSubscribed;

    BaselinePolicy(Kind kind, Deployment deployment, long seed) {
        this.kind = kind;
        this.deployment = deployment;
        random = new Random(seed);
    }

    @Override
    public void onEndpointUpdate(long now, List<Endpoint> update, boolean complete, Decisions decisions) {
        if (complete) {
            endpoints.clear();
        }
        update.forEach(endpoint -> endpoints.put(endpoint.id(), endpoint));
        rebuild();
        decisions.pollDiscovery = !isSubscribed;
        isSubscribed = true;
    }

    private void rebuild() {
        readyNodes = new ArrayList<>();
        ring.clear();
        origin = null;
        for (Endpoint endpoint : endpoints.values()) {
            if (endpoint.phase() != EndpointPhase.READY) {
                continue;
            }
            if (endpoint.kind().equals(deployment.originKind())) {
                origin = endpoint.id();
            } else {
                readyNodes.add(endpoint.id());
                addToRing(endpoint.id());
            }
        }
    }

    private void addToRing(EndpointId node) {
        for (int i = 0; i < RING_POINTS; i++) {
            ring.put(SplitMix64.mix(node.value() + i * SplitMix64.GAMMA), node);
        }
    }

    @Override
    public void onRequest(long now, RequestId id, RequestClassId requestClass, TenantId tenant, CacheKey key,
                          boolean write, long timeoutNanos, Decisions decisions) {
        PendingRequest request = new PendingRequest(deployment.requestClasses().get(requestClass.value()),
            key, write, now + timeoutNanos);
        requests.put(id, request);
        startAttempt(now, id, request, decisions);
    }

    private void startAttempt(long now, RequestId id, PendingRequest request, Decisions decisions) {
        EndpointId target = request.goesToOrigin ? origin : chooseNode(request);
        if (target == null || now + deployment.clockTickNanos() >= request.deadline
            || request.attempts.size() >= deployment.maxAttempts()) {
            reject(id, request, decisions);
            return;
        }
        request.attempts.add(target);
        request.inFlight++;
        inFlight.merge(target, 1, Integer::sum);
        decisions.attemptsToStart
            .add(new Decisions.StartAttempt(id, target, request.deadline - now, Long.MAX_VALUE));
    }

    /** Returns the node for the next attempt; null where there is none. */
    private EndpointId chooseNode(PendingRequest request) {
        if (readyNodes.isEmpty() || request.attempts.size() >= MAX_CACHE_ATTEMPTS) {
            return null;
        }
        return switch (kind) {
            case RANDOM -> randomNode();
            case TWO_CHOICES -> {
                EndpointId first = randomNode();
                EndpointId second = randomNode();
                yield inFlight(first) <= inFlight(second) ? first : second;
            }
            case RING -> firstOnRing(request, Double.MAX_VALUE);
            case BOUNDED_RING -> {
                double total = readyNodes.stream().mapToInt(this::inFlight).sum() + 1.0;
                yield firstOnRing(request, Math.ceil(LOAD_BOUND * total / readyNodes.size()));
            }
            case MECHANISM -> throw new IllegalStateException("the mechanism is no baseline");
        };
    }

    private EndpointId randomNode() {
        return readyNodes.get(random.nextInt(readyNodes.size()));
    }

    private int inFlight(EndpointId node) {
        return inFlight.getOrDefault(node, 0);
    }

    /**
     * Returns the first node clockwise without an attempt that would hold no more than a bound; else null.
     */
    private EndpointId firstOnRing(PendingRequest request, double maxInFlight) {
        long point = SplitMix64.mix(request.key.value());
        EndpointId node = firstOf(ring.tailMap(point), request, maxInFlight);
        return node != null ? node : firstOf(ring.headMap(point), request, maxInFlight);
    }

    private EndpointId firstOf(Map<Long, EndpointId> arc, PendingRequest request, double maxInFlight) {
        for (EndpointId node : arc.values()) {
            if (!request.attempts.contains(node) && inFlight(node) + 1 <= maxInFlight) {
                return node;
            }
        }
        return null;
    }

    @Override
    public void onAttemptEnd(long now, RequestId id, int attempt, Outcome outcome, LoadReport report,
                             boolean answered, Decisions decisions) {
        PendingRequest request = requests.get(id);
        if (request == null) {
            return;
        }
        request.inFlight--;
        inFlight.merge(request.attempts.get(attempt), -1, Integer::sum);
        if (answered || outcome == Outcome.SUCCEEDED) {
            request.isDone = true;
        } else if (!request.isDone) {
            onAttemptFailure(now, id, request, outcome, decisions);
        }
        removeIfFinished(id, request);
    }

    private void onAttemptFailure(long now, RequestId id, PendingRequest request, Outcome outcome,
                                  Decisions decisions) {
        if (outcome == Outcome.CACHE_MISS && origin != null) {
            request.goesToOrigin = true;
            startAttempt(now, id, request, decisions);
        } else if (outcome.provesNotExecuted() || request.requestClass.effect() == Effect.IDEMPOTENT) {
            startAttempt(now, id, request, decisions);
        } else {
            request.isDone = true;
            decisions.responses.add(new Decisions.FinalResponse(id, false, 0));
        }
    }

    private void reject(RequestId id, PendingRequest request, Decisions decisions) {
        request.isDone = true;
        decisions.responses.add(
            new Decisions.FinalResponse(id, true, deployment.maxRetryAfterNanos() / RETRY_AFTER_DIVISOR));
        removeIfFinished(id, request);
    }

    private void removeIfFinished(RequestId id, PendingRequest request) {
        if (request.isDone && request.inFlight == 0) {
            requests.remove(id);
        }
    }

    @Override
    public void onLoadProbeEnd(long now, EndpointId id, Outcome outcome, LoadReport report,
                               Decisions decisions) {
        // a baseline asks for no load
    }

    @Override
    public void onClientDisconnect(long now, RequestId id, Decisions decisions) {
        PendingRequest request = requests.get(id);
        if (request != null && !request.isDone) {
            request.isDone = true;
            for (int i = 0; i < request.attempts.size(); i++) {
                decisions.attemptsToCancel.add(new Decisions.CancelAttempt(id, i));
            }
            removeIfFinished(id, request);
        }
    }

    @Override
    public void onTimer(long now, Decisions decisions) {
        // a baseline sets no timer
    }
}
