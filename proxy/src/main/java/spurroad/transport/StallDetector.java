package spurroad.transport;

/**
 * Measures for how long this process has been stalled in all: throttled after its share of a core was used
 * up, or with its threads waiting for one another. Its thread sleeps for short times, and counts how late it
 * wakes up. The total separates the proxy's own delays from those of its peers.
 */
public final class StallDetector implements Runnable {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long SLEEP_MILLIS = 5; // a hundredth of what requests take, at little cost
    private static final long TIMER_SLACK_NANOS = 2 * NANOS_PER_MILLI; // so late on an idle machine, too

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
            // ends the measurement, as stop() does
        }
    }

    /** Counts a sleep that took so long. */
    void recordSleep(long sleptNanos) {
        long delayNanos = sleptNanos - SLEEP_MILLIS * NANOS_PER_MILLI;
        totalStallNanos += delayNanos > TIMER_SLACK_NANOS ? delayNanos : 0;
    }

    /** Returns the total since the start, in nanoseconds; from any thread. */
    public long totalNanos() {
        return totalStallNanos;
    }

    /** Ends the measuring thread; from any thread. */
    public void stop() {
        isStopped = true;
    }
}
