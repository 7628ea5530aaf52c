package spurroad.routing;

/**
 * Tracks when data was last read from or written to a client connection, and which timeouts have expired.
 * Times are Unix nanoseconds. Used on the event loop only.
 */
final class ClientActivity {
    /** A client that has sent nothing for this time after a response is unlikely to send a command next. */
    private static final long IDLE_AFTER_RESPONSE_NANOS = 50_000_000L;
    /** A client that opens a connection for a request sends the request within this time. */
    private static final long IDLE_BEFORE_FIRST_COMMAND_NANOS = 250_000_000L;
    /**
     * Time without input after which an incomplete command is stalled; clients send the command line within 2
     * s.
     */
    private static final long COMMAND_STALL_NANOS = 2_200_000_000L;
    private static final long GUEST_COMMAND_STALL_NANOS = 1_000_000_000L;
    private static final long MAX_COMMAND_NANOS = 20_000_000_000L; // for commands without a long value

    // idle timeouts after a response and before the first; crowded: while many clients are connected
    private static final long IDLE_TIMEOUT_NANOS = 10_000_000_000L;
    private static final long FIRST_COMMAND_TIMEOUT_NANOS = 2_200_000_000L;
    private static final long CROWDED_IDLE_TIMEOUT_NANOS = 300_000_000L;
    private static final long CROWDED_FIRST_COMMAND_TIMEOUT_NANOS = 1_000_000_000L;

    private final boolean guest;
    private boolean responded; // whether the client has had a response
    private long respondedAtNanos; // time of the last response, or of the opening before the first
    private long readAtNanos;
    private long partialSinceNanos = Long.MAX_VALUE; // MAX_VALUE if no command is incomplete

    ClientActivity(boolean guest, long openedAtNanos) {
        this.guest = guest;
        respondedAtNanos = openedAtNanos;
    }

    /** Notes that data was read from the client, or that the client could not send until now. */
    void onRead(long now) {
        readAtNanos = now;
    }

    /** Notes that the operating system has accepted a response. */
    void onResponseWritten(long now) {
        respondedAtNanos = now;
        responded = true;
    }

    /** Notes that an incomplete command is buffered; keeps the time of the first call for this command. */
    void onPartialCommand(long now) {
        partialSinceNanos = Math.min(partialSinceNanos, now);
    }

    /** Notes that no incomplete command is awaited. */
    void onNoPartialCommand() {
        partialSinceNanos = Long.MAX_VALUE;
    }

    /** Returns whether the client has had a response. */
    boolean hasResponded() {
        return responded;
    }

    /** Returns the time of the last read or response, or of the opening. */
    long lastActivityNanos() {
        return Math.max(respondedAtNanos, readAtNanos);
    }

    /**
     * Returns whether the client is unlikely to send a command soon, judged by the time since the last
     * response.
     */
    boolean isIdle(long now) {
        return now - respondedAtNanos
            > (responded ? IDLE_AFTER_RESPONSE_NANOS : IDLE_BEFORE_FIRST_COMMAND_NANOS);
    }

    /** Returns whether the connection has been idle for so long that it should be closed. */
    boolean isIdleTimeoutExpired(long now, boolean crowded) {
        return now - respondedAtNanos > idleTimeoutNanos(crowded);
    }

    private long idleTimeoutNanos(boolean crowded) {
        if (crowded) {
            return responded ? CROWDED_IDLE_TIMEOUT_NANOS : CROWDED_FIRST_COMMAND_TIMEOUT_NANOS;
        }
        return responded ? IDLE_TIMEOUT_NANOS : FIRST_COMMAND_TIMEOUT_NANOS;
    }

    /** Returns whether a command is incomplete, or an upload under way, and the rest is overdue. */
    boolean isCommandStalled(long now, boolean receivingUpload) {
        boolean partial = partialSinceNanos != Long.MAX_VALUE || receivingUpload;
        long timeout = guest ? GUEST_COMMAND_STALL_NANOS : COMMAND_STALL_NANOS;
        return partial && now - timeout > readAtNanos || now - MAX_COMMAND_NANOS > partialSinceNanos;
    }
}
