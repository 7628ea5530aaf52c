package spurroad.routing;

/** Reasons why a client connection was closed by this side or by the client. Logged under their own names. */
enum CloseReason {
    /**
     * The client closed or reset the connection, the connection failed, or the input can never become a
     * command.
     */
    CLIENT_ENDED(true),
    /** The client read its responses too slowly. */
    TAKES_NO_ANSWERS(true),
    /** An endpoint broke off a long value: the client can recognize this only by a reset. */
    VALUE_BROKEN_OFF(false),
    /** The client did not finish a command in time. */
    UNFINISHED_COMMAND(false),
    /** The client sent too much input after a protocol error. */
    SENT_BEHIND_A_FAULT(false),
    /**
     * The last response was written: after a protocol error, to a guest, or while this process shuts down or
     * hands over.
     */
    AFTER_LAST_ANSWER(false),
    /** The connection was idle between two commands while this process shuts down, or for too long. */
    IDLE(false),
    /** The descriptor of the connection was needed for another connection. */
    PLACE_NEEDED(false);

    /** Whether requests that await their responses are abandoned when the connection closes. */
    final boolean givesUpRequests;

    CloseReason(boolean givesUpRequests) {
        this.givesUpRequests = givesUpRequests;
    }
}
