package spurroad.balancer.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import spurroad.model.CacheKey;

/**
 * Coalesces the fetches of one key: the first request leads, later ones follow it and wait for its end.
 *
 * <p>Bounded by the number of pending requests: a leader is removed when it finishes.
 */
final class RequestCoalescer {
    private final Map<CacheKey, PendingRequest> leaders = new HashMap<>();
    private final Map<PendingRequest, List<PendingRequest>> followers = new HashMap<>();

    /**
     * Makes a request follow the fetch of its key and returns true, if another request leads one; otherwise
     * makes it the leader and returns false.
     */
    boolean joinOrLead(PendingRequest request) {
        PendingRequest leader = leaders.putIfAbsent(request.key(), request);
        if (leader == null || leader == request) {
            return false;
        }
        followers.computeIfAbsent(leader, key -> new ArrayList<>()).add(request);
        return true;
    }

    /**
     * Ends the fetch that a request leads, if any, and returns its followers in the order in which they
     * joined.
     */
    List<PendingRequest> end(PendingRequest request) {
        leaders.remove(request.key(), request);
        List<PendingRequest> released = followers.remove(request);
        return released == null ? List.of() : released;
    }
}
