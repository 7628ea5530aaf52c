package spurroad.balancer.endpoint;

import spurroad.balancer.context.ActiveDeployment;
import spurroad.balancer.context.EventContext;

/**
 * Sends load probes to endpoints. One load probe at a time is in flight to an endpoint, whose reply serves
 * all requests that wait for it, as probes cost the endpoint work.
 */
public final class LoadProbes {
    private final ActiveDeployment deployment;
    private final EventContext event;

    /** Creates the sender. */
    public LoadProbes(ActiveDeployment deployment, EventContext event) {
        this.deployment = deployment;
        this.event = event;
    }

    /**
     * Sends a load probe, unless one is in flight, staff took the endpoint out of use, or none are sent here.
     */
    public void send(EndpointState endpoint) {
        if (!deployment.loadProbesEnabled() || endpoint.load().isLoadProbeInFlight()
            || endpoint.admin().isDrained()) {
            return;
        }
        event.decisions().loadProbes.add(endpoint.id());
        endpoint.load().setLoadProbeInFlight(true);
    }

    /** Notes that a load probe was answered or failed. */
    public void onEnd(EndpointState endpoint) {
        endpoint.load().setLoadProbeInFlight(false);
    }
}
