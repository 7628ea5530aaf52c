package spurroad.model;

/** The phase of an endpoint as discovery reports it. */
public enum EndpointPhase {
    /** The endpoint accepts requests. */
    READY,
    /** The endpoint completes its requests and accepts no new ones. */
    DRAINING,
    /** The endpoint has left. */
    REMOVED
}
