package spurroad.transport;

import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

/**
 * Writes the log lines of this process, on a thread of its own: whoever logs never waits for whoever reads
 * the log. What a reader that has stopped leaves no room for is dropped and counted.
 */
final class LogWriter {
    /** The one of this process, as its log is one. */
    static final LogWriter SHARED = new LogWriter();

    private static final int MOST_WAITING = 256; // lines; some seconds of trouble of all kinds
    private static final long STACK_BYTES = 144 * 1024;

    private record Line(Level level, String text) {}

    private final System.Logger log = System.getLogger("spurroad");
    private final Queue<Line> waiting = new ArrayDeque<>();
    private long dropped;
    private boolean writing; // a line that has left the queue
    private Thread thread;

    /** Has a line written; from any thread. */
    synchronized void add(Level level, String text) {
        if (waiting.size() >= MOST_WAITING) {
            dropped++;
            return;
        }
        waiting.add(new Line(level, text));
        start();
        notifyAll();
    }

    private void start() {
        if (thread != null) {
            return;
        }
        Thread started = new Thread(null, this::run, "log", STACK_BYTES);
        started.setDaemon(true);
        try {
            started.start();
            thread = started;
        } catch (OutOfMemoryError e) {
            thread = null; // no thread for now: with the next line again
        }
    }

    /** Waits until all lines are written, for so long at most. */
    synchronized void flush(long mostMs) {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(mostMs);
        try {
            while (!waiting.isEmpty() || writing) {
                long leftNs = until - System.nanoTime();
                if (leftNs <= 0) {
                    return;
                }
                TimeUnit.NANOSECONDS.timedWait(this, leftNs);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        try {
            while (true) {
                Line line = next();
                write(line);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt(); // nobody does
        }
    }

    private void write(Line line) {
        try {
            log.log(line.level, line.text);
        } catch (RuntimeException e) {
            return; // where not even the log can be written nobody can be told, but the next line may go
        }
    }

    private synchronized Line next() throws InterruptedException {
        writing = false;
        notifyAll();
        while (waiting.isEmpty() && dropped == 0) {
            wait();
        }
        writing = true;
        if (waiting.isEmpty()) {
            Line line = new Line(Level.WARNING, "log lines were dropped, as nobody read them: " + dropped);
            dropped = 0;
            return line;
        }
        return waiting.remove();
    }
}
