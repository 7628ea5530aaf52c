package spurroad.balancer.request;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import spurroad.balancer.endpoint.EndpointState;

/** The candidates of a request that waits for their load or cache status, and the replies still awaited. */
final class PendingReplies {
    private final List<EndpointState> candidates;
    private final Set<EndpointState> awaited;

    PendingReplies(List<EndpointState> candidates, List<EndpointState> awaited) {
        this.candidates = candidates;
        this.awaited = new HashSet<>(awaited);
    }

    List<EndpointState> candidates() {
        return candidates;
    }

    /** Records the reply of a candidate, and returns whether it was still awaited. */
    boolean onReply(EndpointState endpoint) {
        return awaited.remove(endpoint);
    }

    boolean isAwaited(EndpointState endpoint) {
        return awaited.contains(endpoint);
    }

    boolean isComplete() {
        return awaited.isEmpty();
    }

    /** Returns whether any candidate has replied to a load probe; the first candidate is not probed. */
    boolean anyReplied() {
        return awaited.size() + 1 < candidates.size();
    }
}
