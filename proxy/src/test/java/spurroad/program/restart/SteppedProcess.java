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
 * One process of a hot restart that runs only when a test says so. Its thread stops in the middle of each
 * poll of the directory, where it reports how many descriptors the process may hold, and continues at the
 * next {@link #poll}. As no two threads run at once, a sequence of calls has the same effect on every run.
 */
final class SteppedProcess implements HotRestart.ProcessControl {
    /** Descriptors of a process that is alone. */
    static final int TOTAL_DESCRIPTORS = 200;
    /** Descriptors that each process holds besides. */
    static final int RESERVED_DESCRIPTORS = 40;

    private static final long TIMEOUT_SECONDS = 20;
    private static final String LISTED_PREFIX = "s-";
    // not listed, so a call for it changes nothing; it only ends the thread's wait for the next poll
    private static final String WAKE_UP_ID = "wake-up";

    /**
     * An endpoint that the process was told to drain or to use again, with the answer that may be delayed.
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
    private Thread thread; // null until it serves
    private boolean delaysAnswers;
    private int descriptorsInUse;

    SteppedProcess(Path directory, long pid) throws InterruptedException {
        this.pid = pid;
        hotRestart = new HotRestart(directory, pid, TOTAL_DESCRIPTORS, RESERVED_DESCRIPTORS, new EventLog());
    }

    // ---- what the process under test calls

    @Override
    public void setDrained(String id, boolean drained, boolean knownElsewhere, Consumer<Boolean> known) {
        if (id.equals(WAKE_UP_ID)) {
            known.accept(false);
            return;
        }
        DrainChange change = new DrainChange(id, drained, knownElsewhere, known);
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
            return; // the first poll, on the thread of the test
        }
        stopped.release();
        mayContinue.acquireUninterruptibly();
    }

    private static void answer(DrainChange change) {
        change.delayedAnswer.accept(change.knownElsewhere || change.id.startsWith(LISTED_PREFIX));
    }

    // ---- steps of a test

    /** Serves, and stops in the first poll of its thread. */
    void startServing() throws InterruptedException {
        beginServing();
        awaitStop();
    }

    /** Serves while the directory can't be read, so that no poll of its thread gets as far as the stop. */
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

    /** Finishes its poll, runs what was asked for, and begins the next poll. */
    void poll() throws InterruptedException {
        wakeUp();
        pollAfterInterval();
    }

    /** The same, with nothing asked for: after the poll interval. */
    void pollAfterInterval() throws InterruptedException {
        mayContinue.release();
        awaitStop();
    }

    /** Runs what was asked for while the directory can't be read; {@link #awaitStop} follows once it can. */
    void continueUntilDrainChange() throws InterruptedException {
        drainChanged.drainPermits();
        mayContinue.release();
        assertTrue(drainChanged.tryAcquire(TIMEOUT_SECONDS, TimeUnit.SECONDS), "no drain changed");
    }

    void awaitStop() throws InterruptedException {
        assertTrue(stopped.tryAcquire(TIMEOUT_SECONDS, TimeUnit.SECONDS), "process " + pid + " hangs");
    }

    /** Makes an operator's call; the answer becomes an event. */
    void call(String name, String id, boolean drained) {
        hotRestart.setAdminDrain(id, drained, () -> {}, known -> events.add(name + " answered " + known));
    }

    void beginShutdown() {
        hotRestart.startShutdown();
    }

    /** Ends its thread and releases its lock; its files stay. */
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

    /** Answers all drain changes that it has delayed, in the order of their ids. */
    void answerDelayed() {
        delayed.stream().sorted(Comparator.comparing(DrainChange::id)).forEach(SteppedProcess::answer);
        delayed.clear();
    }

    private void wakeUp() {
        hotRestart.setAdminDrain(WAKE_UP_ID, true, () -> {}, known -> {});
    }

    // ---- what a trace holds

    boolean isServing() {
        return thread != null;
    }

    /**
     * What happened since the last call. Changes of different endpoints within one step are in the order of
     * their ids, as the order in which a directory lists its files is not the program's.
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

    /** What it answers to those who ask. */
    String answers() {
        return "descriptors " + hotRestart.descriptorLimit() + ", another serves "
            + hotRestart.isAnotherServing()
            + ", successor serves " + hotRestart.isSuccessorServing();
    }
}
