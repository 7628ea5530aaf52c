package spurroad.balancer.request;

import java.util.List;
import spurroad.balancer.context.ActiveDeployment;
import spurroad.model.CacheKey;
import spurroad.model.DeduplicationScope;
import spurroad.model.Deployment;
import spurroad.model.Effect;
import spurroad.model.Fleet;
import spurroad.model.RequestClass;
import spurroad.model.RequestId;

/** Creates requests and settings for the tests of this package. All times are in nanoseconds. */
final class RequestFixture {
    private RequestFixture() {}

    /** Returns settings without request classes, tenants or an origin. */
    static ActiveDeployment activeDeployment(long clockTickNanos, Fleet fleet) {
        return new ActiveDeployment(new Deployment(List.of(), List.of(), null, false, true, true, 0, 3, 0.3,
            0, clockTickNanos, 0, fleet));
    }

    /** Returns a pending read whose latency objective is its timeout. */
    static PendingRequest read(long id, long key, long arrivedNanos, long timeoutNanos) {
        RequestClass requestClass = new RequestClass(Effect.IDEMPOTENT, DeduplicationScope.ALL, 0,
            timeoutNanos, 0, 1, 0);
        RequestArrival arrival = new RequestArrival(new RequestId(id), requestClass, new CacheKey(key), false,
            timeoutNanos, timeoutNanos, 0, 0, 0);
        return new PendingRequest(arrival, id, arrivedNanos, 3);
    }
}
