package spurroad.control.distribution.subscribe;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import spurroad.control.distribution.DistributionSettings;
import spurroad.control.distribution.ProcessId;

/**
 * Chooses the next candidate for a parent: preferred ones before others, each group in a random order that
 * spreads children over them. A candidate that failed or rejected is excluded for a backoff time. Times are
 * nanoseconds of a monotonic clock.
 */
final class ParentSelector {
    private static final long MIN_BACKOFF_NANOS = DistributionSettings.NANOS_PER_SECOND;
    private static final int MAX_BACKOFF_DOUBLINGS = 3;
    private static final long NO_BACKOFF = Long.MIN_VALUE;

    private final Random random;
    private List<ProcessId> preferred = List.of();
    private List<ProcessId> candidates = List.of();
    private final Map<ProcessId, Long> backoffUntilNanos = new HashMap<>();
    private final Map<ProcessId, Integer> consecutiveFailures = new HashMap<>();

    ParentSelector(Random random) {
        this.random = random;
    }

    /** Replaces the candidates, and clears all backoff and failure counts. */
    void setCandidates(List<ProcessId> preferredCandidates, List<ProcessId> otherCandidates) {
        preferred = shuffled(preferredCandidates);
        candidates = new ArrayList<>(preferred);
        candidates.addAll(shuffled(otherCandidates));
        clearBackoff();
        consecutiveFailures.clear();
    }

    private List<ProcessId> shuffled(List<ProcessId> ids) {
        List<ProcessId> order = new ArrayList<>(ids);
        Collections.shuffle(order, random);
        return order;
    }

    /** Returns the number of candidates, including preferred ones. */
    int candidateCount() {
        return candidates.size();
    }

    /** Returns whether a process is a preferred candidate. */
    boolean isPreferred(ProcessId candidate) {
        return preferred.contains(candidate);
    }

    /**
     * Returns the candidate to subscribe to at {@code nowNanos}, or null if all are in backoff or there is
     * none.
     */
    ProcessId nextCandidate(long nowNanos) {
        for (ProcessId candidate : candidates) {
            if (backoffEndNanos(candidate) <= nowNanos) {
                return candidate;
            }
        }
        return null;
    }

    /**
     * Returns when the first backoff ends, in nanoseconds, or {@code Long.MAX_VALUE} if there are no
     * candidates.
     */
    long nextCandidateNanos() {
        long earliestNanos = Long.MAX_VALUE;
        for (ProcessId candidate : candidates) {
            earliestNanos = Math.min(earliestNanos, backoffEndNanos(candidate));
        }
        return earliestNanos;
    }

    private long backoffEndNanos(ProcessId candidate) {
        return backoffUntilNanos.getOrDefault(candidate, NO_BACKOFF);
    }

    /**
     * Records that a candidate did not answer or was lost; its backoff doubles with each consecutive failure.
     */
    void onFailure(ProcessId candidate, long nowNanos) {
        int doublings = Math.min(MAX_BACKOFF_DOUBLINGS,
            consecutiveFailures.merge(candidate, 1, Integer::sum) - 1);
        long backoffNanos = MIN_BACKOFF_NANOS << doublings;
        backoffUntilNanos.put(candidate,
            nowNanos + backoffNanos / 2 + (long) (random.nextDouble() * backoffNanos));
    }

    /**
     * Records that a candidate rejected the subscription, and excludes it for {@code backoffNanos} plus up to
     * 50% of random jitter.
     */
    void onRejection(ProcessId candidate, long nowNanos, long backoffNanos) {
        backoffUntilNanos.put(candidate,
            nowNanos + backoffNanos + (long) (random.nextDouble() * backoffNanos / 2));
    }

    /** Records that a candidate became the parent. */
    void onSuccess(ProcessId candidate) {
        consecutiveFailures.remove(candidate);
    }

    /** Ends all backoff, so that preferred candidates are tried first again. */
    void clearBackoff() {
        backoffUntilNanos.clear();
    }
}
