package spurroad.transport;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/**
 * The single thread that serves all client and endpoint sockets and owns all state that belongs to them.
 * Tasks run on it one after another, in the order in which they were added, so that this state needs no
 * locks. Nothing that runs on it may block.
 *
 * <p>There is one thread instead of one per connection because a CPU limit that is enforced by stopping and
 * continuing the process wakes every thread each time. 600 idle threads used 0.64 of a core at 90 stops per
 * second (docs/design/overload.md).
 *
 * <p>An iteration selects and handles the ready channels, then runs the tasks that wait for closed
 * descriptors, the tasks that were added before, the timers that are due, and the tasks for the end of each
 * iteration.
 */
public final class EventLoop implements Runnable {
    /** Handles a channel that is ready, on the event loop thread. */
    interface ReadyHandler {
        /** Called with the operations that are ready, as bits of {@link SelectionKey}. */
        void onReady(int operations);
    }

    /** A scheduled task. Event loop thread only. */
    public interface Timer {
        /** Cancels the task. Has no effect if it was already cancelled or has run. */
        void cancel();
    }

    // limit of one read or write call, so that one connection does not delay the others
    private static final int TRANSFER_BUFFER_BYTES = 64 * 1024;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long LOG_FLUSH_TIMEOUT_MILLIS = 200;
    private static final int FAILURE_EXIT_CODE = 70; // EX_SOFTWARE of sysexits.h

    private final EventLog log;
    private final Clock clock;
    private final Selector selector;
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    // also set right before a select: a task added meanwhile must wake up the selector
    private final AtomicBoolean isSelecting = new AtomicBoolean();
    private volatile boolean isShutdown;
    private volatile Thread thread;

    // event loop thread only
    final ByteBuffer readBuffer = ByteBuffer.allocateDirect(TRANSFER_BUFFER_BYTES);
    final ByteBuffer writeBuffer = ByteBuffer.allocateDirect(TRANSFER_BUFFER_BYTES);
    private final TimerQueue timers = new TimerQueue();
    private final ReadinessTracker readiness;
    private final long maxSelectWaitNanos;
    private final List<Runnable> iterationEndTasks = new ArrayList<>();
    private List<Runnable> afterSelectTasks = new ArrayList<>();
    private final Consumer<SelectionKey> onKeyReady = this::onKeyReady;
    private final Consumer<Runnable> runLoggingFailure = this::runLoggingFailure;

    /**
     * Opens the selector. The loop runs once a thread calls {@link #run}.
     *
     * @throws UncheckedIOException if no selector can be opened, even after some retries
     */
    public EventLoop(EventLog log, Clock clock) {
        this(log, clock, ReadinessTracker.MAX_SELECT_WAIT_NANOS);
    }

    private EventLoop(EventLog log, Clock clock, long maxSelectWaitNanos) {
        this.log = log;
        this.clock = clock;
        this.maxSelectWaitNanos = maxSelectWaitNanos;
        readiness = new ReadinessTracker(clock);
        try {
            selector = StartupRetry.openWithRetry(Selector::open);
        } catch (IOException e) {
            throw new UncheckedIOException("can't open a selector", e);
        }
    }

    /**
     * Creates a loop that wakes up only when there is work to do. The times that its
     * {@link #earliestArrivalNanos} returns are not valid bounds.
     *
     * @throws UncheckedIOException if no selector can be opened, even after some retries
     */
    public static EventLoop withoutArrivalTimes(EventLog log, Clock clock) {
        return new EventLoop(log, clock, Long.MAX_VALUE);
    }

    // ---- callable from any thread

    /** Runs a task on the event loop thread, after all tasks that were added before. */
    public void execute(Runnable task) {
        tasks.add(task);
        if (Thread.currentThread() != thread && isSelecting.compareAndSet(true, false)) {
            selector.wakeup();
        }
    }

    /** Ends the loop after its current iteration and closes all channels that are registered then. */
    public void shutdown() {
        isShutdown = true;
        selector.wakeup();
    }

    // ---- event loop thread only

