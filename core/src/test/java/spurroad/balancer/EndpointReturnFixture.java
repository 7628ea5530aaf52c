package spurroad.balancer;

import static spurroad.balancer.BalancerFixture.MS;
import static spurroad.balancer.BalancerFixture.READ;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import spurroad.model.Decisions;
import spurroad.model.Deployment;
import spurroad.model.EndpointId;
import spurroad.model.EndpointPhase;
import spurroad.model.Fleet;
import spurroad.model.Outcome;

/** One load balancer with steady reads, whose endpoints and settings change in any order. */
final class EndpointReturnFixture {
    static final int ENDPOINTS = 5;

    /** What changes, at one endpoint where it concerns one. */
    enum Change {
        FAILS, FALLS_SILENT, HEALS, DRAINS, IS_REMOVED, IS_READY, STARTS_ANEW, STAFF_DRAIN, STAFF_RETURN,
        CLIENTS_LEAVE, LOAD_PROBES_FORBIDDEN, LOAD_PROBES_ALLOWED, GOSSIP_ON, GOSSIP_OFF
    }

    /** A change, and the time until the next one. */
    record Event(Change change, int endpoint, int pauseMillis) {}

    private enum Health {
        HEALTHY, FAILING, SILENT
    }

    private record InFlight(long request, int attempt, int endpoint, long endsAtNanos) {}

    private static final int STEP_MILLIS = 10;
    private static final int REPLY_MILLIS = 15;
    private static final int SILENCE_MILLIS = 400; // until an attempt is given up
    private static final int PROBE_TIMEOUT_MILLIS = 100;

    private final BalancerFixture balancer = BalancerFixture.of(ENDPOINTS, false);
    private final Health[] health = new Health[ENDPOINTS];
    private final EndpointPhase[] phases = new EndpointPhase[ENDPOINTS];
    private final long[] startNanos = new long[ENDPOINTS];
    private final List<InFlight> inFlight = new ArrayList<>();
    private final Map<Long, Integer> attemptsStarted = new HashMap<>(); // by request
    private final Map<Integer, Long> probeEndsAtNanos = new HashMap<>();
    private final Set<Integer> used = new HashSet<>();
    private long lastRequest;
    private boolean loadProbesAllowed = true;
    private boolean gossip;

    EndpointReturnFixture() {
        Arrays.fill(health, Health.HEALTHY);
        Arrays.fill(phases, EndpointPhase.READY);
    }

    /** Plays events under steady requests. */
    void play(List<Event> events) {
        for (Event event : events) {
            apply(event.change, event.endpoint);
            advance(event.pauseMillis);
        }
    }

    /**
     * Heals all endpoints, has discovery list them as ready, and has staff return those that they drained.
     */
    void healAndList() {
        for (int endpoint = 0; endpoint < ENDPOINTS; endpoint++) {
            apply(Change.HEALS, endpoint);
            apply(Change.IS_READY, endpoint);
            apply(Change.STAFF_RETURN, endpoint);
        }
    }

    /** Plays requests for a while, and returns the endpoints that got none in its last second. */
    List<Integer> unusedWithin(int millis) {
        advance(millis - 1_000);
        used.clear();
        advance(1_000);
        return IntStream.range(0, ENDPOINTS).filter(endpoint -> !used.contains(endpoint)).boxed().toList();
    }

    private void apply(Change change, int endpoint) {
        switch (change) {
            case FAILS -> health[endpoint] = Health.FAILING;
            case FALLS_SILENT -> health[endpoint] = Health.SILENT;
            case HEALS -> health[endpoint] = Health.HEALTHY;
            case DRAINS -> list(endpoint, EndpointPhase.DRAINING);
            case IS_REMOVED -> list(endpoint, EndpointPhase.REMOVED);
            case IS_READY -> list(endpoint, EndpointPhase.READY);
            case STARTS_ANEW -> {
                startNanos[endpoint] = balancer.nowNanos;
                list(endpoint, EndpointPhase.READY);
            }
            case STAFF_DRAIN -> carryOut(balancer.setDrained(endpoint, true));
            case STAFF_RETURN -> carryOut(balancer.setDrained(endpoint, false));
            case CLIENTS_LEAVE -> disconnectClients();
            case LOAD_PROBES_FORBIDDEN -> reload(false, gossip);
            case LOAD_PROBES_ALLOWED -> reload(true, gossip);
            case GOSSIP_ON -> reload(loadProbesAllowed, true);
            case GOSSIP_OFF -> reload(loadProbesAllowed, false);
        }
    }

