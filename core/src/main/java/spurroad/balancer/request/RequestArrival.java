package spurroad.balancer.request;

import spurroad.balancer.context.RandomDraws;
import spurroad.balancer.endpoint.Ring;
import spurroad.model.CacheKey;
import spurroad.model.RequestClass;
import spurroad.model.RequestId;

/**
 * The attributes of a request that do not change, and the random numbers drawn for it.
 *
 * @param latencyObjectiveNanos latency objective of this request, which may be longer than that of its class,
 *     in nanoseconds
 * @param timeoutNanos how long the client waits, in nanoseconds
 * @param ringPoint position of the key on the ring; a random position for a request without a key
 * @param requestDraw random number from 0 to 1, drawn once for slow start and for cache queries
 * @param keyDraw number from 0 to 1 derived from the ring point; for a key it is the same at every proxy
 */
record RequestArrival(RequestId id, RequestClass requestClass, CacheKey key, boolean write,
                      long latencyObjectiveNanos, long timeoutNanos, long ringPoint, double requestDraw,
                      double keyDraw) {

    /**
     * Creates the attributes and makes the random draws: the ring point of a request without a key, then the
     * request draw. The order is fixed so that a run can be repeated with the same seed.
     *
     * @param workNanos rough estimate of the request's cost in nanoseconds, 0 without one; may extend the
     *     latency objective
     */
    static RequestArrival of(RequestId id, RequestClass requestClass, CacheKey key, boolean write,
                             long workNanos, long timeoutNanos, RandomDraws random) {
        long latencyObjectiveNanos = requestClass.latencyObjectiveNanos()
            + (long) (requestClass.latencyObjectiveStretch() * workNanos);
        long ringPoint = key.value() == 0 ? random.ringPoint() : Ring.hash(key.value());
        double requestDraw = random.requestDraw();
        return new RequestArrival(id, requestClass, key, write, latencyObjectiveNanos, timeoutNanos,
            ringPoint, requestDraw, Ring.uniform(ringPoint));
    }
}
