package spurroad.cli;

import java.io.PrintStream;

/**
 * Shows the progress of a long operation in one line on standard error; shows nothing if the process has no
 * console. A daemon thread writes the line; {@link #update} may be called from any thread.
 */
final class Progress implements AutoCloseable {
    private static final long REFRESH_INTERVAL_MILLIS = 200;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final String CLEAR_LINE = "\r\033[K";

    private final PrintStream terminal = System.err;
    private final boolean isShown = System.console() != null;
    private final long startNanos = System.nanoTime();
    private volatile String step = "";
    private volatile boolean isClosed;
    private Thread thread;

    private Progress() {}

    /** Starts the display with the description of the first step. */
    static Progress start(String firstStep) {
        Progress progress = new Progress();
        progress.step = firstStep;
        if (progress.isShown) {
            progress.thread = new Thread(progress::show, "progress");
            progress.thread.setDaemon(true);
            progress.thread.start();
        }
        return progress;
    }

    /** Replaces the description of the current step; shown from the next refresh on. */
    void update(String nextStep) {
        step = nextStep;
    }

    private void show() {
        while (!isClosed) {
            long seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
            terminal.printf(CLEAR_LINE + "%4d s  %s", seconds, step);
            terminal.flush();
            try {
                Thread.sleep(REFRESH_INTERVAL_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Stops the thread and clears the line. */
    @Override
    public void close() {
        isClosed = true;
        if (thread != null) {
            thread.interrupt();
            terminal.print(CLEAR_LINE);
        }
    }
}
