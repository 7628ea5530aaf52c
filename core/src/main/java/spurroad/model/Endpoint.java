package spurroad.model;

/**
 * An endpoint as listed by discovery.
 *
 * @param kind kind of machine, which distinguishes the origin
 * @param startedAtNanos time at which its process started, in Unix nanoseconds; zero if long ago. A different
 *     start time denotes a new, cold incarnation
 * @param weight constant relative size above zero, to which its share of the keys is proportional
 */
public record Endpoint(EndpointId id, EndpointKindId kind, ZoneId zone, CellId cell, long startedAtNanos,
                       double weight, EndpointPhase phase) {
    /** Returns this endpoint with another start time, in Unix nanoseconds. */
    public Endpoint withStartTime(long otherStartNanos) {
        return new Endpoint(id, kind, zone, cell, otherStartNanos, weight, phase);
    }

    /** Returns this endpoint in the phase that it has once discovery no longer lists it. */
    public Endpoint asRemoved() {
        return new Endpoint(id, kind, zone, cell, startedAtNanos, weight, EndpointPhase.REMOVED);
    }
}
