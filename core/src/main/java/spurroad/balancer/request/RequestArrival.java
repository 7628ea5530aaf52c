package spurroad.balancer.request;

import spurroad.balancer.context.RandomDraws;
import spurroad.balancer.endpoint.Ring;
import spurroad.model.CacheKey;
import spurroad.model.RequestClass;
import spurroad.model.RequestId;

/**
 * What does not change about a request, with the numbers drawn for it.
 *
 * @param latencyObjectiveNanos of this request, which may be longer than its class's
 * @param timeoutNanos how long its client waits
 * @param ringPoint where its key lies on the ring; without a key a random place
 * @param requestDraw number from 0 to 1, drawn once, for all that is up to chance for this request
 * @param keyDraw number from 0 to 1 that follows from the ring point, the same at every proxy
 */
record RequestArrival(RequestId id, RequestClass requestClass, CacheKey key, boolean write,
                      long latencyObjectiveNanos, long timeoutNanos, long ringPoint, double requestDraw,
                      double keyDraw) {

    /** Makes the draws of a request, in this order. */
    static RequestArrival of(RequestId id, RequestClass requestClass, CacheKey key, boolean write,
                             long workNanos, long timeoutNanos, RandomDraws random) {
        long latencyObjectiveNanos = requestClass.latencyObjectiveNanos()
            + (long) (requestClass.latencyObjectiveStretch() * workNanos);
        long ringPoint = key.value() == 0 ? random.ringPoint() : Ring.hash(key.value());
        double requestDraw = random.requestDraw();
        return new RequestArrival(id, requestClass, key, write, latencyObjectiveNanos, timeoutNanos, ringPoint,
            requestDraw, Ring.uniform(ringPoint));
    }
}
