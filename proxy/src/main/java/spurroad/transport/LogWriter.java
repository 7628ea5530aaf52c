package spurroad.transport;

import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

/**
 * Writes the log lines of this process on a dedicated daemon thread, so that a stalled reader of the log
 * blocks no other thread. Lines added while the queue is full are dropped and counted. Thread-safe.
 */
final class LogWriter {
    /** The only instance in this process, as the process has one log. */
    static final LogWriter SHARED = new LogWriter();

    private static final int MAX_QUEUED_LINES = 256; // several seconds of faults of all kinds
    private static final long STACK_BYTES = 144 * 1024;

    private record Line(Level level, String text) {}

    private final System.Logger log = System.getLogger("spurroad");
    private final Queue<Line> queue = new ArrayDeque<>();
    private long droppedCount;
    private boolean isWriting; // a line that was taken from the queue
    private Thread thread;

    /** Returns whether lines of this level are written. */
    boolean isEnabled(Level level) {
        return log.isLoggable(level);
    }

    /** Queues a line, or counts it as dropped if the queue is full. */
    synchronized void add(Level level, String text) {
        if (queue.size() >= MAX_QUEUED_LINES) {
            droppedCount++;
            return;
        }
        queue.add(new Line(level, text));
        startThread();
        notifyAll();
    }

    private void startThread() {
        if (thread != null) {
            return;
        }
        Thread newThread = new Thread(null, this::run, "log", STACK_BYTES);
        newThread.setDaemon(true);
        try {
            newThread.start();
            thread = newThread;
        } catch (OutOfMemoryError e) {
            thread = null; // no thread can be created at the moment: the next line tries again
        }
    }

    /** Waits until all lines are written or the timeout has passed. */
    synchronized void flush(long timeoutMillis) {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        try {
            while (!queue.isEmpty() || isWriting) {
                long remainingNanos = deadlineNanos - System.nanoTime();
                if (remainingNanos <= 0) {
                    return;
                }
                TimeUnit.NANOSECONDS.timedWait(this, remainingNanos);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        try {
            while (true) {
                write(takeNext());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void write(Line line) {
        try {
            log.log(line.level, line.text);
        } catch (RuntimeException e) {
            return; // a failure of the log can't be logged, and the next line may be written
        }
    }

    private synchronized Line takeNext() throws InterruptedException {
        isWriting = false;
        notifyAll();
        while (queue.isEmpty() && droppedCount == 0) {
            wait();
        }
        isWriting = true;
        if (queue.isEmpty()) {
            Line line = new Line(Level.WARNING, "log lines dropped: count=" + droppedCount);
            droppedCount = 0;
            return line;
        }
        return queue.remove();
    }
}
