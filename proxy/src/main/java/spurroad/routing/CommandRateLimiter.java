package spurroad.routing;

/**
 * Limits the rate of the commands of one client connection that cost the proxy's own processor time and
 * nothing else: those that are answered at once and, while the proxy lacks processor time, all. It is a leaky
 * bucket (generic cell rate algorithm, ITU-T I.371). Times are Unix nanoseconds. Used on the event loop only.
 */
final class CommandRateLimiter {
    /** Commands that may be processed at once after a pause; several times the commands sent ahead. */
    static final int BURST_COMMANDS = 64;
    /** Reciprocal of the sustained rate. */
    static final long NANOS_PER_COMMAND = 1_000_000L;
    /** Commands by which a held back connection continues, so that it does not wake the loop for each. */
    private static final int RESUMED_COMMANDS = 16;

    private long emptyAtNanos; // when the bucket will have leaked out

    /** Records a command. */
    void onCommand(long nowNanos) {
        emptyAtNanos = Math.max(emptyAtNanos, nowNanos) + NANOS_PER_COMMAND;
    }

    /** Returns whether the commands so far are all that may be processed now. */
    boolean isExhausted(long nowNanos) {
        return emptyAtNanos - nowNanos > (BURST_COMMANDS - 1) * NANOS_PER_COMMAND;
    }

    /** Returns after which time some more commands may be processed. */
    long pauseNanos(long nowNanos) {
        return Math.max(0, emptyAtNanos - nowNanos - (BURST_COMMANDS - RESUMED_COMMANDS) * NANOS_PER_COMMAND);
    }
}
