package spurroad.balancer.overload;

import spurroad.balancer.context.ActiveDeployment;
import spurroad.balancer.context.EventContext;
import spurroad.balancer.context.RandomDraws;
import spurroad.balancer.statistics.DecayingAverage;
import spurroad.model.RequestClass;

/**
 * Decides which requests are rejected on arrival because of overload.
 *
 * <p>Overload is measured as the fraction of recent requests that took most of their latency objective, or
 * were rejected after an attempt. It counts requests rather than attempts, because a full endpoint costs
 * little if the next candidate answers. Requests over quota are shed first, at random; then reads, by key, so
 * that the keys that are still served stay cached. Writes are shed only with gossip and while the origin
 * behind the endpoints has a large backlog.
 */
public final class LoadShedder {
    // of the latency objective; a longer duration indicates queueing
    private static final double OVERLOADED_TIME_FRACTION = 0.7;
    // overloaded fraction of requests at which all requests over quota are shed
    private static final double OVER_QUOTA_SHEDDING_LIMIT = 0.1;
    // overloaded fraction of requests above which reads are shed, all of them at 1: endpoints that only
    // reject requests serve nobody
    private static final double READ_SHEDDING_START = 0.5;
    // the same with gossip, where all reads are shed at READ_SHEDDING_START: with the higher limits an
    // overload did not clear by itself
    private static final double READ_SHEDDING_START_WITH_GOSSIP = 0.2;

    private final ActiveDeployment deployment;
    private final EventContext event;
    private final RandomDraws random;
    private final OriginBacklog originBacklog;
    private final DecayingAverage overloadedRequests = new DecayingAverage(DecayingAverage.SHORT_TERM_NANOS);

    /** Creates a load shedder that has not observed any overload. */
    public LoadShedder(ActiveDeployment deployment, EventContext event, RandomDraws random,
                       OriginBacklog originBacklog) {
        this.deployment = deployment;
        this.event = event;
        this.random = random;
        this.originBacklog = originBacklog;
    }

    /** Returns the fraction of recent requests, from 0 to 1, that were slow or were rejected. */
    public double overloadedFraction() {
        return overloadedRequests.mean(event.now(), DecayingAverage.PRIOR_WEIGHT, 0);
    }

    /**
     * Returns whether a duration in nanoseconds is so long, relative to the latency objective, that it
     * indicates queueing.
     */
    public static boolean indicatesQueueing(RequestClass requestClass, long durationNanos) {
        return durationNanos > OVERLOADED_TIME_FRACTION * requestClass.latencyObjectiveNanos();
    }

    /**
     * Records a request that succeeded.
     *
     * @param remainingNanos time left until its latency objective, in nanoseconds; negative after it
     */
    public void onSuccess(RequestClass requestClass, long remainingNanos) {
        boolean slow = -remainingNanos
            > (OVERLOADED_TIME_FRACTION - 1) * requestClass.latencyObjectiveNanos();
        overloadedRequests.add(event.now(), slow ? 1 : 0, 1);
    }

    /** Records a request that was abandoned after an attempt, which counts as overloaded. */
    public void onFailure() {
        overloadedRequests.add(event.now(), 1, 1);
    }

    /**
     * Decides whether to reject a request on arrival.
     *
     * @param keyDraw number from 0 to 1 derived from its key, the same at every proxy
     */
    public boolean shouldShed(boolean overQuota, boolean write, double keyDraw) {
        double overloadedFraction = overloadedFraction();
        if (overQuota) {
            return random.sheddingDraw() < overloadedFraction / OVER_QUOTA_SHEDDING_LIMIT;
        }
        // all proxies shed the same keys: with a random choice no key was requested often enough to stay
        // cached
        double draw = 1 - keyDraw;
        if (write) {
            return deployment.gossipEnabled() && draw < 1 - originBacklog.admittedWrites();
        }
        double startFraction = deployment.gossipEnabled() ? READ_SHEDDING_START_WITH_GOSSIP
            : READ_SHEDDING_START;
        double fullFraction = deployment.gossipEnabled() ? READ_SHEDDING_START : 1;
        return draw < (overloadedFraction - startFraction) / (fullFraction - startFraction);
    }
}
