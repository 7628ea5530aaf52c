package spurroad.balancer;

import static spurroad.balancer.BalancerFixture.MS;
import static spurroad.balancer.BalancerFixture.READ;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Consumer;
import spurroad.model.Decisions;
import spurroad.model.DeduplicationScope;
import spurroad.model.EndpointPhase;
import spurroad.model.Fleet;
import spurroad.model.Outcome;

/**
 * Simulates a fleet of proxies without gossip from ten seconds before endpoint 0 becomes cold until four
 * seconds after that, and measures how many attempts are started there within a sliding window. Time is
 * simulated.
 */
final class ColdEndpointSimulation {
    private static final long NEVER_NANOS = Long.MAX_VALUE;
    private static final int ENDPOINTS = 8;
    private static final long COLD_ENDPOINT = 0;
    private static final double INITIAL_FRACTION = 0.3; // of the capacity, as BalancerFixture sets it
    private static final double SLOW_START_SECONDS = 8; // as BalancerFixture sets it
    /**
     * Multiple of its current capacity at which a cold endpoint fails; the lowest value known from a
     * deployment.
     */
    private static final double FAILURE_MULTIPLE = 2;
    private static final double WINDOW_SECONDS = 1.5;
    private static final double NORMAL_LOAD = 0.7; // of the capacity of all endpoints
    private static final double HOT_KEY_FRACTION = 0.2; // of all requests
    private static final long SERVICE_TIME_NANOS = 20 * MS;

    /** How requests arrive, and how the endpoint becomes cold. */
    enum Traffic {
        /** Normal load all the time. */
        EVEN(NORMAL_LOAD, 0, 0),
        /** 1.5 times the normal load from the moment at which the endpoint becomes cold. */
        BURST(1.5 * NORMAL_LOAD, 0, 0),
        /** 1.5 times the capacity of all endpoints from the moment at which the endpoint becomes cold. */
        OVERLOAD(1.5, 0, 0),
        /** A fifth of all requests are for one key of the cold endpoint, all the time. */
        HOT_KEY(NORMAL_LOAD, HOT_KEY_FRACTION, HOT_KEY_FRACTION),
        /** As HOT_KEY, but only from the moment at which the endpoint becomes cold, and with a burst. */
        SUDDEN_HOT_KEY(1.5 * NORMAL_LOAD, 0, HOT_KEY_FRACTION),
        /** One proxy in ten gets more than seven times the requests of each other proxy; with a burst. */
        UNEVEN(1.5 * NORMAL_LOAD, 0, 0),
        /** Endpoints reject half of all requests at random; with a burst. */
        REJECTED_ELSEWHERE(1.5 * NORMAL_LOAD, 0, 0),
        /** An operator returns the endpoint to use at all proxies at the same moment; with a burst. */
        RETURNED_BY_OPERATOR(1.5 * NORMAL_LOAD, 0, 0),
        /** As RETURNED_BY_OPERATOR, but at low load: each proxy gets a request only in some seconds. */
        RETURNED_BY_OPERATOR_LOW_LOAD(0.2, 0, 0);

        private final double loadWhileCold; // as a fraction of the capacity of all endpoints
        private final double hotKeyFractionBefore;
        private final double hotKeyFractionWhileCold;

        Traffic(double loadWhileCold, double hotKeyFractionBefore, double hotKeyFractionWhileCold) {
            this.loadWhileCold = loadWhileCold;
            this.hotKeyFractionBefore = hotKeyFractionBefore;
            this.hotKeyFractionWhileCold = hotKeyFractionWhileCold;
        }

        private boolean isReturnedByOperator() {
            return this == RETURNED_BY_OPERATOR || this == RETURNED_BY_OPERATOR_LOW_LOAD;
        }
    }

    /** The window with the highest number of attempts relative to the allowed one, of several simulations. */
    static final class WorstWindow {
        private int attempts;
        private double allowed = 1;
        private int failures;

        private void add(int windowAttempts, double windowAllowed) {
            if (windowAttempts * allowed > attempts * windowAllowed) {
                attempts = windowAttempts;
                allowed = windowAllowed;
            }
        }

        int attempts() {
            return attempts;
        }

        double allowed() {
            return allowed;
        }

        /** Returns the number of simulations in which some window had more attempts than allowed. */
        int failures() {
            return failures;
        }
    }

    private record AttemptEnd(long atNanos, int proxy, long request, int number) {}

    private final Traffic traffic;
    private final Random random;
    private final List<BalancerFixture> fleet = new ArrayList<>();
    private final PriorityQueue<AttemptEnd> pendingEnds = new PriorityQueue<>(
        Comparator.comparingLong(AttemptEnd::atNanos));
    private final Map<Long, Integer> attemptCounts = new HashMap<>();
    private final Deque<Long> window = new ArrayDeque<>();
    private final double capacityPerSecond; // of a warm endpoint
    private final WorstWindow worst;
    private final long hotKey;
    private long coldSinceNanos = NEVER_NANOS;
    private long lastRequest;
    private boolean hasFailed;

    ColdEndpointSimulation(Traffic traffic, int proxies, double capacityPerSecond, long seed,
                           WorstWindow worst) {
        this.traffic = traffic;
        this.capacityPerSecond = capacityPerSecond;
        this.worst = worst;
        random = new Random(seed);
        for (int i = 0; i < proxies; i++) {
            BalancerFixture fixture = new BalancerFixture(false, DeduplicationScope.ALL, seed * 1000 + i,
                new Fleet(null, i, proxies, false));
            fixture.updateEndpoints(true, BalancerFixture.endpoints(ENDPOINTS, false));
            fleet.add(fixture);
        }
        hotKey = findKeyOfColdEndpoint(fleet.get(0));
    }

