package spurroad.transport;

/**
 * Determines a lower bound for the time at which a channel reported by the selector became ready.
 *
 * <p>The channel can't have become ready before the start of the previous select, which would have reported
 * it. After a non-blocking select, that start is the bound. After a blocking select, it would be much too
 * early if nothing arrived for a while. The channel then counts as ready from the wake-up on, provided that
 * the previous select started so recently that the error is at most {@link #MAX_ERROR_NANOS}. Otherwise the
 * process was held up, perhaps with the channel ready all the time, and the start of the previous select
 * remains the bound. The duration of the select is no criterion: on a busy machine, a select that finds a
 * ready channel immediately may take as long as one that waited for it. Event loop thread only.
 */
final class ReadinessTracker {
    /** Maximum timeout of a select, so that an idle loop does not look like one that was held up. */
    static final long MAX_SELECT_WAIT_NANOS = 20_000_000L;
    // A third of the excess that is tolerated in the time limit sent to an endpoint. Two blocking selects and
    // their wake-ups take less.
    static final long MAX_ERROR_NANOS = 50_000_000L;

    private final Clock clock;
    private long selectStartNanos;
    private long earliestReadyNanos;
    private boolean isSelectBlocking;

    ReadinessTracker(Clock clock) {
        this.clock = clock;
        selectStartNanos = clock.now();
        earliestReadyNanos = selectStartNanos;
    }

    /**
     * Records that a select is about to start.
     *
     * @param blocking whether it waits for a channel to become ready
     */
    void onSelectStart(long nowNanos, boolean blocking) {
        earliestReadyNanos = selectStartNanos;
        selectStartNanos = nowNanos;
        isSelectBlocking = blocking;
    }

    /** Records that the selector reports a channel or has reported all of them. */
    void onWakeUp() {
        if (isSelectBlocking) {
            isSelectBlocking = false;
            long now = clock.now();
            if (now - earliestReadyNanos <= MAX_ERROR_NANOS) {
                earliestReadyNanos = now;
            }
        }
    }

    /** Returns the earliest time at which the channels being handled can have become ready. */
    long earliestReadyNanos() {
        return earliestReadyNanos;
    }

    /** Returns the start of the last select. Bytes that a read does not find now arrive after it. */
    long lastSelectStartNanos() {
        return selectStartNanos;
    }
}
