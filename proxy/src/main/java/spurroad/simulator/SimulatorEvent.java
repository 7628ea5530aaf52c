package spurroad.simulator;

import java.util.List;
import spurroad.balancer.LoadBalancer;
import spurroad.model.CacheKey;
import spurroad.model.Decisions;
import spurroad.model.Endpoint;
import spurroad.model.EndpointId;
import spurroad.model.LoadReport;
import spurroad.model.Outcome;
import spurroad.model.PeerUpdate;
import spurroad.model.RequestClassId;
import spurroad.model.RequestId;
import spurroad.model.TenantId;

/** An event of one instance. */
sealed interface SimulatorEvent {
    /** Calls the load balancer's method for the event. */
    void deliverTo(LoadBalancer balancer, long nowNanos, Decisions decisions);

    /** Discovery sent a complete endpoint list or changes to it. */
    record EndpointUpdate(List<Endpoint> endpoints, boolean isComplete) implements SimulatorEvent {
        @Override
        public void deliverTo(LoadBalancer balancer, long nowNanos, Decisions decisions) {
            balancer.onEndpointUpdate(nowNanos, endpoints, isComplete, decisions);
        }
    }

    /** Discovery could not be reached. */
    record DiscoveryFailure() implements SimulatorEvent {
        @Override
        public void deliverTo(LoadBalancer balancer, long nowNanos, Decisions decisions) {
            balancer.onDiscoveryFailure(nowNanos, decisions);
        }
    }

    /** A client sent a request; the cost hint is zero if there is none. */
    record Request(RequestId id, RequestClassId requestClass, TenantId tenant, CacheKey key, boolean isWrite,
                   long costHintNanos, long timeoutNanos)
        implements
            SimulatorEvent {
        @Override
        public void deliverTo(LoadBalancer balancer, long nowNanos, Decisions decisions) {
            balancer.onRequest(nowNanos, id, requestClass, tenant, key, isWrite, costHintNanos, timeoutNanos,
                decisions);
        }
    }

    /** An attempt ended; {@code isFinal} if the simulator has sent the client its final response. */
    record AttemptEnd(RequestId id, int attempt, Outcome outcome, LoadReport load, boolean isFinal)
        implements
            SimulatorEvent {
        private static final long NO_PROXY_DELAY = 0; // simulated proxies are never delayed

        @Override
        public void deliverTo(LoadBalancer balancer, long nowNanos, Decisions decisions) {
            balancer.onAttemptEnd(nowNanos, id, attempt, outcome, load, isFinal, NO_PROXY_DELAY, decisions);
        }
    }

    /** A load probe ended. */
    record LoadProbeEnd(EndpointId endpoint, Outcome outcome, LoadReport load) implements SimulatorEvent {
        @Override
        public void deliverTo(LoadBalancer balancer, long nowNanos, Decisions decisions) {
            balancer.onLoadProbeEnd(nowNanos, endpoint, outcome, load, decisions);
        }
    }

    /** Another proxy sent an update. */
    record PeerMessage(PeerUpdate update) implements SimulatorEvent {
        @Override
        public void deliverTo(LoadBalancer balancer, long nowNanos, Decisions decisions) {
            balancer.onPeerUpdate(nowNanos, update, decisions);
        }
    }

    /** Another proxy sent a malformed update; the load balancer only receives the current time. */
    record MalformedPeerMessage() implements SimulatorEvent {
        @Override
        public void deliverTo(LoadBalancer balancer, long nowNanos, Decisions decisions) {
            balancer.onTimer(nowNanos, decisions);
        }
    }

    /** The client of a request disconnected. */
    record ClientDisconnect(RequestId id) implements SimulatorEvent {
        @Override
        public void deliverTo(LoadBalancer balancer, long nowNanos, Decisions decisions) {
            balancer.onClientDisconnect(nowNanos, id, decisions);
        }
    }

    /** A timer expired, possibly one that an earlier deadline has replaced. */
    record Timer(long deadlineNanos) implements SimulatorEvent {
        @Override
        public void deliverTo(LoadBalancer balancer, long nowNanos, Decisions decisions) {
            balancer.onTimer(nowNanos, decisions);
        }
    }
}
