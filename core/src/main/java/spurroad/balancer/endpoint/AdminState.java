package spurroad.balancer.endpoint;

import spurroad.model.EndpointPhase;

/**
 * The administrative state of an endpoint: whether operators have drained it, and when they last returned it
 * to use. A drained endpoint gets no new requests, whatever discovery, its load reports and the measurements
 * of this proxy say.
 */
public final class AdminState {
    // within this time an endpoint that was returned gets requests for its own keys, if there are any
    private static final long FIRST_REQUEST_DELAY_NANOS = 2_000_000_000L;
    // mean interval between the first requests of two proxies: all of them learn of the return at the same
    // moment
    private static final long FIRST_REQUEST_SPACING_NANOS = 500_000_000L;

    private final long returnedNanos;
    private boolean drained;
    private long firstRequestFromNanos;

    /**
     * Creates the state of a new incarnation.
     *
     * @param returnedNanos when operators last returned the endpoint to use, in nanoseconds; zero if they
     *     never did
     * @param previous state of the previous incarnation, or null. Its time for a first request is kept:
     *     otherwise all proxies would send a first request as soon as they learn of the restart
     */
    AdminState(long returnedNanos, AdminState previous) {
        this.returnedNanos = returnedNanos;
        firstRequestFromNanos = previous == null ? 0 : previous.firstRequestFromNanos;
    }

    /** Returns when operators last returned the endpoint to use, in nanoseconds; zero if they never did. */
    public long returnedNanos() {
        return returnedNanos;
    }

    /** Returns whether operators have drained the endpoint. */
    public boolean isDrained() {
        return drained;
    }

    void setDrained(boolean drained) {
        this.drained = drained;
    }

    /** Returns the more restrictive of the phase from discovery and the administrative state. */
    EndpointPhase restrict(EndpointPhase listedPhase) {
        return drained && listedPhase == EndpointPhase.READY ? EndpointPhase.DRAINING : listedPhase;
    }

    /**
     * Schedules the first request after the endpoint's return. This proxy sends it in its own time slot among
     * all proxies, and the request may be for any key.
     *
     * @param slot random position of this proxy among all, from 0 to the number of proxies
     */
    void awaitFirstRequest(double slot) {
        firstRequestFromNanos = returnedNanos + FIRST_REQUEST_DELAY_NANOS
            + (long) (slot * FIRST_REQUEST_SPACING_NANOS);
    }

    /** Returns whether this proxy's time slot for a first request has come. */
    boolean isFirstRequestDue(long now) {
        return now > firstRequestFromNanos;
    }
}
