package spurroad.balancer.endpoint;

import spurroad.balancer.statistics.DecayingAverage;
import spurroad.model.Deployment;

/**
 * The warm-up of an endpoint after its start or its return to use by operators, and the fraction of its
 * requests that may be sent to it meanwhile.
 *
 * <p>Each proxy sends the same fraction of the endpoint's demand instead of a fixed amount: a fleet that
 * would send r requests per second to a warm endpoint then sends fraction * r to a cold one, for any number
 * of proxies and without coordination between them. {@link #demandRatio} corrects the fraction if this
 * proxy's requests have the endpoint as their first candidate more often than its share of the ring implies:
 * a hot key would otherwise overload a cold endpoint.
 */
public final class SlowStart {
    private final long warmUpStartNanos;
    private final long createdNanos;
    private final double previousProxyRequests;
    private final double previousRequests;
    private final DecayingAverage firstCandidateRequests = new DecayingAverage(
        DecayingAverage.LONG_TERM_NANOS);
    private double ringFraction = 1;

    /**
     * Creates the state of a new incarnation.
     *
     * @param warmUpStartNanos start of the warm-up, in nanoseconds; zero if the endpoint started long ago
     * @param previousRequests exponentially decayed number of requests whose first candidate was the previous
     *     incarnation
     * @param previousProxyRequests exponentially decayed number of all requests at this proxy until now
     */
    SlowStart(long warmUpStartNanos, double previousRequests, double previousProxyRequests, long now) {
        this.warmUpStartNanos = warmUpStartNanos;
        this.previousRequests = previousRequests;
        this.previousProxyRequests = previousProxyRequests;
        createdNanos = now;
        firstCandidateRequests.add(now, previousRequests, 0);
    }

    /** Returns whether the endpoint started so long ago that it may have any key cached. */
    boolean startedLongAgo() {
        return warmUpStartNanos == 0;
    }

    /** Returns the progress of the warm-up: 0 at its start, 1 or more when it is complete. */
    public double warmUpProgress(long now, long slowStartNanos) {
        if (startedLongAgo()) {
            return 1;
        }
        return (double) Math.max(0, now - warmUpStartNanos) / Math.max(1, slowStartNanos);
    }

    /** Returns whether the warm-up is complete. */
    public boolean isWarm(long now, Deployment settings) {
        return warmUpProgress(now, settings.slowStartNanos()) >= 1;
    }

    /**
     * Returns the fraction of a warm endpoint's requests that the endpoint can handle now. It grows linearly,
     * reaches 1 at the end of the warm-up and may exceed 1 after it.
     */
    public double sustainableFraction(long now, Deployment settings) {
        double initialFraction = settings.slowStartInitialFraction();
        return initialFraction + (1 - initialFraction) * warmUpProgress(now, settings.slowStartNanos());
    }

    /** Counts a request whose first candidate is this endpoint, whether it is sent there or not. */
    public void onFirstCandidateRequest(long now) {
        firstCandidateRequests.add(now, 1, 0);
    }

    /** Sets the endpoint's share of the ring, from 0 to 1. */
    void setRingFraction(double fraction) {
        ringFraction = fraction;
    }

    double firstCandidateRequests(long now) {
        return firstCandidateRequests.sum(now);
    }

    /**
     * Returns the ratio of this proxy's requests whose first candidate is the endpoint to those expected from
     * its share of the ring, at least 1. One request is subtracted, since a single one may be due to chance.
     * The result is the higher of two ratios: over all remembered requests, which shows a key that has been
     * hot for long, and since the incarnation began, which shows a key that became hot suddenly.
     *
     * @param proxyRequests exponentially decayed number of all requests at this proxy, with the same time
     *     constant
     */
    public double demandRatio(double proxyRequests, long now) {
        double remaining = Math.exp((createdNanos - now) / (double) DecayingAverage.LONG_TERM_NANOS);
        double recentRequests = firstCandidateRequests.sum(now) - 1;
        double requestsSinceStart = recentRequests - remaining * previousRequests;
        double expectedRequestsSinceStart = (proxyRequests - remaining * previousProxyRequests)
            * ringFraction;
        double ratioSinceStart = expectedRequestsSinceStart > 0
            ? requestsSinceStart / expectedRequestsSinceStart : 1;
        return Math.max(1, Math.max(recentRequests / (proxyRequests * ringFraction), ratioSinceStart));
    }
}
