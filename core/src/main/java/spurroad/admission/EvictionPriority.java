package spurroad.admission;

/**
 * The state of a client connection, which decides how soon it is closed when descriptors for clients are
 * scarce. Connections with a request are kept; of the others, those are evicted first that have been quiet
 * for the longest time relative to what their state allows.
 */
public enum EvictionPriority {
    /** Its client waits for a response, or may still be reading one: never evicted. */
    REQUEST_IN_FLIGHT(Long.MAX_VALUE),
    /**
     * All its requests were answered and its client has sent nothing since; a client that continues
     * immediately does so within this time.
     */
    IDLE(50_000_000L),
    /** Its client has sent nothing yet; a client that connects for a request sends it sooner. */
    NEVER_USED(100_000_000L),
    /** Its client has sent part of a request; slow clients and networks pause, but rarely for so long. */
    PARTIAL_REQUEST(500_000_000L);

    private final long minQuietNanos; // time for which a connection in this state is not evicted

    EvictionPriority(long minQuietNanos) {
        this.minQuietNanos = minQuietNanos;
    }

    /**
     * Returns how long a connection has been quiet relative to the time that its state allows; from 1 on it
     * may be evicted, the highest value first.
     */
    public double overdue(long quietNanos) {
        return this == REQUEST_IN_FLIGHT ? 0 : (double) quietNanos / minQuietNanos;
    }
}
