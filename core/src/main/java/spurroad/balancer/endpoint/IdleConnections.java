package spurroad.balancer.endpoint;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import spurroad.balancer.context.ActiveDeployment;
import spurroad.balancer.context.EventContext;
import spurroad.balancer.statistics.DecayingAverage;

/**
 * Closes connections to endpoints at which no attempt is in flight, before the endpoints close them.
 *
 * <p>Each recent connection failure shortens the idle timeout, because endpoints accept fewer connections
 * than hundreds of proxies could keep open.
 */
public final class IdleConnections {
    private static final long NEVER_NANOS = Long.MAX_VALUE / 2; // adding a timeout does not overflow

    private final ActiveDeployment deployment;
    private final EventContext event;
    // in the order in which they became idle
    private final Map<EndpointState, Long> idleSinceNanos = new LinkedHashMap<>();
    private final DecayingAverage connectFailures = new DecayingAverage(DecayingAverage.LONG_TERM_NANOS);

    /** Creates a tracker without idle connections. */
    public IdleConnections(ActiveDeployment deployment, EventContext event) {
        this.deployment = deployment;
        this.event = event;
    }

    /** Records that the last attempt in flight at an endpoint has ended. */
    public void onIdle(EndpointState endpoint) {
        idleSinceNanos.put(endpoint, event.now());
    }

    /** Records that an attempt starts at an endpoint, whose connections are then no longer idle. */
    public void onAttemptStart(EndpointState endpoint) {
        idleSinceNanos.remove(endpoint);
    }

    /** Records whether an attempt failed to get a connection. */
    public void onConnectResult(boolean failed) {
        connectFailures.add(event.now(), failed ? 1 : 0, 0);
    }

    /**
     * Closes connections that have been idle for longer than the timeout, and returns when the next one
     * expires, in nanoseconds.
     */
    public long closeExpired() {
        long now = event.now();
        long timeoutNanos = (long) (deployment.settings().idleTimeoutNanos()
            / (1 + connectFailures.sum(now)));
        Iterator<Map.Entry<EndpointState, Long>> entries = idleSinceNanos.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<EndpointState, Long> entry = entries.next();
            if (entry.getValue() > now - timeoutNanos) {
                return entry.getValue() + timeoutNanos;
            }
            event.decisions().idleConnectionsToClose.add(entry.getKey().id());
            entries.remove();
        }
        return NEVER_NANOS + timeoutNanos;
    }
}
