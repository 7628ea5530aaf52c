package spurroad.balancer.endpoint;

import spurroad.balancer.statistics.DecayingAverage;

/**
 * Mean time per request in an endpoint's queue: the duration of completed attempts divided by the queue
 * length when each was sent, including the attempt itself. By Little's law this is the time that each request
 * in the queue adds. It is measured separately for each source of the queue length.
 */
public final class ServiceTime {
    private final DecayingAverage ownAttempts = new DecayingAverage(DecayingAverage.SHORT_TERM_NANOS);
    private final DecayingAverage reported = new DecayingAverage(DecayingAverage.SHORT_TERM_NANOS);

    /**
     * Records the end of an attempt.
     *
     * @param reflectsQueue whether the duration reflects the queue; if not, it is ignored and earlier values
     *     only decay
     */
    public void record(Attempt attempt, boolean reflectsQueue, long durationNanos, long now) {
        DecayingAverage average = average(attempt.loadSource());
        if (reflectsQueue) {
            average.add(now, (double) durationNanos, attempt.queueLength() + 1);
        } else {
            average.add(now, 0, 0);
        }
    }

    /**
     * Returns the mean in nanoseconds per request in the queue.
     *
     * @param priorNanos expected value, which has the weight of two observations
     */
    public double meanNanos(LoadSource source, long now, double priorNanos) {
        return average(source).mean(now, DecayingAverage.PRIOR_WEIGHT, priorNanos);
    }

    private DecayingAverage average(LoadSource source) {
        return source == LoadSource.REPORTED ? reported : ownAttempts;
    }
}
