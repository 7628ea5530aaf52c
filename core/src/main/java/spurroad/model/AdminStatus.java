package spurroad.model;

import java.util.List;

/**
 * The status of the cache endpoints, for the admin server and the log.
 *
 * @param listedEndpoints number of endpoints that discovery lists, in any phase
 * @param restricted the listed endpoints that get no requests, or only trial requests, for a reason other
 *     than their phase; in the order in which they became known
 */
public record AdminStatus(int listedEndpoints, List<RestrictedEndpoint> restricted) {
    /** The status without any known endpoints. */
    public static final AdminStatus NONE = new AdminStatus(0, List.of());

    /** The event that must occur before an endpoint gets regular requests. */
    public enum AwaitedEvent {
        /** An operator returns the endpoint to use. */
        RETURN_BY_OPERATOR,
        /** The ejection of the endpoint ends. */
        EJECTION_END,
        /** The endpoint answers a load probe. */
        LOAD_PROBE_REPLY,
        /** The trial requests to the endpoint succeed. */
        TRIAL_SUCCESS
    }

    /**
     * An endpoint that does not get regular requests.
     *
     * @param untilNanos time at which its ejection ends if it awaits that, otherwise Long.MAX_VALUE
     */
    public record RestrictedEndpoint(EndpointId id, AwaitedEvent awaits, long untilNanos) {
        private boolean isUnavailableAt(long now) {
            return awaits != AwaitedEvent.TRIAL_SUCCESS && untilNanos > now;
        }
    }

    /** Returns how many endpoints are ejected or administratively drained at a time in nanoseconds. */
    public int unavailableAt(long now) {
        return (int) restricted.stream().filter(endpoint -> endpoint.isUnavailableAt(now)).count();
    }

    /** Returns how many endpoints await an event. */
    public int awaiting(AwaitedEvent event) {
        return (int) restricted.stream().filter(endpoint -> endpoint.awaits == event).count();
    }
}
