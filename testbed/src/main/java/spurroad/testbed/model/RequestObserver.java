package spurroad.testbed.model;

/**
 * Observes what cache nodes and the origin receive and do. Times are in nanoseconds on the environment's
 * timeline, servers are named by their uids.
 */
public interface RequestObserver {
    /** A server has received the last byte of an execution, and has not yet acted on it. */
    void onExecutionReceived(long timeNanos, String uid, ServerRequest request);

    /** A server has finished an execution; a fault may still keep the reply from the proxy. */
    void onExecutionEnded(long timeNanos, String uid, ServerRequest request, Reply reply);

    /** A write took effect; not called for a repeat that the origin recognized. */
    void onWriteEffect(long timeNanos, ServerRequest request);

    /** A cache node was overloaded while it was warming up, and failed. */
    void onOverloadFailure(long timeNanos, String uid, String reason);
}
