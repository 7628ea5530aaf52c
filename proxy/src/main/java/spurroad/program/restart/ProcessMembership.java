package spurroad.program.restart;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import spurroad.transport.EventLog;

/**
 * The membership of this process among those that share the directory: which others live, which of them is
 * the newest or serves, and the state that this one publishes.
 *
 * <p>There is no election. The order in which the processes started determines which of them takes over the
 * shared listening socket and which gives it up.
 */
final class ProcessMembership {
    private final HotRestartDirectory directory;
    private final EventLog log;
    private final StartOrder startOrder;
    private List<LiveProcess> others;
    private ProcessState lastPublished; // null until a state has been written
    private long servingSinceMillis = ProcessState.NOT_SERVING_YET;
    private boolean shuttingDown;
    private volatile boolean successorServing;

    private ProcessMembership(HotRestartDirectory directory, EventLog log, StartOrder startOrder,
                              List<LiveProcess> others) {
        this.directory = directory;
        this.log = log;
        this.startOrder = startOrder;
        this.others = others;
    }

    /** Joins as the newest process, even if the directory can't be accessed yet. */
    static ProcessMembership join(HotRestartDirectory directory, long pid, EventLog log)
        throws InterruptedException {
        lock(directory, log);
        List<LiveProcess> others = List.of();
        try {
            others = directory.readOtherProcesses();
        } catch (IOException e) {
            log.warn(HotRestartDirectory.UNAVAILABLE, "error=" + e);
        }
        StartOrder startOrder = new StartOrder(laterThanStartsOf(others, System.currentTimeMillis()), pid);
        return new ProcessMembership(directory, log, startOrder, others);
    }

    private static void lock(HotRestartDirectory directory, EventLog log) throws InterruptedException {
        try {
            directory.join();
        } catch (IOException e) {
            log.warn("hot restart directory can't be joined yet", "error=" + e);
        }
    }

    /** Returns a time after the start of every other process, even if the system clock was set back since. */
    private static long laterThanStartsOf(List<LiveProcess> others, long nowMillis) {
        return others.stream().map(LiveProcess::published).flatMap(Optional::stream)
            .mapToLong(state -> state.startedAtMillis() + 1)
            .reduce(nowMillis, Math::max);
    }

    /** Returns the other live processes as of the last {@link #refresh}. */
    List<LiveProcess> others() {
        return others;
    }

    /** Returns whether another process serves as of the last {@link #refresh}. */
    boolean isAnotherServing() {
        return others.stream().anyMatch(LiveProcess::isServing);
    }

    /**
     * Returns whether a newer process serves and is not shutting down, as of the last {@link #refresh}. Any
     * thread may call it.
     */
    boolean isSuccessorServing() {
        return successorServing;
    }

    /** Returns the role of this process among the live ones as of the last {@link #refresh}. */
    UpgradeRole role() {
        if (others.isEmpty()) {
            return UpgradeRole.ALONE;
        }
        if (others.stream().noneMatch(other -> other.isNewerThan(startOrder))) {
            return UpgradeRole.NEWEST;
        }
        if (shuttingDown) {
            return UpgradeRole.SHUTTING_DOWN;
        }
        return successorServing ? UpgradeRole.SUCCESSOR_SERVING : UpgradeRole.SUCCESSOR_NOT_READY;
    }

    /** Marks this process as serving; the next {@link #publish} makes that visible to the others. */
    void beginServing() {
        servingSinceMillis = Math.max(startOrder.startedAtMillis(), System.currentTimeMillis());
    }

    /** Marks this process as shutting down; the next {@link #publish} makes that visible to the others. */
    void beginShutdown() {
        shuttingDown = true;
    }

    /** Acquires this process's lock unless it is already held. */
    void ensureJoined() throws InterruptedException {
        lock(directory, log);
    }

    /** Reads which other processes live and their states; keeps the previous values if that fails. */
    void refresh() throws IOException {
        List<Long> pidsBefore = pids();
        others = directory.readOtherProcesses();
        if (!pids().equals(pidsBefore)) {
            log.info("live processes changed", "others=" + pids());
        }
        successorServing = others.stream()
            .anyMatch(other -> other.canTakeOver() && other.isNewerThan(startOrder));
    }

    private List<Long> pids() {
        return others.stream().map(LiveProcess::pid).toList();
    }

    /** Publishes this process's state if it has changed; the next call retries a failed write. */
    void publish(int descriptors, Set<String> drainedEndpointHashes) {
        ProcessState state = new ProcessState(startOrder.startedAtMillis(), servingSinceMillis, shuttingDown,
            descriptors, drainedEndpointHashes);
        if (state.equals(lastPublished)) {
            return;
        }
        try {
            directory.writeState(state);
            lastPublished = state;
        } catch (IOException e) {
            log.warn("process state can't be published yet", "error=" + e);
        }
    }
}
