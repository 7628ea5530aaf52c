package spurroad.routing;

import java.util.Random;

/**
 * Computes the timeouts of calls to discovery and the pauses between them. A change must be received within
 * {@link #DETECTION_NANOS} of the moment at which discovery has it and is reachable, whatever happened to
 * earlier calls. If a watch stalls, the same bound holds from the start of the stall. The next call starts at
 * most {@link #callTimeoutNanos()} after an unanswered one, so the pause before a call may take the rest of
 * the bound. Pauses and line timeouts are randomized, because many proxies lose discovery at the same moment.
 * All times are durations.
 */
final class DiscoveryTiming {
    /** Maximum time from when a change can be read from discovery to its receipt. */
    static final long DETECTION_NANOS = 6_000_000_000L;
    /** Time until the first line of a response; discovery may delay a response by 3 s. */
    private static final long MAX_CALL_TIMEOUT_NANOS = 3_100_000_000L;
    /** Call timeout for pushed lists, whose agent is close to the proxy. */
    private static final long MAX_PUSHED_CALL_TIMEOUT_NANOS = 2_000_000_000L;
    /** The longest pause, 1.5 times the mean, and a call together take less than 6 s. */
    private static final long MAX_MEAN_PAUSE_NANOS = 1_900_000_000L;
    private static final long PUSHED_MEAN_PAUSE_NANOS = 100_000_000L;
    /** Mean pause as a fraction of the configured poll interval: the call takes part of the interval. */
    private static final double PAUSE_FRACTION = 0.4;
    /**
     * Call timeout in configured poll intervals; the call after a failed one must start within four of them.
     */
    private static final double CALL_TIMEOUT_POLL_INTERVALS = 2;
    /**
     * Minimum time without a line after which a watch counts as stalled: 1.3 heartbeats, which arrive every 2
     * s. An unnecessary call is cheap, whereas with a timeout of 7 s drains that followed a stall of all
     * watches were received too late.
     */
    private static final long MIN_STALL_TIMEOUT_NANOS = 2_600_000_000L;
    private static final long STALL_TIMEOUT_SPREAD_NANOS = 800_000_000L;
    /** Time from a stalled watch's last line to the next call's timeout; leaves 1.5 s for another call. */
    private static final long SECOND_CALL_TIMEOUT_END_NANOS = 4_500_000_000L;
    private static final long CONNECT_TIMEOUT_NANOS = 2_000_000_000L; // a lost SYN is retransmitted after 1 s
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Random random;
    private final long meanPauseNanos;
    private final long callTimeoutNanos;

    /**
     * Creates the timing for one proxy.
     *
     * @param pushed whether an agent that serves this proxy alone pushes the lists
     * @param pollIntervalNanos poll interval: how long a list may be used without another call
     */
    DiscoveryTiming(boolean pushed, long pollIntervalNanos, Random random) {
        this.random = random;
        meanPauseNanos = pushed ? PUSHED_MEAN_PAUSE_NANOS
            : Math.min(MAX_MEAN_PAUSE_NANOS, (long) (PAUSE_FRACTION * pollIntervalNanos));
        callTimeoutNanos = Math.min(pushed ? MAX_PUSHED_CALL_TIMEOUT_NANOS : MAX_CALL_TIMEOUT_NANOS,
            (long) (CALL_TIMEOUT_POLL_INTERVALS * pollIntervalNanos));
    }

    /** Returns a random pause, the maximum time from a failed call or the end of a watch to the next call. */
    long pauseNanos() {
        return (long) ((0.5 + random.nextDouble()) * meanPauseNanos);
    }

    /** Returns the time to wait for a call's first line before another call starts in parallel. */
    long callTimeoutNanos() {
        return callTimeoutNanos;
    }

    /** Returns the connect timeout. */
    int connectTimeoutMillis() {
        return (int) (Math.min(CONNECT_TIMEOUT_NANOS, callTimeoutNanos) / NANOS_PER_MILLI);
    }

    /** Returns the random time without a line after which a watch counts as stalled. */
    long stallTimeoutNanos() {
        return MIN_STALL_TIMEOUT_NANOS + (long) (random.nextDouble() * STALL_TIMEOUT_SPREAD_NANOS);
    }

    /** Returns the timeout of the call that follows a watch's stall of the given duration. */
    long callTimeoutAfterStallNanos(long stallTimeoutNanos) {
        return Math.min(callTimeoutNanos, SECOND_CALL_TIMEOUT_END_NANOS - stallTimeoutNanos);
    }
}
