package spurroad.routing;

/**
 * States of a client connection, which decide how its input is handled. OPEN and PAUSED alternate;
 * REJECTING_INPUT is followed by LINGERING or CLOSED, LINGERING by CLOSED only.
 */
enum ClientConnectionState {
    /** Commands are read and processed. */
    OPEN,
    /** No command is processed for a while, because the last one could not be used. */
    PAUSED,
    /** Commands can't be found after malformed input: input is discarded, earlier responses are awaited. */
    REJECTING_INPUT,
    /** The last response was written: input is discarded until the response has had time to arrive. */
    LINGERING,
    /** The connection was closed by this side or by the client. */
    CLOSED;

    /** Returns whether input is read and discarded. */
    boolean discardsInput() {
        return this == REJECTING_INPUT || this == LINGERING;
    }
}