    /** Runs a short task after a delay, with millisecond resolution, unless it is cancelled before. */
    public Timer schedule(long delayNanos, Runnable task) {
        return timers.add(clock.now() + Math.max(0, delayNanos), task);
    }

    /** Runs a task at the end of each iteration. Must be called before the loop's thread starts. */
    public void onIterationEnd(Runnable task) {
        iterationEndTasks.add(task);
    }

    /** Returns the earliest time at which bytes being read can have arrived, in Unix nanoseconds. */
    public long earliestArrivalNanos() {
        return readiness.earliestReadyNanos();
    }

    /** Returns the start time of the last select, in Unix nanoseconds. */
    long lastSelectStartNanos() {
        return readiness.lastSelectStartNanos();
    }

    /** Returns the clock's current time, in Unix nanoseconds. */
    public long now() {
        return clock.now();
    }

    /** Runs a task after the next select, which frees the descriptors of channels closed before. */
    void runAfterSelect(Runnable task) {
        afterSelectTasks.add(task);
    }

    SelectionKey register(SelectableChannel channel, int operations, ReadyHandler handler)
        throws IOException {
        channel.configureBlocking(false);
        return channel.register(selector, operations, handler);
    }

    // ---- the event loop itself

    @Override
    public void run() {
        thread = Thread.currentThread();
        try {
            while (!isShutdown) {
                runIteration();
            }
            for (SelectionKey key : selector.keys()) {
                key.channel().close();
            }
            selector.close();
            runAfterSelectTasks(); // closes the channels that awaited their deregistration
        } catch (IOException | Error e) {
            log.warn("event loop failed, exiting", "error=" + EventLog.describe(e));
            log.flush(LOG_FLUSH_TIMEOUT_MILLIS);
            Runtime.getRuntime().halt(FAILURE_EXIT_CODE);
        }
    }

    private void runIteration() throws IOException {
        select();
        runAfterSelectTasks();
        isSelecting.set(false);
        runTasks();
        runDueTimers();
        iterationEndTasks.forEach(runLoggingFailure);
    }

    private void select() throws IOException {
        long now = clock.now();
        long delayNanos = timers.nanosUntilFirst(now);
        isSelecting.set(true);
        boolean blocking = tasks.isEmpty() && delayNanos > 0 && afterSelectTasks.isEmpty();
        readiness.onSelectStart(now, blocking);
        if (blocking) {
            selector.select(onKeyReady, selectTimeoutMillis(Math.min(delayNanos, maxSelectWaitNanos)));
            readiness.onWakeUp();
        } else {
            isSelecting.set(false);
            selector.selectNow(onKeyReady);
        }
    }

    /**
     * Returns a delay in milliseconds, rounded up so that the timer is due when the select ends. Zero means
     * that there is no timeout.
     */
    private static long selectTimeoutMillis(long delayNanos) {
        return delayNanos == Long.MAX_VALUE ? 0 : (delayNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI;
    }

    private void runAfterSelectTasks() {
        if (!afterSelectTasks.isEmpty()) {
            List<Runnable> due = afterSelectTasks;
            afterSelectTasks = new ArrayList<>(); // tasks that they add run after the next select
            due.forEach(runLoggingFailure);
        }
    }

    /** Runs the tasks that are queued now. Tasks that they add run in the next iteration. */
    private void runTasks() {
        for (int count = tasks.size(); count > 0; count--) {
            runLoggingFailure(tasks.remove());
        }
    }

    private void runDueTimers() {
        long now = clock.now();
        for (Runnable due = timers.pollDue(now); due != null; due = timers.pollDue(now)) {
            runLoggingFailure(due);
        }
    }

    private void onKeyReady(SelectionKey key) {
        readiness.onWakeUp();
        try {
            if (key.isValid()) {
                ((ReadyHandler) key.attachment()).onReady(key.readyOps());
            }
        } catch (RuntimeException e) {
            logFailure(e);
        }
    }

    private void runLoggingFailure(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            logFailure(e);
        }
    }

    private void logFailure(RuntimeException e) {
        log.warn("event loop task failed", "error=" + EventLog.describe(e));
    }
}
