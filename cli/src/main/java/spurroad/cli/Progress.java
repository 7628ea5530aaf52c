package spurroad.cli;

import java.io.PrintStream;

/**
 * One line on a terminal's standard error that says how far long work is; nothing where that is no terminal.
 */
final class Progress implements AutoCloseable {
    private static final long STEP_MS = 200; // ms; people see no quicker

    private final PrintStream to = System.err;
    private final boolean shown = System.console() != null;
    private final long from = System.nanoTime();
    private volatile String what = "";
    private volatile boolean over;
    private Thread thread;

    Progress begin(String first) {
        what = first;
        if (shown) {
            thread = new Thread(this::show, "progress");
            thread.setDaemon(true);
            thread.start();
        }
        return this;
    }

    void at(String now) {
        what = now;
    }

    private void show() {
        while (!over) {
            to.printf("\r\033[K%4d s  %s", (System.nanoTime() - from) / 1_000_000_000L, what);
            to.flush();
            try {
                Thread.sleep(STEP_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    @Override
    public void close() {
        over = true;
        if (thread != null) {
            thread.interrupt();
            to.print("\r\033[K");
        }
    }
}
