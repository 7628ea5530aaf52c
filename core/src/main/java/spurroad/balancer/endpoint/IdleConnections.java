package spurroad.balancer.endpoint;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import spurroad.balancer.context.ActiveDeployment;
import spurroad.balancer.context.EventContext;
import spurroad.balancer.statistics.DecayingAverage;

/**
 * Closes connections to endpoints at which no attempt is in flight, before the endpoint would close them.
 *
 * <p>Each connect that failed lately shortens the time that they stay open: endpoints accept fewer
 * connections than hundreds of proxies could keep open.
 */
public final class IdleConnections {
    private static final long NEVER_NANOS = Long.MAX_VALUE / 2; // so that a time can be added to it

    private final ActiveDeployment deployment;
    private final EventContext event;
    private final Map<EndpointState, Long> idleSinceNanos = new LinkedHashMap<>(); // the longest idle first
    private final DecayingAverage connectFailures = new DecayingAverage(DecayingAverage.LONG_TERM_NANOS);

    /** Creates an empty list. */
    public IdleConnections(ActiveDeployment deployment, EventContext event) {
        this.deployment = deployment;
        this.event = event;
    }

    /** Notes that the last attempt in flight at an endpoint has ended. */
    public void onIdle(EndpointState endpoint) {
        idleSinceNanos.put(endpoint, event.now());
    }

    /** Notes that an attempt starts at an endpoint. */
    public void onAttemptStart(EndpointState endpoint) {
        idleSinceNanos.remove(endpoint);
    }

    /** Records whether an attempt found no connection. */
    public void onConnectResult(boolean failed) {
        connectFailures.add(event.now(), failed ? 1 : 0, 0);
    }

    /** Closes what has been idle for long enough, and returns when the next is due, in nanoseconds. */
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
