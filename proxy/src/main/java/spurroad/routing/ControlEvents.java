package spurroad.routing;

import java.util.List;
import java.util.function.Consumer;
import spurroad.admission.ServiceLevel;
import spurroad.balancer.LoadBalancer;
import spurroad.configuration.DeploymentSettings;
import spurroad.model.Endpoint;
import spurroad.model.EndpointId;
import spurroad.model.Fleet;
import spurroad.model.PeerUpdate;
import spurroad.protocol.EndpointList;
import spurroad.transport.Clock;
import spurroad.transport.EventLog;

/**
 * Handles events that belong to no single request: endpoint lists, peer updates, service levels, changed
 * settings and operators' calls. Records each event, passes it to {@link LoadBalancer} and carries out the
 * decisions. Used by the load balancer's thread only.
 */
final class ControlEvents {
    private final LoadBalancer balancer;
    private final DecisionExecutor executor;
    private final EndpointRegistry endpoints;
    private final MemoryBudgets memory;
    private final RequestEvents requestEvents;
    private final RequestCounters counters;
    private final LoopOutbox outbox;
    private final Fleet fleet;
    private final Clock clock;
    private final EventLog log;

    ControlEvents(LoadBalancer balancer, DecisionExecutor executor, EndpointRegistry endpoints,
                  MemoryBudgets memory, RequestEvents requestEvents, RequestCounters counters,
                  LoopOutbox outbox, Fleet fleet,
                  Clock clock, EventLog log) {
        this.balancer = balancer;
        this.executor = executor;
        this.endpoints = endpoints;
        this.memory = memory;
        this.requestEvents = requestEvents;
        this.counters = counters;
        this.outbox = outbox;
        this.fleet = fleet;
        this.clock = clock;
        this.log = log;
    }

    /** Handles the timer event at the time for which the load balancer asked. */
    void onTimer() {
        balancer.onTimer(clock.now(), executor.cleared());
        executor.execute();
    }

    /** Handles an update from another proxy. */
    void onPeerUpdate(PeerUpdate update) {
        balancer.onPeerUpdate(clock.now(), update, executor.cleared());
        executor.execute();
    }

    /** Handles an endpoint list; discovery's previous line arrived at the given time, Unix nanoseconds. */
    void onEndpointUpdate(EndpointList list, long previousContactNanos) {
        List<Endpoint> listed = endpoints.update(list, previousContactNanos, clock.now());
        int count = endpoints.size();
        outbox.add(() -> memory.onEndpointCount(count));
        balancer.onEndpointUpdate(clock.now(), listed, list.isComplete(), executor.cleared());
        executor.execute();
    }

    /** Handles a failed call to discovery, or the end of a watch. */
    void onDiscoveryFailure() {
        balancer.onDiscoveryFailure(clock.now(), executor.cleared());
        executor.execute();
    }

    /** Handles new measurements of the admission controller; rejections count since the last call. */
    void onServiceLevel(ServiceLevel level, double admittedFraction, long rejected) {
        counters.onServiceLevel(level, admittedFraction, rejected);
        balancer.conserveResources(level.atLeast(ServiceLevel.NO_RETRIES));
    }

    /** Applies new settings; the position of this proxy in the fleet stays as at the start. */
    void onDeploymentChange(DeploymentSettings next) {
        requestEvents.configure(next);
        endpoints.configure(next);
        executor.configure(next);
        // a new position in the fleet needs a restart: this process keeps its socket and its number
        balancer.onDeploymentChange(clock.now(), next.deployment.withFleet(fleet), executor.cleared());
        executor.execute();
    }

    /** Drains a cache node or returns it to use; see {@link LoadBalancerThread#setAdminDrain}. */
    void onAdminDrain(EndpointId id, boolean drained, boolean knownToOtherProcess,
                      Consumer<Boolean> onResult) {
        boolean known = knownToOtherProcess || endpoints.wasListedAsCacheNode(id);
        if (known) {
            applyAdminDrain(id, drained);
        }
        outbox.add(() -> onResult.accept(known));
    }

    private void applyAdminDrain(EndpointId id, boolean drained) {
        endpoints.recordAdminDrain(id, drained);
        balancer.onAdminDrain(clock.now(), id, drained, executor.cleared());
        executor.execute();
        EndpointConnectionPool pool = endpoints.pool(id);
        log.info(drained ? "endpoint drained by operator" : "endpoint returned to use by operator",
            "endpoint=" + (pool == null ? "unlisted" : pool));
        if (pool != null) {
            outbox.add(() -> pool.setAdministrativelyDrained(drained));
        }
    }
}
