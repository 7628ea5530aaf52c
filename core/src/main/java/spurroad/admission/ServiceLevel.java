package spurroad.admission;

/**
 * The levels of service, from full service downwards. Each level excludes what those before it exclude, and
 * more.
 */
public enum ServiceLevel {
    /** Excludes nothing. */
    FULL,
    /** Excludes requests of tenants over their quotas. */
    WITHIN_QUOTAS,
    /** Also excludes retries after attempts that may have run, and load probes no request waits for. */
    NO_RETRIES,
    /** Also excludes requests of all classes except those with the highest priority weight. */
    HIGHEST_PRIORITY_ONLY,
    /** Excludes all new requests; those in flight are completed. */
    IN_FLIGHT_ONLY;

    /** Returns whether this level excludes at least what another level excludes. */
    public boolean atLeast(ServiceLevel other) {
        return compareTo(other) >= 0;
    }
}
