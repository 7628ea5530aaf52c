package spurroad.balancer.endpoint;

import spurroad.balancer.statistics.DecayingAverage;

/**
 * Mean time per request in the queue: the time of completed attempts over the queue length that each met,
 * itself included. By Little's law this is what a unit of the queue length costs; it is learnt separately by
 * the source of that length.
 */
public final class ServiceTime {
    private final DecayingAverage ownAttempts = new DecayingAverage(DecayingAverage.SHORT_TERM_NANOS);
    private final DecayingAverage reported = new DecayingAverage(DecayingAverage.SHORT_TERM_NANOS);

    /**
     * Records the end of an attempt.
     *
     * @param reflectsQueue whether the time reflects the queue; else only the known values age
     */
    public void record(Attempt attempt, boolean reflectsQueue, long durationNanos, long now) {
        DecayingAverage average = average(attempt.loadSource());
        if (reflectsQueue) {
            average.add(now, (double) durationNanos, attempt.queueLength() + 1);
        } else {
            average.add(now, 0, 0);
        }
    }

    /** Returns the mean in nanoseconds, where an expected value counts for two observations. */
    public double meanNanos(LoadSource source, long now, double priorNanos) {
        return average(source).mean(now, DecayingAverage.PRIOR_WEIGHT, priorNanos);
    }

    private DecayingAverage average(LoadSource source) {
        return source == LoadSource.REPORTED ? reported : ownAttempts;
    }
}
