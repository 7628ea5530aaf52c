package spurroad.program.restart;

import static org.testng.Assert.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import spurroad.transport.EventLog;

/**
 * One process of a hot restart that the test advances step by step. Its thread stops in the middle of each
 * poll of the directory, when it sets the descriptor limit of the process, and continues at the next
 * {@link #poll}. As no two threads run at once, a sequence of calls has the same effect in every run.
 */
final class SteppedProcess implements HotRestart.ProcessControl {
    /** Descriptors of a process without others. */
    static final int TOTAL_DESCRIPTORS = 200;
    /** Descriptors that each process holds for other purposes. */
    static final int RESERVED_DESCRIPTORS = 40;

    private static final long TIMEOUT_SECONDS = 20;
    private static final String LISTED_PREFIX = "s-";
    // not a listed endpoint, so a call for it changes nothing and only ends the thread's wait between polls
    private static final String WAKE_UP_ID = "wake-up";

    /**
     * A requested change of the drain of an endpoint, with the callback whose answer may be delayed.
     */
    private record DrainChange(String id, boolean drained, boolean knownElsewhere,
                               Consumer<Boolean> delayedAnswer) {
        private String text() {
            return id + (drained ? " drained" : " used again")
                + (knownElsewhere ? ", known to another process" : ", by a call");
        }
    }

    private final long pid;
    private final HotRestart hotRestart;
    private final Semaphore mayContinue = new Semaphore(0);
    private final Semaphore stopped = new Semaphore(0);
    private final Semaphore drainChanged = new Semaphore(0);
    private final List<DrainChange> drainChanges = new ArrayList<>();
    private final List<DrainChange> delayed = new ArrayList<>();
    private final List<String> events = new ArrayList<>();
    private Thread thread; // null until the process serves
    private boolean delaysAnswers;
    private int descriptorsInUse;

    SteppedProcess(Path directory, long pid) throws InterruptedException {
        this.pid = pid;
        hotRestart = new HotRestart(directory, pid, TOTAL_DESCRIPTORS, RESERVED_DESCRIPTORS, new EventLog());
    }

    // ---- called by the process under test

    @Override
    public void setDrained(String id, boolean drained, boolean knownElsewhere, Consumer<Boolean> onResult) {
        if (id.equals(WAKE_UP_ID)) {
            onResult.accept(false);
            return;
        }
        DrainChange change = new DrainChange(id, drained, knownElsewhere, onResult);
        drainChanges.add(change);
        if (delaysAnswers) {
            delayed.add(change);
        } else {
            answer(change);
        }
        drainChanged.release();
    }

    @Override
    public int descriptorsInUse() {
        return descriptorsInUse;
    }

    @Override
    public void setDescriptorLimit(int limit) {
        events.add("may hold " + limit);
        if (Thread.currentThread() != thread) {
            return; // the first poll runs on the thread of the test
        }
        stopped.release();
        mayContinue.acquireUninterruptibly();
    }

    private static void answer(DrainChange change) {
        change.delayedAnswer.accept(change.knownElsewhere || change.id.startsWith(LISTED_PREFIX));
    }

    // ---- steps of a test

    /** Starts serving, and returns once the thread has stopped in its first poll. */
    void startServing() throws InterruptedException {
        beginServing();
        awaitStop();
    }

    /** Starts serving without waiting for a stop, which no poll reaches while the directory is unreadable. */
    void beginServing() throws InterruptedException {
        hotRestart.startServing(this);
        thread = new Thread(this::run, "process " + pid);
        thread.setDaemon(true);
        wakeUp();
        thread.start();
    }

    private void run() {
        try {
            hotRestart.run();
        } finally {
            stopped.release();
        }
    }

    /** Finishes the current poll, runs the requested tasks, and begins the next poll. */
    void poll() throws InterruptedException {
        wakeUp();
        pollAfterInterval();
    }

    /** Finishes the current poll and begins the next one, after the poll interval if no task is requested. */
    void pollAfterInterval() throws InterruptedException {
        mayContinue.release();
        awaitStop();
    }

    /**
     * Runs the requested tasks while the directory can't be read; call {@link #awaitStop} once it can be.
     */
    void continueUntilDrainChange() throws InterruptedException {
        drainChanged.drainPermits();
        mayContinue.release();
        assertTrue(drainChanged.tryAcquire(TIMEOUT_SECONDS, TimeUnit.SECONDS), "expected a drain change");
    }

    void awaitStop() throws InterruptedException {
        assertTrue(stopped.tryAcquire(TIMEOUT_SECONDS, TimeUnit.SECONDS), "process " + pid + " hangs");
    }

    /** Makes an operator's call and records its answer as an event. */
    void call(String name, String id, boolean drained) {
        hotRestart.setAdminDrain(id, drained, () -> {}, known -> events.add(name + " answered " + known));
    }

    void beginShutdown() {
        hotRestart.startShutdown();
    }

    /** Ends the thread and releases the lock; the files of the process remain. */
    void kill() throws InterruptedException {
        hotRestart.stop();
        poll();
        pollAfterInterval();
    }

    void setDescriptorsInUse(int descriptors) {
        descriptorsInUse = descriptors;
    }

    void setDelaysAnswers(boolean on) {
        delaysAnswers = on;
    }

    /** Answers all delayed drain changes in the order of their ids. */
    void answerDelayed() {
        delayed.stream().sorted(Comparator.comparing(DrainChange::id)).forEach(SteppedProcess::answer);
        delayed.clear();
    }

    private void wakeUp() {
        hotRestart.setAdminDrain(WAKE_UP_ID, true, () -> {}, known -> {});
    }

    // ---- content of the trace

    boolean isServing() {
        return thread != null;
    }

    /**
     * Returns the events since the last call. Changes of different endpoints within one step are in the order
     * of their ids, as the program does not control the order in which a directory lists its files.
     */
    List<String> takeEvents() {
        List<String> taken = new ArrayList<>();
        drainChanges.stream().sorted(Comparator.comparing(DrainChange::id)).map(DrainChange::text)
            .forEach(taken::add);
        taken.addAll(events);
        drainChanges.clear();
        events.clear();
        return taken;
    }

    /** Returns the results of the queries that other components make. */
    String answers() {
        return "descriptors " + hotRestart.descriptorLimit() + ", another serves "
            + hotRestart.isAnotherServing()
            + ", successor serves " + hotRestart.isSuccessorServing();
    }
}
