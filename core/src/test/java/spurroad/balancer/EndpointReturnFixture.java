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

/** One load balancer with a steady rate of reads, whose endpoints and settings change in any order. */
final class EndpointReturnFixture {
    static final int ENDPOINTS = 5;

    /** A change of one endpoint, of the clients or of the settings. */
    enum Change {
        FAILS, STOPS_REPLYING, RECOVERS, DRAINS, IS_REMOVED, IS_READY, RESTARTS, OPERATOR_DRAIN,
        OPERATOR_RETURN,
        CLIENTS_DISCONNECT, LOAD_PROBES_DISABLED, LOAD_PROBES_ENABLED, GOSSIP_ENABLED, GOSSIP_DISABLED
    }

    /** A change, and the time until the next one. */
    record Event(Change change, int endpoint, int pauseMillis) {}

    private enum Health {
        HEALTHY, FAILING, UNRESPONSIVE
    }

    private record InFlightAttempt(long request, int number, int endpoint, long endsAtNanos) {}

    private static final int STEP_MILLIS = 10;
    private static final int REPLY_MILLIS = 15;
    private static final int ATTEMPT_TIMEOUT_MILLIS = 400; // for attempts at an unresponsive endpoint
    private static final int PROBE_TIMEOUT_MILLIS = 100;

    private final BalancerFixture balancer = BalancerFixture.of(ENDPOINTS, false);
    private final Health[] health = new Health[ENDPOINTS];
    private final EndpointPhase[] phases = new EndpointPhase[ENDPOINTS];
    private final long[] startNanos = new long[ENDPOINTS];
    private final List<InFlightAttempt> inFlight = new ArrayList<>();
    private final Map<Long, Integer> attemptCounts = new HashMap<>(); // by request
    private final Map<Integer, Long> probeEndsAtNanos = new HashMap<>();
    private final Set<Integer> usedEndpoints = new HashSet<>();
    private long lastRequest;
    private boolean loadProbesAllowed = true;
    private boolean gossipEnabled;

    EndpointReturnFixture() {
        Arrays.fill(health, Health.HEALTHY);
        Arrays.fill(phases, EndpointPhase.READY);
    }

    /** Applies the events in order while requests are sent at a steady rate. */
    void run(List<Event> events) {
        for (Event event : events) {
            apply(event.change, event.endpoint);
            advance(event.pauseMillis);
        }
    }

    /**
     * Makes all endpoints healthy, lists them as ready in discovery, and returns those that operators
     * drained.
     */
    void recoverAndListAll() {
        for (int endpoint = 0; endpoint < ENDPOINTS; endpoint++) {
            apply(Change.RECOVERS, endpoint);
            apply(Change.IS_READY, endpoint);
            apply(Change.OPERATOR_RETURN, endpoint);
        }
    }

    /** Sends requests for the given time, and returns the endpoints that got none in its last second. */
    List<Integer> unusedAfter(int millis) {
        advance(millis - 1_000);
        usedEndpoints.clear();
        advance(1_000);
        return IntStream.range(0, ENDPOINTS).filter(endpoint -> !usedEndpoints.contains(endpoint)).boxed()
            .toList();
    }

    private void apply(Change change, int endpoint) {
        switch (change) {
            case FAILS -> health[endpoint] = Health.FAILING;
            case STOPS_REPLYING -> health[endpoint] = Health.UNRESPONSIVE;
            case RECOVERS -> health[endpoint] = Health.HEALTHY;
            case DRAINS -> listEndpoint(endpoint, EndpointPhase.DRAINING);
            case IS_REMOVED -> listEndpoint(endpoint, EndpointPhase.REMOVED);
            case IS_READY -> listEndpoint(endpoint, EndpointPhase.READY);
            case RESTARTS -> {
                startNanos[endpoint] = balancer.nowNanos;
                listEndpoint(endpoint, EndpointPhase.READY);
            }
            case OPERATOR_DRAIN -> applyDecisions(balancer.setDrained(endpoint, true));
            case OPERATOR_RETURN -> applyDecisions(balancer.setDrained(endpoint, false));
            case CLIENTS_DISCONNECT -> disconnectClients();
            case LOAD_PROBES_DISABLED -> reload(false, gossipEnabled);
            case LOAD_PROBES_ENABLED -> reload(true, gossipEnabled);
            case GOSSIP_ENABLED -> reload(loadProbesAllowed, true);
            case GOSSIP_DISABLED -> reload(loadProbesAllowed, false);
        }
    }