    private static long findKeyOfColdEndpoint(BalancerFixture fixture) {
        long key = 1;
        while (fixture.targetOf(-key, READ, key) != COLD_ENDPOINT) {
            fixture.endAttempt(-key, 0, Outcome.SUCCEEDED);
            key++;
        }
        fixture.endAttempt(-key, 0, Outcome.SUCCEEDED);
        return key;
    }

    void run() {
        long startNanos = fleet.get(0).nowNanos;
        long drainedNanos = startNanos + 6_000 * MS;
        sendRequests(startNanos, drainedNanos, NORMAL_LOAD, traffic.hotKeyFractionBefore);
        if (traffic.isReturnedByOperator()) {
            applyToFleet(drainedNanos, fixture -> fixture.setDrained(COLD_ENDPOINT, true));
            sendRequests(drainedNanos, startNanos + 10_000 * MS, NORMAL_LOAD, 0);
        }
        coldSinceNanos = startNanos + 10_000 * MS;
        applyToFleet(coldSinceNanos, this::makeCold);
        sendRequests(coldSinceNanos, coldSinceNanos + 4_000 * MS, traffic.loadWhileCold,
            traffic.hotKeyFractionWhileCold);
    }

    private void makeCold(BalancerFixture fixture) {
        if (traffic.isReturnedByOperator()) {
            fixture.setDrained(COLD_ENDPOINT, false);
        } else {
            fixture.updateEndpoint(COLD_ENDPOINT, EndpointPhase.READY, coldSinceNanos);
        }
    }

    private void applyToFleet(long atNanos, Consumer<BalancerFixture> action) {
        for (BalancerFixture fixture : fleet) {
            fixture.nowNanos = atNanos;
            action.accept(fixture);
        }
    }

    private void sendRequests(long fromNanos, long untilNanos, double load, double hotKeyFraction) {
        double meanIntervalNanos = 1e9 / (load * capacityPerSecond * ENDPOINTS);
        for (double at = fromNanos + randomIntervalNanos(meanIntervalNanos); at
            < untilNanos; at += randomIntervalNanos(meanIntervalNanos)) {
            endAttempts((long) at);
            sendRequest((long) at, hotKeyFraction);
        }
    }

    private double randomIntervalNanos(double meanNanos) {
        return -meanNanos * Math.log(1 - random.nextDouble());
    }

    private void sendRequest(long atNanos, double hotKeyFraction) {
        int proxy = random.nextInt(fleet.size());
        if (traffic == Traffic.UNEVEN && random.nextDouble() < 0.4) {
            proxy = random.nextInt(Math.max(1, fleet.size() / 10));
        }
        BalancerFixture fixture = fleet.get(proxy);
        fixture.nowNanos = atNanos;
        long key = random.nextDouble() < hotKeyFraction ? hotKey : 1000 + random.nextInt(100_000);
        applyDecisions(proxy, fixture.request(++lastRequest, READ, key));
    }

    private void endAttempts(long untilNanos) {
        while (!pendingEnds.isEmpty() && pendingEnds.peek().atNanos <= untilNanos) {
            AttemptEnd end = pendingEnds.poll();
            BalancerFixture fixture = fleet.get(end.proxy);
            fixture.nowNanos = end.atNanos;
            boolean rejected = traffic == Traffic.REJECTED_ELSEWHERE && random.nextBoolean();
            applyDecisions(end.proxy, fixture.endAttempt(end.request, end.number,
                rejected ? Outcome.REJECTED : Outcome.SUCCEEDED));
        }
    }

    private void applyDecisions(int proxy, Decisions decisions) {
        long nowNanos = fleet.get(proxy).nowNanos;
        for (Decisions.StartAttempt start : List.copyOf(decisions.attemptsToStart)) {
            long request = start.request().value();
            int number = attemptCounts.merge(request, 1, Integer::sum) - 1;
            pendingEnds.add(new AttemptEnd(nowNanos + SERVICE_TIME_NANOS, proxy, request, number));
            if (start.endpoint().value() == COLD_ENDPOINT && coldSinceNanos != NEVER_NANOS) {
                countAttempt(nowNanos);
            }
        }
    }

    private void countAttempt(long nowNanos) {
        window.add(nowNanos);
        while (window.peek() < nowNanos - WINDOW_SECONDS * 1e9) {
            window.remove();
        }
        double allowed = allowedAttempts(nowNanos);
        worst.add(window.size(), allowed);
        if (!hasFailed && window.size() > allowed) {
            hasFailed = true;
            worst.failures++;
        }
    }

    /**
     * Returns the allowed number of attempts in a window: 2 * sqrt(n) + 2 more than the expected number n,
     * for random variation.
     */
    private double allowedAttempts(long nowNanos) {
        double warmUpProgress = Math.min(1, (nowNanos - coldSinceNanos) / 1e9 / SLOW_START_SECONDS);
        double fraction = INITIAL_FRACTION + (1 - INITIAL_FRACTION) * warmUpProgress;
        double expected = FAILURE_MULTIPLE * fraction * capacityPerSecond * WINDOW_SECONDS;
        return expected + 2 * Math.sqrt(expected) + 2;
    }
}
