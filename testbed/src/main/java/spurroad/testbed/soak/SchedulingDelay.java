package spurroad.testbed.soak;

/**
 * Measures, on a daemon thread of its own, how late the soak's threads run on a busy machine, so that checks
 * of times can allow for it.
 */
final class SchedulingDelay {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long SAMPLE_INTERVAL_MS = 5;
    /** Allowed for even when no delay was measured. */
    private static final long MIN_SLACK_MS = 80;
    private static final int SLACK_PER_DELAY = 2;

    private volatile long maxMillis;
    /** The longest recent delay, which decays by a millisecond with each sample. */
    private volatile long recentMillis;
    private volatile boolean finished;

    void start() {
        Thread thread = new Thread(this::measure, "scheduling delay");
        thread.setDaemon(true);
        thread.start();
    }

    void finish() {
        finished = true;
    }

    private void measure() {
        try {
            while (!finished) {
                long startNanos = System.nanoTime();
                Thread.sleep(SAMPLE_INTERVAL_MS);
                long sleepDelay = (System.nanoTime() - startNanos) / NANOS_PER_MILLI - SAMPLE_INTERVAL_MS;
                long startDelay = TestThreads.takeMaxStartDelayNanos() / NANOS_PER_MILLI;
                long delay = Math.max(sleepDelay, startDelay);
                recentMillis = Math.max(delay, recentMillis - 1);
                maxMillis = Math.max(maxMillis, delay);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    long recentMillis() {
        return recentMillis;
    }

    long maxMillis() {
        return maxMillis;
    }

    /** Returns what to allow for in a check of something that has just happened. */
    long recentSlackNanos() {
        return slackNanos(recentMillis);
    }

    /** Returns what to allow for in a check of something at any time in the run. */
    long maxSlackNanos() {
        return slackNanos(maxMillis);
    }

    private static long slackNanos(long delayMillis) {
        return (MIN_SLACK_MS + SLACK_PER_DELAY * delayMillis) * NANOS_PER_MILLI;
    }
}
