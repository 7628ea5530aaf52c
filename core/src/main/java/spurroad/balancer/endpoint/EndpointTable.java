package spurroad.balancer.endpoint;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import spurroad.balancer.context.ActiveDeployment;
import spurroad.balancer.context.RandomDraws;
import spurroad.model.AdminStatus;
import spurroad.model.AdminStatus.AwaitedEvent;
import spurroad.model.AdminStatus.RestrictedEndpoint;
import spurroad.model.Endpoint;
import spurroad.model.EndpointId;
import spurroad.model.EndpointPhase;

/**
 * All endpoints that discovery has listed and their administrative states, from which the table derives the
 * ready endpoints, the origin among them, and the ring of the others.
 *
 * <p>Invariants: the ring contains exactly the ready cache endpoints; an endpoint is ready only if both
 * discovery and operators allow it. The administrative state is stored by id, so it holds while the endpoint
 * is not listed and across its restarts. Bounded: removed endpoints are evicted if more than
 * {@link #MAX_KNOWN_ENDPOINTS} are known. Called from the load balancer's thread only.
 */
public final class EndpointTable {
    /**
     * Maximum number of known endpoints, exceeded only by endpoints that are listed or have attempts in
     * flight. Removed endpoints are kept up to this number, so that one that is listed again is recognized.
     */
    public static final int MAX_KNOWN_ENDPOINTS = 4_096;

    private final ActiveDeployment deployment;
    private final RandomDraws random;
    private final OutlierDetector outlierDetector;
    private final Map<EndpointId, EndpointState> endpoints = new LinkedHashMap<>();
    private final Set<EndpointId> drainedIds = new HashSet<>();
    private final Set<EndpointId> awaitingFirstRequest = new LinkedHashSet<>();
    private List<EndpointState> cacheEndpoints = List.of();
    private EndpointState origin;
    private Ring ring;

    /** Creates an empty table that notifies outlier detection of ready and replaced endpoints. */
    public EndpointTable(ActiveDeployment deployment, RandomDraws random, OutlierDetector outlierDetector) {
        this.deployment = deployment;
        this.random = random;
        this.outlierDetector = outlierDetector;
    }

    /** Returns the state of an endpoint, or null if the endpoint is unknown. */
    public EndpointState get(EndpointId id) {
        return endpoints.get(id);
    }

    /** Returns the number of known endpoints, including those that are no longer listed. */
    public int size() {
        return endpoints.size();
    }

    /** Returns the ready origin from which the proxy itself fetches, or null if there is none. */
    public EndpointState origin() {
        return origin;
    }

    /**
     * Returns whether an endpoint is an origin from which the proxy itself fetches, ready or not: attempts
     * are still in flight to one that drains, was removed or has been replaced.
     */
    public boolean isOrigin(EndpointState endpoint) {
        return deployment.settings().isOrigin(endpoint.listing());
    }

    /** Returns the ready endpoints except the origin, in the order in which they became known. */
    public List<EndpointState> cacheEndpoints() {
        return cacheEndpoints;
    }

    /** Returns the ring of the ready cache endpoints, whose indexes are those of {@link #cacheEndpoints}. */
    public Ring ring() {
        if (ring == null) {
            ring = new Ring(cacheEndpoints.stream().map(EndpointState::listing).toList());
            for (int i = 0; i < cacheEndpoints.size(); i++) {
                cacheEndpoints.get(i).slowStart().setRingFraction(ring.fraction(i));
            }
        }
        return ring;
    }

    /**
     * Applies an endpoint update from discovery.
     *
     * @param complete whether endpoints missing from the list have been removed
     * @param proxyRequests exponentially decayed number of all requests at this proxy until now
     */
    public void update(List<Endpoint> listedEndpoints, boolean complete, double proxyRequests, long now) {
        if (complete) {
            endpoints.values().forEach(state -> state.setListing(state.listing().asRemoved()));
        }
        for (Endpoint endpoint : listedEndpoints) {
            EndpointState state = endpoints.get(endpoint.id());
            if (state == null) {
                startIncarnation(endpoint, 0, proxyRequests, now);
            } else if (state.listing().startedAtNanos() != endpoint.startedAtNanos()) {
                startIncarnation(endpoint, state.admin().returnedNanos(), proxyRequests, now);
            } else {
                state.setListing(endpoint);
            }
        }
        refresh();
    }

