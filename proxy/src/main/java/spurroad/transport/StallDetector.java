package spurroad.transport;

/**
 * Measures the total time for which this process was stalled: throttled after it used up its CPU share, or
 * with its threads waiting for one another. The detector's thread sleeps for short periods and adds up how
 * late it wakes up. The total distinguishes the proxy's own delays from those of its peers.
 */
public final class StallDetector implements Runnable {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long SLEEP_MILLIS = 5; // a hundredth of a request's duration, at little CPU cost
    // wake-ups are up to this late even on an idle machine
    private static final long TIMER_SLACK_NANOS = 2 * NANOS_PER_MILLI;

    private volatile long totalStallNanos;
    private volatile boolean isStopped;

    @Override
    public void run() {
        try {
            for (long sleepStartNanos = System.nanoTime(); !isStopped;) {
                Thread.sleep(SLEEP_MILLIS);
                long wakeUpNanos = System.nanoTime();
                recordSleep(wakeUpNanos - sleepStartNanos);
                sleepStartNanos = wakeUpNanos;
            }
        } catch (InterruptedException e) {
            // ends the measurement, like stop()
        }
    }

    /** Adds the delay of a sleep that took {@code sleptNanos}, if it exceeds the timer slack. */
    void recordSleep(long sleptNanos) {
        long delayNanos = sleptNanos - SLEEP_MILLIS * NANOS_PER_MILLI;
        totalStallNanos += delayNanos > TIMER_SLACK_NANOS ? delayNanos : 0;
    }

    /** Returns the total stall time since the start, in nanoseconds. May be called from any thread. */
    public long totalNanos() {
        return totalStallNanos;
    }

    /** Ends the measurement thread. May be called from any thread. */
    public void stop() {
        isStopped = true;
    }
}
