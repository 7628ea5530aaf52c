package spurroad.balancer.endpoint;

import spurroad.balancer.statistics.DecayingAverage;
import spurroad.model.Deployment;

/**
 * How far an endpoint has warmed up since its start or its return by staff, and which fraction of the
 * requests for its keys it may be sent meanwhile.
 *
 * <p>Each proxy sends the same fraction of the endpoint's demand, never an amount: a fleet that sends a warm
 * endpoint r requests a second then sends a cold one fraction times r, however many proxies there are and
 * without their knowing of each other. {@link #demandRatio} corrects the fraction where this proxy's requests
 * fall to the endpoint more often than its part of the ring: a hot key would push a cold endpoint over.
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
     * Begins an incarnation of an endpoint.
     *
     * @param warmUpStartNanos since when it warms up; zero for long ago
     * @param previousRequests faded number of requests that fell to its former incarnation
     * @param previousProxyRequests faded number of all requests at this proxy until now
     */
    SlowStart(long warmUpStartNanos, double previousRequests, double previousProxyRequests, long now) {
        this.warmUpStartNanos = warmUpStartNanos;
        this.previousRequests = previousRequests;
        this.previousProxyRequests = previousProxyRequests;
        createdNanos = now;
        firstCandidateRequests.add(now, previousRequests, 0);
    }

    /** Returns whether it started so long ago that it may hold any key. */
    boolean startedLongAgo() {
        return warmUpStartNanos == 0;
    }

    /** Returns how far it has warmed up, from 0; from 1 on it is as warm as any. */
    public double warmUpProgress(long now, long slowStartNanos) {
        if (startedLongAgo()) {
            return 1;
        }
        return (double) Math.max(0, now - warmUpStartNanos) / Math.max(1, slowStartNanos);
    }

    /** Returns whether its warm-up is over. */
    public boolean isWarm(long now, Deployment settings) {
        return warmUpProgress(now, settings.slowStartNanos()) >= 1;
    }

    /** Returns the fraction of a warm endpoint's requests that it can carry now: growing evenly to 1. */
    public double sustainableFraction(long now, Deployment settings) {
        double initialFraction = settings.slowStartInitialFraction();
        return initialFraction + (1 - initialFraction) * warmUpProgress(now, settings.slowStartNanos());
    }

    /** Counts a first attempt whose key falls to it, whether it is sent there or not. */
    public void onFirstCandidateRequest(long now) {
        firstCandidateRequests.add(now, 1, 0);
    }

    /** Sets its part of the ring, from 0 to 1. */
    void setRingFraction(double fraction) {
        ringFraction = fraction;
    }

    double firstCandidateRequests(long now) {
        return firstCandidateRequests.sum(now);
    }

    /**
     * Returns how many times its part of the ring this proxy's requests fall to it, at least 1; one request
     * that falls to it by chance is left out. Taken over all that is remembered, which shows a key that has
     * long been hot, or since its start, which shows a sudden one, whichever is more.
     *
     * @param proxyRequests faded number of all requests at this proxy, with the same time constant
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
