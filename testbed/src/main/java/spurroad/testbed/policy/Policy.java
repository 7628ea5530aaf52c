package spurroad.testbed.policy;

import java.util.List;
import spurroad.balancer.LoadBalancer;
import spurroad.model.CacheKey;
import spurroad.model.Decisions;
import spurroad.model.Deployment;
import spurroad.model.Endpoint;
import spurroad.model.EndpointId;
import spurroad.model.LoadReport;
import spurroad.model.Outcome;
import spurroad.model.RequestClassId;
import spurroad.model.RequestId;
import spurroad.model.TenantId;

/**
 * What decides in a simulated proxy: the load balancer of this build, or a baseline to compare it with. The
 * events are those of {@link LoadBalancer}, which defines them; times are in nanoseconds. Called by one
 * thread.
 */
public interface Policy {
    /** See {@link LoadBalancer#onEndpointUpdate}. */
    void onEndpointUpdate(long now, List<Endpoint> endpoints, boolean complete, Decisions decisions);

    /** See {@link LoadBalancer#onRequest}. */
    void onRequest(long now, RequestId id, RequestClassId requestClass, TenantId tenant, CacheKey key,
                   boolean write, long timeoutNanos, Decisions decisions);

    /** See {@link LoadBalancer#onAttemptEnd}. */
    void onAttemptEnd(long now, RequestId id, int attempt, Outcome outcome, LoadReport report,
                      boolean answered, Decisions decisions);

    /** See {@link LoadBalancer#onLoadProbeEnd}. */
    void onLoadProbeEnd(long now, EndpointId id, Outcome outcome, LoadReport report, Decisions decisions);

    /** See {@link LoadBalancer#onClientDisconnect}. */
    void onClientDisconnect(long now, RequestId id, Decisions decisions);

    /** See {@link LoadBalancer#onTimer}. */
    void onTimer(long now, Decisions decisions);

    /** Creates the policy of each simulated proxy. */
    interface Factory {
        /** Returns a policy for one proxy, whose random draws follow the seed. */
        Policy create(Deployment deployment, long seed);
    }

    /** The policies that a user may name. */
    enum Kind implements Factory {
        /** The load balancer of this build. */
        MECHANISM,
        /** Any ready cache node, drawn at random. */
        RANDOM,
        /** The key's first ready node on a consistent hash ring. */
        RING,
        /** Of two cache nodes drawn at random, the one with fewer requests in flight (Mitzenmacher, 2001). */
        TWO_CHOICES,
        /** The first node on the ring that holds no more than 1.25 times the mean (Mirrokni et al., 2016). */
        BOUNDED_RING;

        @Override
        public Policy create(Deployment deployment, long seed) {
            return this == MECHANISM ? new Mechanism(new LoadBalancer(deployment, seed))
                : new BaselinePolicy(this, deployment, seed);
        }
    }

    /** Passes each event on to the load balancer of this build. */
    record Mechanism(LoadBalancer loadBalancer) implements Policy {
        @Override
        public void onEndpointUpdate(long now, List<Endpoint> endpoints, boolean complete,
                                     Decisions decisions) {
            loadBalancer.onEndpointUpdate(now, endpoints, complete, decisions);
        }

        @Override
        public void onRequest(long now, RequestId id, RequestClassId requestClass, TenantId tenant,
                              CacheKey key, boolean write, long timeoutNanos, Decisions decisions) {
            loadBalancer.onRequest(now, id, requestClass, tenant, key, write, 0, timeoutNanos, decisions);
        }

        @Override
        public void onAttemptEnd(long now, RequestId id, int attempt, Outcome outcome, LoadReport report,
                                 boolean answered, Decisions decisions) {
            loadBalancer.onAttemptEnd(now, id, attempt, outcome, report, answered, 0, decisions);
        }

        @Override
        public void onLoadProbeEnd(long now, EndpointId id, Outcome outcome, LoadReport report,
                                   Decisions decisions) {
            loadBalancer.onLoadProbeEnd(now, id, outcome, report, decisions);
        }

        @Override
        public void onClientDisconnect(long now, RequestId id, Decisions decisions) {
            loadBalancer.onClientDisconnect(now, id, decisions);
        }

        @Override
        public void onTimer(long now, Decisions decisions) {
            loadBalancer.onTimer(now, decisions);
        }
    }
}
