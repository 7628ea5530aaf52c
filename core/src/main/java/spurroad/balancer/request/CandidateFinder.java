package spurroad.balancer.request;

import java.util.ArrayList;
import java.util.List;
import spurroad.balancer.context.ActiveDeployment;
import spurroad.balancer.context.EventContext;
import spurroad.balancer.endpoint.EndpointState;
import spurroad.balancer.endpoint.EndpointTable;
import spurroad.balancer.endpoint.Ring;
import spurroad.model.ZoneId;

/**
 * Finds a request's candidates: the first distinct available endpoints clockwise on the ring from its key.
 */
public final class CandidateFinder {
    private final ActiveDeployment deployment;
    private final EventContext event;
    private final EndpointTable endpoints;
    private final EndpointAvailability availability;
    private final RetryPolicy retryPolicy;

    /** Creates a finder over the endpoints of a proxy. */
    public CandidateFinder(ActiveDeployment deployment, EventContext event, EndpointTable endpoints,
                           EndpointAvailability availability, RetryPolicy retryPolicy) {
        this.deployment = deployment;
        this.event = event;
        this.endpoints = endpoints;
        this.availability = availability;
        this.retryPolicy = retryPolicy;
    }

    /**
     * Returns at most {@link Ring#CANDIDATES} endpoints, the first choice first; where none is available,
     * those that the rules allow at all, outliers too.
     */
    List<EndpointState> find(PendingRequest request) {
        if (!request.hasAttempts()) {
            countPrimaryRequest(request);
            EndpointState awaitingFirstRequest = findAwaitingFirstRequest(request);
            if (awaitingFirstRequest != null) {
                return List.of(awaitingFirstRequest);
            }
        }
        List<EndpointState> available = walkRing(request, true);
        return available.isEmpty() ? walkRing(request, false) : available;
    }

    /**
     * Where few requests come, the keys of an endpoint that staff returned may not be among them for long.
     */
    private EndpointState findAwaitingFirstRequest(PendingRequest request) {
        if (!endpoints.anyAwaitsFirstRequest()) {
            return null;
        }
        for (EndpointState endpoint : endpoints.firstRequestsDue(event.now())) {
            if (availability.isAvailable(endpoint, request)) {
                return endpoint;
            }
        }
        return null;
    }

    private void countPrimaryRequest(PendingRequest request) {
        Ring ring = endpoints.ring();
        if (ring.size() > 0) {
            endpointAt(ring, ring.firstPointFrom(request.ringPoint())).slowStart().onHomeRequest(event.now());
        }
    }

    private List<EndpointState> walkRing(PendingRequest request, boolean availableOnly) {
        Ring ring = endpoints.ring();
        List<EndpointState> found = new ArrayList<>(Ring.CANDIDATES);
        int firstPoint = ring.firstPointFrom(request.ringPoint());
        for (int i = 0; i < ring.size() && found.size() < Ring.CANDIDATES; i++) {
            EndpointState endpoint = endpointAt(ring, firstPoint + i);
            if (!found.contains(endpoint) && isCandidate(endpoint, request, i == 0, availableOnly)) {
                found.add(endpoint);
            }
        }
        moveOwnZoneFirst(found);
        return found;
    }

    private EndpointState endpointAt(Ring ring, int point) {
        return endpoints.cacheEndpoints().get(ring.owner(point));
    }

    private boolean isCandidate(EndpointState endpoint, PendingRequest request, boolean isPrimary,
                                boolean availableOnly) {
        // a hot key that a full endpoint had left pushed the cold one over that came next
        if (!isPrimary && deployment.gossipEnabled() && !availability.isWarm(endpoint)) {
            return false;
        }
        return availableOnly ? availability.isAvailable(endpoint, request)
            : availability.slowStartAllows(endpoint, request) && retryPolicy.mayAttempt(request, endpoint);
    }

    /** Where crossing between zones is dear, a key has a home in each; otherwise the ring's order stands. */
    private void moveOwnZoneFirst(List<EndpointState> candidates) {
        ZoneId ownZone = deployment.fleet().zone();
        if (ownZone == null) {
            return;
        }
        int nextPosition = 0;
        for (int i = 0; i < candidates.size(); i++) {
            if (candidates.get(i).listing().zone().equals(ownZone)) {
                candidates.add(nextPosition, candidates.remove(i));
                nextPosition++;
            }
        }
    }
}
