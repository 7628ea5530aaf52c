package spurroad.balancer.request;

/** The reason why a request has neither an attempt in flight nor a final answer. */
enum WaitReason {
    /** The request does not wait. */
    NONE,
    /** Waits for replies to load probes, or to cache queries to the owners of its candidates. */
    LOAD_REPLIES,
    /** Waits until the origin has capacity. */
    ORIGIN_CAPACITY,
    /** Waits for another request's fetch of the same key. */
    SHARED_FETCH
}
