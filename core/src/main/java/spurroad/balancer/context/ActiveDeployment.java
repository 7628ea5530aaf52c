package spurroad.balancer.context;

import spurroad.model.Deployment;
import spurroad.model.Fleet;
import spurroad.model.RequestClass;

/**
 * The deployment by which decisions are made now, with what is derived from it once instead of per request.
 *
 * <p>A reload replaces it while requests are under way; those keep their request class. Called from the load
 * balancer's thread only.
 */
public final class ActiveDeployment {
    private static final long DEFAULT_OBJECTIVE_NANOS = 900_000_000L; // where no request class is configured

    private Deployment settings;
    private Fleet fleet;
    private long shortestObjectiveNanos;
    private double highestPriorityWeight;

    /** Starts with a deployment. */
    public ActiveDeployment(Deployment settings) {
        replace(settings);
    }

    /** Takes another deployment from now on. */
    public void replace(Deployment replacement) {
        settings = replacement;
        fleet = replacement.fleet();
        shortestObjectiveNanos = replacement.shortestLatencyObjectiveNanos(DEFAULT_OBJECTIVE_NANOS);
        highestPriorityWeight = replacement.requestClasses().stream()
            .mapToDouble(RequestClass::priorityWeight)
            .max().orElse(0);
    }

    /** Returns the settings as they were given. */
    public Deployment settings() {
        return settings;
    }

    /** Returns this proxy's place among all. */
    public Fleet fleet() {
        return fleet;
    }

    /** Returns whether proxies gossip about endpoints, tenants and the origin. */
    public boolean gossipEnabled() {
        return fleet.gossipEnabled();
    }

    /** Returns whether load probes may be sent to endpoints: with gossip their owners know the load. */
    public boolean loadProbesEnabled() {
        return settings.loadProbesAllowed() && !gossipEnabled();
    }

    /** Returns the shortest latency objective of a request class, in nanoseconds. */
    public long shortestObjectiveNanos() {
        return shortestObjectiveNanos;
    }

    /** Returns the greatest priority weight of a request class. */
    public double highestPriorityWeight() {
        return highestPriorityWeight;
    }
}
