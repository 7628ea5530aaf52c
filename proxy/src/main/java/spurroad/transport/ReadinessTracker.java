package spurroad.transport;

/**
 * Bounds since when a channel that the selector reports as ready can have been so.
 *
 * <p>It can't have been before the select before began, which would have reported it. After a select that did
 * not wait this is the bound. After one that waited it would be much too early where nothing came for a
 * while. There the channel counts as ready from the wake-up on if the select before began so short a time ago
 * that this can't be wrong by more than {@link #MAX_ERROR_NANOS}; else the process was held up, perhaps with
 * the channel ready all the time. How long the select itself took tells nothing: on a busy machine one that
 * finds a channel at once may take as long as one that waited for it. Event loop thread only.
 */
final class ReadinessTracker {
    /** A select waits for no longer, so that an idle loop does not look like one that was held up. */
    static final long MAX_SELECT_WAIT_NANOS = 20_000_000L;
    // a third of what an endpoint may be told too much; two waits and their wake-ups take less
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
     * Notes that a select is about to begin.
     *
     * @param blocking whether it waits for a channel to be ready
     */
    void onSelectStart(long nowNanos, boolean blocking) {
        earliestReadyNanos = selectStartNanos;
        selectStartNanos = nowNanos;
        isSelectBlocking = blocking;
    }

    /** Notes that the selector reports a channel, or has reported all. */
    void onWakeUp() {
        if (isSelectBlocking) {
            isSelectBlocking = false;
            long now = clock.now();
            if (now - earliestReadyNanos <= MAX_ERROR_NANOS) {
                earliestReadyNanos = now;
            }
        }
    }

    /** Returns since when, at the earliest, the channels being worked can have been ready. */
    long earliestReadyNanos() {
        return earliestReadyNanos;
    }

    /** Returns when the last select began: what is not found unread now comes later than that. */
    long lastSelectStartNanos() {
        return selectStartNanos;
    }
}
