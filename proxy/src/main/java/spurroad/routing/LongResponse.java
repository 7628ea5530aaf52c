package spurroad.routing;

/**
 * A long value on its way to a client's connection, after the first line of its response. It ends exactly
 * once: complete, broken off, or abandoned by the client. Used on the event loop only.
 */
interface LongResponse {
    /** Starts writing once the responses before this one are written. */
    void start(ResponseWriter writer);

    /** Continues after the operating system has accepted everything written to the client. */
    void onDrained();

    /** Returns whether the rest of the value may fail to arrive, or has failed to. */
    boolean canBreak();

    /** Abandons the value because the client disconnected or the request already has its response. */
    void abandon();
}
