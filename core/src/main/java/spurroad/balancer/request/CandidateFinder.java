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
 * Finds the candidates of a request: the first distinct available endpoints clockwise from its ring point.
 */
public final class CandidateFinder {
    private final ActiveDeployment deployment;
    private final EventContext event;
    private final EndpointTable endpoints;
    private final EndpointAvailability availability;
    private final RetryPolicy retryPolicy;

    /** Creates a finder that searches the ring of the given endpoint table. */
    public CandidateFinder(ActiveDeployment deployment, EventContext event, EndpointTable endpoints,
                           EndpointAvailability availability, RetryPolicy retryPolicy) {
        this.deployment = deployment;
        this.event = event;
        this.endpoints = endpoints;
        this.availability = availability;
        this.retryPolicy = retryPolicy;
    }

    /**
     * Returns at most {@link Ring#CANDIDATES} endpoints in order of preference. If an endpoint that operators
     * returned to use is due for its first request, it is the only candidate of a first attempt. If no
     * endpoint is available, returns those that slow start and the retry policy allow, even if they are
     * ejected or excluded.
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
     * Returns an available endpoint that operators returned to use and that is due for its first request, or
     * null if there is none. At a low request rate it could otherwise take long until a request for one of
     * its keys arrives.
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

    /** Counts a new request for the first endpoint from its ring point, even if it is sent elsewhere. */
    private void countPrimaryRequest(PendingRequest request) {
        Ring ring = endpoints.ring();
        if (ring.size() > 0) {
            endpointAt(ring, ring.firstPointFrom(request.ringPoint())).slowStart()
                .onFirstCandidateRequest(event.now());
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
        // otherwise a hot key that moves away from a full endpoint overloads a cold one next on the ring
        if (!isPrimary && deployment.gossipEnabled() && !availability.isWarm(endpoint)) {
            return false;
        }
        return availableOnly ? availability.isAvailable(endpoint, request)
            : availability.slowStartAllows(endpoint, request) && retryPolicy.mayAttempt(request, endpoint);
    }

    /**
     * Moves the candidates in this proxy's zone to the front if the fleet names that zone, as it does if
     * traffic between zones is expensive: each key then has a preferred endpoint in every zone. Otherwise
     * keeps the order of the ring.
     */
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
