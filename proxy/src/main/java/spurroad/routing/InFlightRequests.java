package spurroad.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import spurroad.model.RequestId;

/**
 * Holds the requests in flight: from the arrival of a request at the load balancer until it is finished and
 * its last attempt has ended. Used by the load balancer's thread only.
 */
final class InFlightRequests {
    private final Map<RequestId, ProxiedRequest> byId = new HashMap<>();
    private long nextId;

    /** Assigns an id to the request and adds it. */
    void add(ProxiedRequest request) {
        request.id = new RequestId(nextId++);
        byId.put(request.id, request);
    }

    /** Returns the request with this id; null if it is not in flight. */
    ProxiedRequest get(RequestId id) {
        return byId.get(id);
    }

    /** Removes the request, unless it still waits for its final response or for the end of an attempt. */
    void removeIfDone(ProxiedRequest request) {
        if (request.finished && request.attemptsInFlight == 0) {
            byId.remove(request.id);
        }
    }

    /** Returns a copy of all requests in flight, so that the caller may finish them while iterating. */
    List<ProxiedRequest> snapshot() {
        return List.copyOf(byId.values());
    }
}
