package spurroad.routing;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import spurroad.admission.ServiceLevel;
import spurroad.configuration.DeploymentSettings;
import spurroad.model.EndpointId;
import spurroad.model.PeerUpdate;
import spurroad.protocol.EndpointList;
import spurroad.protocol.UpstreamReply;

/**
 * A message that the load balancer's thread runs. Messages are records rather than lambdas also for speed: in
 * code compiled by the C1 client compiler, each creation of a capturing lambda is a slow call into the
 * virtual machine.
 */
sealed interface BalancerMessage extends Runnable {
    /** A client's request was admitted. */
    record RequestArrived(RequestEvents events, ProxiedRequest request) implements BalancerMessage {
        @Override
        public void run() {
            events.onRequest(request);
        }
    }

    /** An attempt or a load probe ended. */
    record AttemptEnded(RequestEvents events, UpstreamRequest attempt,
                        UpstreamReply reply)
        implements
            BalancerMessage {
        @Override
        public void run() {
            events.onAttemptEnd(attempt, reply);
        }
    }

    /** The client of a request disconnected. */
    record ClientDisconnected(RequestEvents events, ProxiedRequest request) implements BalancerMessage {
        @Override
        public void run() {
            events.onClientDisconnect(request);
        }
    }

    /** Fails all pending requests. */
    record FailAllRequests(RequestEvents events) implements BalancerMessage {
        @Override
        public void run() {
            events.failAll();
        }
    }

    /** The load balancer decided on a load probe for an endpoint that is no longer listed. */
    record ProbeUnroutable(RequestEvents events, EndpointId endpoint) implements BalancerMessage {
        @Override
        public void run() {
            events.onUnroutableProbe(endpoint);
        }
    }

    /**
     * Another proxy sent an update; {@code pendingUpdates} counts the updates that were not yet processed.
     */
    record PeerUpdateReceived(ControlEvents events, PeerUpdate update,
                              AtomicInteger pendingUpdates)
        implements
            BalancerMessage {
        @Override
        public void run() {
            pendingUpdates.decrementAndGet();
            events.onPeerUpdate(update);
        }
    }

    /** Discovery sent an endpoint list. */
    record EndpointListReceived(ControlEvents events, EndpointList list,
                                long previousContactNanos)
        implements
            BalancerMessage {
        @Override
        public void run() {
            events.onEndpointUpdate(list, previousContactNanos);
        }
    }

    /** A call to discovery failed, or a watch ended. */
    record DiscoveryFailed(ControlEvents events) implements BalancerMessage {
        @Override
        public void run() {
            events.onDiscoveryFailure();
        }
    }

    /** The admission controller has new measurements. */
    record ServiceLevelMeasured(ControlEvents events, ServiceLevel level, double admittedFraction,
                                long rejected)
        implements
            BalancerMessage {
        @Override
        public void run() {
            events.onServiceLevel(level, admittedFraction, rejected);
        }
    }

    /** New settings take effect. */
    record DeploymentChanged(ControlEvents events, DeploymentSettings settings) implements BalancerMessage {
        @Override
        public void run() {
            events.onDeploymentChange(settings);
        }
    }

    /** An operator drains a cache node, or returns it to use. */
    record AdminDrainRequested(ControlEvents events, EndpointId endpoint, boolean drained,
                               boolean knownToOtherProcess,
                               Consumer<Boolean> onResult)
        implements
            BalancerMessage {
        @Override
        public void run() {
            events.onAdminDrain(endpoint, drained, knownToOtherProcess, onResult);
        }
    }

    /** Closes the given number of idle connections in each pool, because descriptors are short. */
    record CloseIdlePerPool(EndpointRegistry endpoints, int count, Runnable onClosed)
        implements
            BalancerMessage {
        @Override
        public void run() {
            endpoints.closeIdlePerPool(count, onClosed);
        }
    }

    /** Closes about the given number of idle connections, summed over all pools. */
    record CloseIdle(EndpointRegistry endpoints, int count) implements BalancerMessage {
        @Override
        public void run() {
            endpoints.closeIdle(count);
        }
    }

    /** Ends the thread. */
    record Shutdown(LoadBalancerThread thread) implements BalancerMessage {
        @Override
        public void run() {
            thread.onShutdown();
        }
    }
}