    /** Drains an endpoint on behalf of an operator, and returns whether it was not drained before. */
    public boolean drain(EndpointId id) {
        awaitingFirstRequest.remove(id);
        boolean changed = drainedIds.add(id);
        if (changed) {
            refresh();
        }
        return changed;
    }

    /**
     * Returns a drained endpoint to use on behalf of an operator. The endpoint starts cold, because nothing
     * is known of what happened to it while it was drained. Returns whether it was drained.
     */
    public boolean returnToUse(EndpointId id, double proxyRequests, long now) {
        awaitingFirstRequest.remove(id);
        boolean changed = drainedIds.remove(id);
        if (!changed) {
            return false;
        }
        EndpointState state = endpoints.get(id);
        if (state != null) {
            EndpointState returnedState = startIncarnation(state.listing(), now, proxyRequests, now);
            returnedState.admin().awaitFirstRequest(random.firstRequestSlot(deployment.fleet().proxyCount()));
            awaitingFirstRequest.add(id);
        }
        refresh();
        return true;
    }

    private EndpointState startIncarnation(Endpoint endpoint, long returnedNanos, double proxyRequests,
                                           long now) {
        EndpointState previous = endpoints.get(endpoint.id());
        EndpointState created = new EndpointState(endpoint, previous, returnedNanos, proxyRequests, now);
        endpoints.put(endpoint.id(), created);
        if (previous != null) {
            // attempts in flight still refer to the previous state, which must no longer appear as listed
            previous.setListing(previous.listing().asRemoved());
            outlierDetector.onReplaced(previous);
        }
        return created;
    }

    /** Recomputes everything derived from discovery, the administrative states and the deployment. */
    public void refresh() {
        endpoints.values().forEach(state -> state.admin().setDrained(drainedIds.contains(state.id())));
        endpoints.values().removeIf(this::isEvictable);
        awaitingFirstRequest.retainAll(endpoints.keySet()); // keeps endpoints that are not ready for now
        cacheEndpoints = new ArrayList<>();
        origin = null;
        for (EndpointState endpoint : endpoints.values()) {
            if (!endpoint.isReady()) {
                continue;
            }
            if (isOrigin(endpoint)) {
                origin = origin == null ? endpoint : origin; // a second one is listed while the origin moves
            } else {
                cacheEndpoints.add(endpoint);
                outlierDetector.onReady(endpoint);
            }
        }
        ring = null; // built on demand: endpoint updates may be more frequent than requests
    }

    private boolean isEvictable(EndpointState endpoint) {
        return endpoints.size() > MAX_KNOWN_ENDPOINTS && endpoint.isIdle()
            && endpoint.phase() == EndpointPhase.REMOVED;
    }

    /** Returns whether any endpoint that operators returned to use has not got a request since. */
    public boolean anyAwaitsFirstRequest() {
        return !awaitingFirstRequest.isEmpty();
    }

    /**
     * Returns the ready endpoints that operators returned to use and whose first request is due, in the order
     * of their return.
     */
    public List<EndpointState> firstRequestsDue(long now) {
        List<EndpointState> due = new ArrayList<>();
        for (EndpointId id : awaitingFirstRequest) {
            EndpointState endpoint = endpoints.get(id);
            if (endpoint.isReady() && endpoint.admin().isFirstRequestDue(now)) {
                due.add(endpoint);
            }
        }
        return due;
    }

    /** Records that an endpoint gets a request, so that it no longer awaits its first one. */
    public void onAttemptStart(EndpointState endpoint) {
        awaitingFirstRequest.remove(endpoint.id());
    }

    /** Returns the number of listed cache endpoints, and those that are drained, ejected or on trial. */
    public AdminStatus adminStatus() {
        int listedCount = 0;
        List<RestrictedEndpoint> restricted = new ArrayList<>();
        for (EndpointState endpoint : endpoints.values()) {
            boolean isListed = endpoint.listing().phase() != EndpointPhase.REMOVED;
            if (!isListed || isOrigin(endpoint)) {
                continue;
            }
            listedCount++;
            RestrictedEndpoint restriction = endpoint.admin().isDrained()
                ? new RestrictedEndpoint(endpoint.id(), AwaitedEvent.RETURN_BY_OPERATOR, Long.MAX_VALUE)
                : outlierDetector.restriction(endpoint);
            if (restriction != null) {
                restricted.add(restriction);
            }
        }
        return new AdminStatus(listedCount, restricted);
    }
}
