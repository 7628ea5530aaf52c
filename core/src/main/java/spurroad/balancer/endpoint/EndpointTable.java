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
 * All endpoints that discovery has listed, their administrative states, and what follows: which are ready,
 * which of them is the origin, and the ring of the others.
 *
 * <p>Invariants: the ring holds just the ready cache endpoints; an endpoint is ready only if both discovery
 * and staff allow it. The administrative state is stored by id, so it holds while the endpoint is not listed
 * and over its restarts. Bounded: endpoints that have gone are forgotten once many are known. Called from the
 * load balancer's thread only.
 */
public final class EndpointTable {
    /** Endpoints known at most, besides those still listed or in use: one that comes back is known again. */
    public static final int MAX_KNOWN_ENDPOINTS = 4_096;

    private final ActiveDeployment deployment;
    private final RandomDraws random;
    private final OutlierDetector outlierDetector;
    private final Map<EndpointId, EndpointState> endpoints = new LinkedHashMap<>();
    private final Set<EndpointId> drained = new HashSet<>();
    private final Set<EndpointId> awaitingFirstRequest = new LinkedHashSet<>();
    private List<EndpointState> cacheEndpoints = List.of();
    private EndpointState origin;
    private Ring ring;

    /** Creates an empty table, which tells outlier detection of its changes. */
    public EndpointTable(ActiveDeployment deployment, RandomDraws random, OutlierDetector outlierDetector) {
        this.deployment = deployment;
        this.random = random;
        this.outlierDetector = outlierDetector;
    }

    /** Returns the state of an endpoint, or null if it is not known. */
    public EndpointState get(EndpointId id) {
        return endpoints.get(id);
    }

    /** Returns how many endpoints are known. */
    public int size() {
        return endpoints.size();
    }

    /** Returns the ready origin that the proxy itself fetches from, or null. */
    public EndpointState origin() {
        return origin;
    }

    /** Returns whether an endpoint is the origin that the proxy itself fetches from. */
    public boolean isOrigin(EndpointState endpoint) {
        return endpoint == origin;
    }

    /** Returns the ready endpoints without the origin, in the order in which they became known. */
    public List<EndpointState> cacheEndpoints() {
        return cacheEndpoints;
    }

    /** Returns the ring of the ready cache endpoints; its indexes are those of {@link #cacheEndpoints}. */
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
     * @param complete whether endpoints that are not listed have gone
     * @param proxyRequests faded number of all requests at this proxy until now
     */
    public void update(List<Endpoint> listed, boolean complete, double proxyRequests, long now) {
        if (complete) {
            endpoints.values().forEach(known -> known.setListing(known.listing().asRemoved()));
        }
        for (Endpoint endpoint : listed) {
            EndpointState known = endpoints.get(endpoint.id());
            if (known == null) {
                startIncarnation(endpoint, 0, proxyRequests, now);
            } else if (known.listing().startedAtNanos() != endpoint.startedAtNanos()) {
                startIncarnation(endpoint, known.admin().returnedNanos(), proxyRequests, now);
            } else {
                known.setListing(endpoint);
            }
        }
        refresh();
    }

    /** Takes an endpoint out of use by hand, and returns whether it was in use. */
    public boolean drain(EndpointId id) {
        awaitingFirstRequest.remove(id);
        boolean changed = drained.add(id);
        if (changed) {
            refresh();
        }
        return changed;
    }

    /**
     * Returns an endpoint to use, cold, as nothing is known of what happened to it meanwhile; returns whether
     * it was out of use.
     */
    public boolean returnToUse(EndpointId id, double proxyRequests, long now) {
        awaitingFirstRequest.remove(id);
        boolean changed = drained.remove(id);
        if (!changed) {
            return false;
        }
        EndpointState known = endpoints.get(id);
        if (known != null) {
            EndpointState returned = startIncarnation(known.listing(), now, proxyRequests, now);
            returned.admin().awaitFirstRequest(random.firstRequestTurn(deployment.fleet().proxyCount()));
            awaitingFirstRequest.add(id);
        }
        refresh();
        return true;
    }

    private EndpointState startIncarnation(Endpoint endpoint, long returnedNanos, double proxyRequests,
                                           long now) {
        EndpointState former = endpoints.get(endpoint.id());
        EndpointState started = new EndpointState(endpoint, former, returnedNanos, proxyRequests, now);
        endpoints.put(endpoint.id(), started);
        if (former != null) {
            // what still refers to it, as attempts in flight do, must not take it for the one that is listed
            former.setListing(former.listing().asRemoved());
            outlierDetector.onReplaced(former);
        }
        return started;
    }

    /** Recomputes what follows from discovery, administrative states and the deployment. */
    public void refresh() {
        endpoints.values().forEach(known -> known.admin().setDrained(drained.contains(known.id())));
        endpoints.values().removeIf(this::isForgettable);
        awaitingFirstRequest.retainAll(endpoints.keySet()); // also what is not ready for a while
        cacheEndpoints = new ArrayList<>();
        origin = null;
        for (EndpointState endpoint : endpoints.values()) {
            if (!endpoint.isReady()) {
                continue;
            }
            if (origin == null && deployment.settings().isOrigin(endpoint.listing())) {
                origin = endpoint;
            } else {
                cacheEndpoints.add(endpoint);
                outlierDetector.onReady(endpoint);
            }
        }
        ring = null; // built when next needed: a proxy may get more changes than requests
    }

    private boolean isForgettable(EndpointState endpoint) {
        return endpoints.size() > MAX_KNOWN_ENDPOINTS && endpoint.isIdle()
            && endpoint.phase() == EndpointPhase.REMOVED;
    }

    /** Returns whether any endpoint has been returned by staff and got no request since. */
    public boolean anyAwaitsFirstRequest() {
        return !awaitingFirstRequest.isEmpty();
    }

    /** Returns the ready endpoints that staff returned and whose first request is due, the oldest first. */
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

    /** Notes that an endpoint gets a request. */
    public void onAttemptStart(EndpointState endpoint) {
        awaitingFirstRequest.remove(endpoint.id());
    }

    /** Returns the administrative status of the cache endpoints. */
    public AdminStatus adminStatus() {
        int listed = 0;
        List<RestrictedEndpoint> restricted = new ArrayList<>();
        for (EndpointState endpoint : endpoints.values()) {
            boolean isListed = endpoint.listing().phase() != EndpointPhase.REMOVED;
            if (!isListed || deployment.settings().isOrigin(endpoint.listing())) {
                continue;
            }
            listed++;
            RestrictedEndpoint restriction = endpoint.admin().isDrained()
                ? new RestrictedEndpoint(endpoint.id(), AwaitedEvent.RETURN_BY_OPERATOR, Long.MAX_VALUE)
                : outlierDetector.restriction(endpoint);
            if (restriction != null) {
                restricted.add(restriction);
            }
        }
        return new AdminStatus(listed, restricted);
    }
}
