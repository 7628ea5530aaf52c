package spurroad.balancer.context;

import spurroad.model.Deployment;
import spurroad.model.Fleet;
import spurroad.model.RequestClass;

/**
 * The deployment that is currently in force, with the values derived from it once instead of for each
 * request.
 *
 * <p>A reload replaces the deployment while requests are pending; these keep their request class. Called from
 * the load balancer's thread only.
 */
public final class ActiveDeployment {
    // used if no request class is configured
    private static final long DEFAULT_OBJECTIVE_NANOS = 900_000_000L;

    private Deployment settings;
    private Fleet fleet;
    private long shortestObjectiveNanos;
    private double highestPriorityWeight;

    /** Creates a holder with the deployment that is in force first. */
    public ActiveDeployment(Deployment settings) {
        replace(settings);
    }

    /** Replaces the deployment and recomputes the derived values. */
    public void replace(Deployment replacement) {
        settings = replacement;
        fleet = replacement.fleet();
        shortestObjectiveNanos = replacement.shortestLatencyObjectiveNanos(DEFAULT_OBJECTIVE_NANOS);
        highestPriorityWeight = replacement.requestClasses().stream()
            .mapToDouble(RequestClass::priorityWeight)
            .max().orElse(0);
    }

    /** Returns the deployment in force. */
    public Deployment settings() {
        return settings;
    }

    /** Returns the fleet of proxies and this proxy's index in it. */
    public Fleet fleet() {
        return fleet;
    }

    /** Returns whether proxies exchange peer updates about endpoints, tenants and the origin. */
    public boolean gossipEnabled() {
        return fleet.gossipEnabled();
    }

    /**
     * Returns whether load probes are sent to endpoints. With gossip none are needed, because the owners of
     * the endpoints know their load.
     */
    public boolean loadProbesEnabled() {
        return settings.loadProbesAllowed() && !gossipEnabled();
    }

    /** Returns the shortest latency objective of all request classes, in nanoseconds. */
    public long shortestObjectiveNanos() {
        return shortestObjectiveNanos;
    }

    /** Returns the highest priority weight of all request classes; zero if none is configured. */
    public double highestPriorityWeight() {
        return highestPriorityWeight;
    }
}
