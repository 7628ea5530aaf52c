package spurroad.balancer.endpoint;

import spurroad.model.EndpointPhase;

/**
 * The administrative state of an endpoint. It overrides discovery, load reports and this proxy's own view.
 */
public final class AdminState {
    // by then an endpoint that was returned has work of its own, where there is any
    private static final long FIRST_REQUEST_DELAY_NANOS = 2_000_000_000L;
    // mean distance between proxies: all hear of the return at the same moment
    private static final long FIRST_REQUEST_SPACING_NANOS = 500_000_000L;

    private final long returnedNanos;
    private boolean drained;
    private long firstRequestFromNanos;

    /**
     * Begins the state of an incarnation.
     *
     * @param previous state of the incarnation before, or null; a slot for a first request is kept, else all
     *     proxies would send theirs once they hear of the new start
     */
    AdminState(long returnedNanos, AdminState previous) {
        this.returnedNanos = returnedNanos;
        firstRequestFromNanos = previous == null ? 0 : previous.firstRequestFromNanos;
    }

    /** Returns when staff returned it to use, in nanoseconds; zero where they never did. */
    public long returnedNanos() {
        return returnedNanos;
    }

    /** Returns whether staff have taken it out of use. */
    public boolean isDrained() {
        return drained;
    }

    void setDrained(boolean drained) {
        this.drained = drained;
    }

    /** Returns the most restrictive of the phase from discovery and the administrative state. */
    EndpointPhase restrict(EndpointPhase listedPhase) {
        return drained && listedPhase == EndpointPhase.READY ? EndpointPhase.DRAINING : listedPhase;
    }

    /**
     * Has it wait for a first request since its return, which it gets in this proxy's turn among all,
     * whosever key the request is for.
     *
     * @param slot from 0 to the number of proxies
     */
    void awaitFirstRequest(double slot) {
        firstRequestFromNanos = returnedNanos + FIRST_REQUEST_DELAY_NANOS
            + (long) (slot * FIRST_REQUEST_SPACING_NANOS);
    }

    /** Returns whether this proxy's turn for a first request has come. */
    boolean isFirstRequestDue(long now) {
        return now > firstRequestFromNanos;
    }
}
