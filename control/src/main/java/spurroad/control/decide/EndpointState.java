package spurroad.control.decide;

/**
 * Defines which requests may be sent to an endpoint, from the least to the most restrictive state. The names
 * of the constants are part of the hash in a snapshot's version and of the differences that are shown to
 * operators, so they must not change.
 */
public enum EndpointState {
    /** The endpoint receives all requests. */
    ACTIVE,
    /** The endpoint receives no new requests; requests in flight are completed. */
    DRAINING,
    /** The endpoint receives no requests; it has left the fleet. */
    GONE
}
