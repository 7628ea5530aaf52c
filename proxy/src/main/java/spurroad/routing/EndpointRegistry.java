package spurroad.routing;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import spurroad.configuration.DeploymentSettings;
import spurroad.model.Endpoint;
import spurroad.model.EndpointId;
import spurroad.model.EndpointPhase;
import spurroad.protocol.EndpointList;
import spurroad.protocol.EndpointList.ListedEndpoint;

/**
 * Holds the endpoints that discovery lists, each with its connection pool, and the set of administratively
 * drained endpoints. Pools belong to the event loop: the registry creates them and sends them changes through
 * the outbox. Used by the load balancer's thread only, unless a method says otherwise.
 */
final class EndpointRegistry {
    /** Remembered endpoint ids, including removed ones: operators may name those of a year of releases. */
    private static final int MAX_REMEMBERED_ENDPOINTS = 8192;

    private final EndpointConnectionPool.Environment poolEnvironment;
    private final LoopOutbox outbox;
    private final EndpointStartTimes startTimes = new EndpointStartTimes();
    private final Map<EndpointId, EndpointConnectionPool> pools = new HashMap<>();
    /** Whether each remembered endpoint was a cache node when it was last listed; oldest listing first. */
    private final Map<EndpointId, Boolean> listedAsCacheNode = new LinkedHashMap<>();
    private final Set<EndpointId> administrativelyDrained = new HashSet<>();
    private DeploymentSettings settings;
    private volatile long slowStartEndsAtNanos;

    EndpointRegistry(EndpointConnectionPool.Environment poolEnvironment, LoopOutbox outbox,
                     DeploymentSettings settings) {
        this.poolEnvironment = poolEnvironment;
        this.outbox = outbox;
        this.settings = settings;
    }

    /** Applies new settings to the lists that follow. */
    void configure(DeploymentSettings next) {
        settings = next;
    }

    /** Returns the pool of an endpoint, or null if the endpoint is not listed. */
    EndpointConnectionPool pool(EndpointId id) {
        return pools.get(id);
    }

    /** Returns the number of listed endpoints. */
    int size() {
        return pools.size();
    }

    /**
     * Applies a list from discovery: adds, updates and removes pools.
     *
     * @param previousContactNanos when discovery's line before this list arrived, Unix nanoseconds;
     *     {@link EndpointStartTimes#NEVER} if there was none
     * @return the listed endpoints, with start times by this process's clock
     */
    List<Endpoint> update(EndpointList list, long previousContactNanos, long nowNanos) {
        List<ListedEndpoint> listed = list.endpoints().stream()
            .map(entry -> toLocalTime(entry, previousContactNanos, nowNanos)).toList();
        Set<EndpointId> present = new HashSet<>();
        for (ListedEndpoint endpoint : listed) {
            remember(endpoint);
            if (endpoint.endpoint().phase() == EndpointPhase.REMOVED) {
                remove(endpoint.endpoint().id());
            } else {
                updateSlowStartEnd(endpoint.endpoint());
                present.add(endpoint.endpoint().id());
                addOrUpdate(endpoint);
            }
        }
        if (list.isComplete()) {
            Set.copyOf(pools.keySet()).stream().filter(id -> !present.contains(id)).forEach(this::remove);
        }
        return listed.stream().map(ListedEndpoint::endpoint).toList();
    }

    private ListedEndpoint toLocalTime(ListedEndpoint listed, long previousContactNanos, long nowNanos) {
        return new ListedEndpoint(startTimes.toLocalTime(listed.endpoint(), previousContactNanos, nowNanos),
            listed.address());
    }

    private void remember(ListedEndpoint listed) {
        EndpointId id = listed.endpoint().id();
        listedAsCacheNode.remove(id); // inserted again, so that the endpoint listed last is evicted last
        listedAsCacheNode.put(id, !isOrigin(listed));
        if (listedAsCacheNode.size() > MAX_REMEMBERED_ENDPOINTS) {
            listedAsCacheNode.remove(listedAsCacheNode.keySet().iterator().next());
        }
    }

    private boolean isOrigin(ListedEndpoint listed) {
        return listed.endpoint().kind().equals(settings.deployment.originKind());
    }

    private void updateSlowStartEnd(Endpoint endpoint) {
        if (endpoint.startedAtNanos() > 0) {
            slowStartEndsAtNanos = Math.max(slowStartEndsAtNanos,
                endpoint.startedAtNanos() + settings.deployment.slowStartNanos());
        }
    }

    private void addOrUpdate(ListedEndpoint listed) {
        boolean origin = isOrigin(listed);
        EndpointId id = listed.endpoint().id();
        EndpointConnectionPool pool = pools.get(id);
        if (pool != null) {
            outbox.add(() -> pool.onListed(listed, origin));
            return;
        }
        EndpointConnectionPool added = new EndpointConnectionPool(poolEnvironment, listed, origin);
        pools.put(id, added);
        if (administrativelyDrained.contains(id)) {
            outbox.add(() -> added.setAdministrativelyDrained(true));
        }
    }

    private void remove(EndpointId id) {
        EndpointConnectionPool pool = pools.remove(id);
        if (pool != null) {
            outbox.add(pool::onRemoved);
        }
    }

    /**
     * Returns whether an endpoint, listed now or removed, was a cache node when it was last listed. The ids
     * of some years are remembered.
     */
    boolean wasListedAsCacheNode(EndpointId id) {
        return Boolean.TRUE.equals(listedAsCacheNode.get(id));
    }

    /** Records that operators drain an endpoint or return it to use, even if it is not listed yet. */
    void recordAdminDrain(EndpointId id, boolean drained) {
        if (drained) {
            administrativelyDrained.add(id);
        } else {
            administrativelyDrained.remove(id);
        }
    }

    /** Returns whether a listed endpoint is still in its slow start. May be called by any thread. */
    boolean isAnyEndpointWarmingUp(long nowNanos) {
        return nowNanos < slowStartEndsAtNanos;
    }

    /** Closes the given number of the longest idle connections in each pool, then runs a task on the loop. */
    void closeIdlePerPool(int count, Runnable onClosed) {
        List<EndpointConnectionPool> targets = List.copyOf(pools.values());
        outbox.add(() -> {
            targets.forEach(pool -> pool.closeLongestIdle(count));
            onClosed.run();
        });
    }

    /** Closes about the given number of idle connections, spread over the pools. */
    void closeIdle(int count) {
        closeIdlePerPool((count + pools.size() - 1) / Math.max(1, pools.size()), () -> {});
    }
}