    private void list(int endpoint, EndpointPhase phase) {
        phases[endpoint] = phase;
        carryOut(balancer.updateEndpoint(endpoint, phase, startNanos[endpoint]));
    }

    private void disconnectClients() {
        for (InFlight attempt : List.copyOf(inFlight)) {
            carryOut(balancer.disconnectClient(attempt.request));
        }
    }

    private void reload(boolean probesAllowed, boolean gossips) {
        loadProbesAllowed = probesAllowed;
        gossip = gossips;
        Deployment next = BalancerFixture.withLoadProbes(balancer.deployment, probesAllowed);
        carryOut(balancer.changeDeployment(next.withFleet(new Fleet(null, 0, 1, gossips))));
    }

    private void advance(int millis) {
        for (int elapsed = 0; elapsed < millis; elapsed += STEP_MILLIS) {
            carryOut(balancer.advance(STEP_MILLIS));
            endAttemptsDue();
            endProbesDue();
            lastRequest++;
            carryOut(balancer.request(lastRequest, READ, lastRequest));
        }
    }

    private void endAttemptsDue() {
        for (InFlight attempt : List.copyOf(inFlight)) {
            if (attempt.endsAtNanos <= balancer.nowNanos && inFlight.remove(attempt)) {
                carryOut(balancer.endAttempt(attempt.request, attempt.attempt, outcomeAt(attempt.endpoint)));
            }
        }
    }

    private Outcome outcomeAt(int endpoint) {
        return switch (health[endpoint]) {
            case HEALTHY -> Outcome.SUCCEEDED;
            case FAILING -> Outcome.FAILED;
            case SILENT -> Outcome.TIMED_OUT;
        };
    }

    private void endProbesDue() {
        for (int endpoint : List.copyOf(probeEndsAtNanos.keySet())) {
            if (probeEndsAtNanos.get(endpoint) <= balancer.nowNanos) {
                probeEndsAtNanos.remove(endpoint);
                boolean answered = health[endpoint] != Health.SILENT
                    && phases[endpoint] != EndpointPhase.REMOVED;
                carryOut(balancer.endLoadProbe(endpoint, answered ? Outcome.SUCCEEDED : Outcome.TIMED_OUT,
                    answered ? 0 : Double.NaN));
            }
        }
    }

    /** As the host does: each attempt and each load probe ends exactly once. */
    private void carryOut(Decisions decisions) {
        for (Decisions.StartAttempt start : decisions.attemptsToStart) {
            startAttempt(start);
        }
        for (EndpointId probed : decisions.loadProbes) {
            int endpoint = (int) probed.value();
            int millis = health[endpoint] == Health.SILENT ? PROBE_TIMEOUT_MILLIS : REPLY_MILLIS;
            probeEndsAtNanos.put(endpoint, balancer.nowNanos + millis * MS);
        }
        List<Decisions.CancelAttempt> cancelled = List.copyOf(decisions.attemptsToCancel);
        cancelled.forEach(this::cancelAttempt);
    }

    private void startAttempt(Decisions.StartAttempt start) {
        int endpoint = (int) start.endpoint().value();
        used.add(endpoint);
        int millis = health[endpoint] == Health.SILENT ? SILENCE_MILLIS : REPLY_MILLIS;
        long request = start.request().value();
        int number = attemptsStarted.merge(request, 1, Integer::sum) - 1;
        inFlight.add(new InFlight(request, number, endpoint, balancer.nowNanos + millis * MS));
    }

    private void cancelAttempt(Decisions.CancelAttempt cancel) {
        for (Iterator<InFlight> each = inFlight.iterator(); each.hasNext();) {
            InFlight attempt = each.next();
            if (attempt.request == cancel.request().value() && attempt.attempt == cancel.attempt()) {
                each.remove();
                carryOut(balancer.endAttempt(attempt.request, attempt.attempt, Outcome.CANCELLED));
                return;
            }
        }
    }
}
