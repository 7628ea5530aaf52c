package spurroad.balancer.overload;

import spurroad.balancer.endpoint.Attempt;
import spurroad.balancer.statistics.DecayingAverage;
import spurroad.model.Outcome;

/**
 * The number of concurrent attempts that the origin has recently sustained, found by additive increase and
 * multiplicative decrease (Chiu and Jain, 1989). Applies if the proxy itself fetches from the origin.
 *
 * <p>An answer in time raises the limit by its reciprocal if that many attempts were in flight; a late answer
 * lowers it by a tenth. The limit is not derived from the service time: with few attempts in flight an origin
 * that serves many concurrently looks slow, and a limit derived from that stayed low forever. Invariant: the
 * limit is at least {@link #MIN_LIMIT}.
 */
public final class ConcurrencyLimit {
    private static final double MIN_LIMIT = 2; // attempts; fewer would not show that the origin has recovered
    private static final double DECREASE_FACTOR = 0.9; // per late answer

    private final DecayingAverage readTime = new DecayingAverage(DecayingAverage.LONG_TERM_NANOS);
    private final DecayingAverage writeTime = new DecayingAverage(DecayingAverage.LONG_TERM_NANOS);
    private double limit = MIN_LIMIT;

    /** Returns the limit, in attempts in flight. */
    public double limit() {
        return limit;
    }

    /**
     * Adjusts the limit after an attempt that succeeded, timed out or was rejected.
     *
     * @param durationNanos duration of the attempt in nanoseconds, excluding stalls of this proxy
     * @return the duration scaled to that of a read, in nanoseconds; at least the latency objective unless
     * the attempt succeeded
     */
    public long onAttemptEnd(Attempt attempt, long durationNanos, Outcome outcome, long now) {
        long readNanos = outcome == Outcome.SUCCEEDED ? readEquivalentNanos(attempt, durationNanos, now)
            : Math.max(durationNanos, attempt.requestClass().latencyObjectiveNanos());
        if (LoadShedder.indicatesQueueing(attempt.requestClass(), readNanos)) {
            limit = Math.max(MIN_LIMIT, DECREASE_FACTOR * limit);
        } else {
            // bounded by the largest number of attempts in flight that has been observed to work
            limit = Math.max(limit, Math.min(limit + 1 / limit, attempt.queueLength() + 2));
        }
        return readNanos;
    }

    /**
     * Returns the duration of an attempt scaled to that of a read: a write's duration is multiplied by the
     * ratio of the mean read time to the mean write time. Without scaling, an origin that received mostly
     * writes looked saturated; as writes take precedence, its fraction of writes kept growing.
     */
    private long readEquivalentNanos(Attempt attempt, long durationNanos, long now) {
        DecayingAverage meanTime = attempt.isWrite() ? writeTime : readTime;
        meanTime.add(now, (double) durationNanos, 1);
        double readToWriteRatio = readTime.mean(now, 0, 0) / writeTime.mean(now, 0, 0);
        boolean scalesToRead = attempt.isWrite() && readToWriteRatio > 0 && readToWriteRatio < 1;
        return scalesToRead ? (long) (readToWriteRatio * durationNanos) : durationNanos;
    }
}
