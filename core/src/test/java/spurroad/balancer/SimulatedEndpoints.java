package spurroad.balancer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import spurroad.model.LoadReport;
import spurroad.model.Outcome;

/**
 * Simulated endpoints that are healthy, slow, unresponsive, failing, full or unreachable for a while. Each
 * call draws the next numbers from the caller's random generator, so that the order of calls determines all
 * replies.
 */
final class SimulatedEndpoints {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long ORIGIN = 0;

    private enum Behaviour {
        HEALTHY, SLOW, UNRESPONSIVE, FAILING, FULL, UNREACHABLE
    }

    /**
     * How an attempt ends.
     *
     * @param delayNanos time from the start of the attempt to its end
     */
    record Reply(long delayNanos, Outcome outcome) {}

    private final Random random;
    private final Map<Long, Behaviour> behaviours = new HashMap<>(); // by endpoint
    private final Map<Long, Integer> inFlight = new HashMap<>(); // by endpoint

    SimulatedEndpoints(Random random) {
        this.random = random;
    }

    private Behaviour behaviourOf(long endpoint) {
        return behaviours.getOrDefault(endpoint, Behaviour.HEALTHY);
    }

    int inFlight(long endpoint) {
        return inFlight.getOrDefault(endpoint, 0);
    }

    Reply startAttempt(long endpoint) {
        int queueLength = inFlight.merge(endpoint, 1, Integer::sum);
        long delayNanos = serviceTimeNanos(endpoint, queueLength);
        return new Reply(delayNanos, outcome(endpoint));
    }

    private long serviceTimeNanos(long endpoint, int queueLength) {
        double meanMillis = (endpoint == ORIGIN ? 40 : 8) * (1 + 0.3 * queueLength);
        double randomMillis = -Math.log(1 - random.nextDouble()) * meanMillis;
        return switch (behaviourOf(endpoint)) {
            case HEALTHY -> (long) (randomMillis * NANOS_PER_MILLI);
            case SLOW -> (long) (12 * randomMillis * NANOS_PER_MILLI);
            case UNRESPONSIVE -> 60_000 * NANOS_PER_MILLI;
            case FAILING, FULL, UNREACHABLE -> random.nextInt(3) * NANOS_PER_MILLI;
        };
    }

    private Outcome outcome(long endpoint) {
        int draw = random.nextInt(200);
        return switch (behaviourOf(endpoint)) {
            case FULL -> Outcome.REJECTED;
            case UNREACHABLE -> Outcome.NO_CONNECTION;
            case FAILING ->
                draw < 100 ? Outcome.FAILED : draw < 160 ? Outcome.CONNECTION_LOST : Outcome.SUCCEEDED;
            case HEALTHY, SLOW, UNRESPONSIVE -> draw < Outcome.values().length ? Outcome.values()[draw]
                : endpoint != ORIGIN && draw < 70 ? Outcome.CACHE_MISS : Outcome.SUCCEEDED;
        };
    }

    /** Ends an attempt, and returns the load report in its reply. */
    LoadReport endAttempt(long endpoint) {
        int remaining = inFlight.merge(endpoint, -1, Integer::sum);
        return switch (random.nextInt(4)) {
            case 0 -> new LoadReport(remaining, Double.NaN);
            case 1 -> new LoadReport(Double.NaN, Math.max(0, remaining - 1));
            default -> LoadReport.NONE;
        };
    }

    boolean failsLoadProbe(long endpoint) {
        Behaviour behaviour = behaviourOf(endpoint);
        return behaviour == Behaviour.UNRESPONSIVE || behaviour == Behaviour.UNREACHABLE
            || random.nextInt(30) == 0;
    }

    /** Changes the behaviour of one endpoint at random, and makes another one healthy, or sometimes all. */
    void changeBehaviours(List<Long> endpoints) {
        long changed = endpoints.get(random.nextInt(endpoints.size()));
        behaviours.put(changed, Behaviour.values()[random.nextInt(Behaviour.values().length)]);
        long recovered = endpoints.get(random.nextInt(endpoints.size()));
        behaviours.remove(recovered);
        if (random.nextInt(4) == 0) {
            behaviours.clear();
        }
    }
}
