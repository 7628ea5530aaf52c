package spurroad.model;

/**
 * The outcome of an attempt or a load probe; each has exactly one. The order of the constants defines their
 * codes on the wire.
 */
public enum Outcome {
    /** The endpoint executed the request. */
    SUCCEEDED,
    /** The endpoint replied with an error; the request may have had an effect. */
    FAILED,
    /** The endpoint replied that it did not run the request, such as when it is full. */
    REJECTED,
    /** No reply came in time. */
    TIMED_OUT,
    /** No connection was established, so nothing was sent. */
    NO_CONNECTION,
    /** The connection broke after something was sent. */
    CONNECTION_LOST,
    /** It was cancelled; the request may have had an effect. */
    CANCELLED,
    /** The proxy did not send it, because it was no longer allowed or too late. */
    NOT_SENT,
    /** The endpoint does not have the key cached, and did nothing. */
    CACHE_MISS;

    /** Returns whether the outcome proves that the request had no effect anywhere. */
    public boolean provesNotExecuted() {
        return this == REJECTED || this == NO_CONNECTION || this == NOT_SENT || this == CACHE_MISS;
    }

    /** Returns whether the endpoint itself replied. */
    public boolean hasReply() {
        return this == SUCCEEDED || this == FAILED || this == REJECTED || this == CACHE_MISS;
    }
}
