package spurroad.model;

/** The cache status that an endpoint reports in its response to an attempt. */
public enum CacheStatus {
    /** The endpoint reported no cache status. */
    NONE,
    /** The endpoint had the key cached. */
    HIT,
    /** The endpoint did not have the key cached. */
    MISS,
    /** The endpoint does not have the key cached yet; it is fetching it. */
    FETCH_PENDING
}
