package spurroad.routing;

/**
 * Reasons why a request was rejected before it reached the load balancer, so that nothing of it was sent.
 * Logged under their own names.
 */
enum RejectionReason {
    /** The client connection is a guest: it has no descriptor of its own. */
    NO_PLACE,
    /**
     * More input follows the request than can be read ahead, so that a disconnect of the client would not be
     * seen.
     */
    TOO_MUCH_AHEAD,
    /** The admission policy does not admit it at the current service level. */
    SERVICE_LEVEL,
    /** The requests in flight hold all the memory that is budgeted for them. */
    NO_ROOM
}