    private void listEndpoint(int endpoint, EndpointPhase phase) {
        phases[endpoint] = phase;
        applyDecisions(balancer.updateEndpoint(endpoint, phase, startNanos[endpoint]));
    }

    private void disconnectClients() {
        for (InFlightAttempt attempt : List.copyOf(inFlight)) {
            applyDecisions(balancer.disconnectClient(attempt.request));
        }
    }

    private void reload(boolean allowLoadProbes, boolean enableGossip) {
        loadProbesAllowed = allowLoadProbes;
        gossipEnabled = enableGossip;
        Deployment replacement = BalancerFixture.withLoadProbes(balancer.deployment, allowLoadProbes);
        applyDecisions(balancer.changeDeployment(replacement.withFleet(new Fleet(null, 0, 1, enableGossip))));
    }

    private void advance(int millis) {
        for (int elapsed = 0; elapsed < millis; elapsed += STEP_MILLIS) {
            applyDecisions(balancer.advance(STEP_MILLIS));
            endAttemptsDue();
            endProbesDue();
            lastRequest++;
            applyDecisions(balancer.request(lastRequest, READ, lastRequest));
        }
    }

    private void endAttemptsDue() {
        for (InFlightAttempt attempt : List.copyOf(inFlight)) {
            if (attempt.endsAtNanos <= balancer.nowNanos && inFlight.remove(attempt)) {
                applyDecisions(
                    balancer.endAttempt(attempt.request, attempt.number, outcomeAt(attempt.endpoint)));
            }
        }
    }

    private Outcome outcomeAt(int endpoint) {
        return switch (health[endpoint]) {
            case HEALTHY -> Outcome.SUCCEEDED;
            case FAILING -> Outcome.FAILED;
            case UNRESPONSIVE -> Outcome.TIMED_OUT;
        };
    }

    private void endProbesDue() {
        for (int endpoint : List.copyOf(probeEndsAtNanos.keySet())) {
            if (probeEndsAtNanos.get(endpoint) <= balancer.nowNanos) {
                probeEndsAtNanos.remove(endpoint);
                boolean answered = health[endpoint] != Health.UNRESPONSIVE
                    && phases[endpoint] != EndpointPhase.REMOVED;
                applyDecisions(
                    balancer.endLoadProbe(endpoint, answered ? Outcome.SUCCEEDED : Outcome.TIMED_OUT,
                        answered ? 0 : Double.NaN));
            }
        }
    }

    /** Executes decisions as the host does: each attempt and each load probe ends exactly once. */
    private void applyDecisions(Decisions decisions) {
        for (Decisions.StartAttempt start : decisions.attemptsToStart) {
            startAttempt(start);
        }
        for (EndpointId probed : decisions.loadProbes) {
            int endpoint = (int) probed.value();
            int delayMillis = health[endpoint] == Health.UNRESPONSIVE ? PROBE_TIMEOUT_MILLIS : REPLY_MILLIS;
            probeEndsAtNanos.put(endpoint, balancer.nowNanos + delayMillis * MS);
        }
        List<Decisions.CancelAttempt> cancelled = List.copyOf(decisions.attemptsToCancel);
        cancelled.forEach(this::cancelAttempt);
    }

    private void startAttempt(Decisions.StartAttempt start) {
        int endpoint = (int) start.endpoint().value();
        usedEndpoints.add(endpoint);
        int delayMillis = health[endpoint] == Health.UNRESPONSIVE ? ATTEMPT_TIMEOUT_MILLIS : REPLY_MILLIS;
        long request = start.request().value();
        int number = attemptCounts.merge(request, 1, Integer::sum) - 1;
        inFlight.add(new InFlightAttempt(request, number, endpoint, balancer.nowNanos + delayMillis * MS));
    }

    private void cancelAttempt(Decisions.CancelAttempt cancel) {
        for (Iterator<InFlightAttempt> iterator = inFlight.iterator(); iterator.hasNext();) {
            InFlightAttempt attempt = iterator.next();
            if (attempt.request == cancel.request().value() && attempt.number == cancel.attempt()) {
                iterator.remove();
                applyDecisions(balancer.endAttempt(attempt.request, attempt.number, Outcome.CANCELLED));
                return;
            }
        }
    }
}
