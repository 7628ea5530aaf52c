package spurroad.balancer.endpoint;

import spurroad.balancer.context.ActiveDeployment;
import spurroad.balancer.context.EventContext;

/**
 * Sends load probes to endpoints. At most one load probe per endpoint is in flight, and its reply serves all
 * requests that wait for it, because each probe costs the endpoint work.
 */
public final class LoadProbes {
    private final ActiveDeployment deployment;
    private final EventContext event;

    /** Creates a sender that adds load probes to the decisions of the current event. */
    public LoadProbes(ActiveDeployment deployment, EventContext event) {
        this.deployment = deployment;
        this.event = event;
    }

    /**
     * Sends a load probe, unless load probes are disabled, one is already in flight, or operators have
     * drained the endpoint.
     */
    public void send(EndpointState endpoint) {
        if (!deployment.loadProbesEnabled() || endpoint.load().isLoadProbeInFlight()
            || endpoint.admin().isDrained()) {
            return;
        }
        event.decisions().loadProbes.add(endpoint.id());
        endpoint.load().setLoadProbeInFlight(true);
    }

    /** Records that a load probe was answered or failed, so that another one may be sent. */
    public void onEnd(EndpointState endpoint) {
        endpoint.load().setLoadProbeInFlight(false);
    }
}
