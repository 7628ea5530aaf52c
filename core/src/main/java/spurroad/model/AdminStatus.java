package spurroad.model;

import java.util.List;

/**
 * The status of the cache endpoints, for the admin server and the log.
 *
 * @param listedEndpoints how many discovery lists, in whatever phase
 * @param restricted of those, the ones that get no requests, or only trial requests, for another reason than
 *     their phase; in the order in which they became known
 */
public record AdminStatus(int listedEndpoints, List<RestrictedEndpoint> restricted) {
    /** No endpoint is known. */
    public static final AdminStatus NONE = new AdminStatus(0, List.of());

    /** What has to happen before an endpoint gets its ordinary requests. */
    public enum AwaitedEvent {
        /** Staff return it to use. */
        RETURN_BY_STAFF,
        /** Its ejection time ends. */
        EJECTION_END,
        /** It answers a load probe. */
        LOAD_PROBE_REPLY,
        /** Its trial requests succeed. */
        TRIAL_SUCCESS
    }

    /**
     * An endpoint that does not get its ordinary requests.
     *
     * @param untilNanos the end of its ejection time where it waits for that, else Long.MAX_VALUE
     */
    public record RestrictedEndpoint(EndpointId id, AwaitedEvent awaits, long untilNanos) {
        private boolean isUnavailableAt(long now) {
            return awaits != AwaitedEvent.TRIAL_SUCCESS && untilNanos > now;
        }
    }

    /** Returns how many get no requests at a time in nanoseconds: ejected, or drained by staff. */
    public int unavailableAt(long now) {
        return (int) restricted.stream().filter(endpoint -> endpoint.isUnavailableAt(now)).count();
    }

    /** Returns how many wait for an event. */
    public int awaiting(AwaitedEvent event) {
        return (int) restricted.stream().filter(endpoint -> endpoint.awaits == event).count();
    }
}
