package spurroad.program.restart;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import spurroad.configuration.ProxyConfiguration;
import spurroad.transport.EventLog;

/**
 * Coordinates this process with others of the same proxy, with which it shares the listening socket and a
 * directory; see the package documentation.
 *
 * <p>Its thread polls the directory and runs the tasks of other threads. Before the thread starts, the thread
 * that starts the proxy calls {@link #descriptorLimit}, {@link #isAnotherServing} and finally
 * {@link #startServing}.
 */
public final class HotRestart implements Runnable {
    /** Reads and changes the state of this process that a hot restart affects. */
    public interface ProcessControl {
        /**
         * Drains an endpoint or returns it to use.
         *
         * @param knownElsewhere whether another process knows the endpoint, so that this one need not
         * @param onResult called on any thread with whether the endpoint exists; if not, nothing was changed
         */
        void setDrained(String endpointId, boolean drained, boolean knownElsewhere,
                        Consumer<Boolean> onResult);

        /** Returns how many descriptors this process holds for clients and endpoints. */
        int descriptorsInUse();

        /** Sets the limit of descriptors that this process may hold for clients and endpoints. */
        void setDescriptorLimit(int limit);
    }

    // interval while another process lives; short compared to the 1 s in which an operator's call is answered
    private static final long UPGRADE_POLL_MILLIS = 50;
    // interval while no other process lives; a new process needs longer than this to begin serving
    private static final long ALONE_POLL_MILLIS = 250;
    // attempts to read the drains before this process serves; 2 s of the 6 s that a start may take
    private static final int INITIAL_POLLS = 40;

    private final EventLog log;
    private final HotRestartDirectory directory;
    private final ProcessMembership membership;
    private final DescriptorQuota quota;
    private final AdminDrainStore drainStore;
    // size bounded by the number of concurrent calls by operators
    private final BlockingQueue<Runnable> events = new LinkedBlockingQueue<>();
    private ProcessControl process; // null until this process begins serving
    private boolean stopped;

    /**
     * Joins the processes that share a directory.
     *
     * @param totalDescriptors descriptors for clients and endpoints of a process without others
     * @param reservedPerProcess descriptors that each process holds for other purposes
     */
    HotRestart(Path sharedDirectory, long pid, int totalDescriptors, int reservedPerProcess, EventLog log)
        throws InterruptedException {
        this.log = log;
        directory = new HotRestartDirectory(sharedDirectory, pid, log);
        membership = ProcessMembership.join(directory, pid, log);
        quota = new DescriptorQuota(totalDescriptors, reservedPerProcess);
        drainStore = new AdminDrainStore(directory, this::setDrained, events::add, log);
        updateQuota();
        publish();
    }

    /**
     * Returns the hot restart of a proxy; null if no other process can share its listening socket.
     */
    public static HotRestart of(ProxyConfiguration configuration, EventLog log) throws InterruptedException {
        if (configuration.restartDirectory == null) {
            return null;
        }
        return new HotRestart(configuration.restartDirectory, ProcessHandle.current().pid(),
            configuration.connectionPermits, configuration.reservedDescriptors, log);
    }

    // ---- called by the thread that starts the proxy

    /** Returns how many descriptors this process may hold for clients and endpoints at its start. */
    public int descriptorLimit() {
        return quota.limit();
    }

    /** Returns whether another process is known to serve; must be called before the thread starts. */
    public boolean isAnotherServing() {
        return membership.isAnotherServing();
    }

    /**
     * Publishes that this process serves and applies the persisted drains before the process accepts
     * connections. From then on, operators' calls to other processes also wait for this one. The thread must
     * be started afterwards.
     */
    public void startServing(ProcessControl control) throws InterruptedException {
        process = control;
        membership.beginServing();
        publish();
        for (int i = 0; !pollDirectory() && i < INITIAL_POLLS; i++) {
            Thread.sleep(UPGRADE_POLL_MILLIS);
        }
        while (drainStore.isApplying()) {
            events.take().run();
        }
    }

    // ---- called by any thread

    /** Returns whether a newer process serves and is not shutting down. */
    public boolean isSuccessorServing() {
        return membership.isSuccessorServing();
    }

    /** Publishes that this process is shutting down. */
    public void startShutdown() {
        events.add(membership::beginShutdown);
    }

    /**
     * Applies an operator's call to drain an endpoint or to return it to use.
     *
     * @param onApplied called once this process has applied the call
     * @param answer receives false if there is no such endpoint, or true once all processes have applied the
     *     call
     */
    public void setAdminDrain(String endpointId, boolean drained, Runnable onApplied,
                              Consumer<Boolean> answer) {
        events.add(() -> drainStore.onAdminCall(endpointId, drained, onApplied, answer));
    }

    /** Ends the thread and releases the lock, as the exit of the process would; for tests. */
    void stop() {
        events.add(() -> stopped = true);
    }

    // ---- the thread of the hot restart

    @Override
    public void run() {
        try {
            while (!stopped) {
                runEvents();
                pollDirectory();
            }
            directory.close();
        } catch (IOException | InterruptedException e) {
            log.warn("hot restart thread stopped", "error=" + e);
        }
    }

    /** Waits for tasks of other threads until the next poll is due, and runs them. */
    private void runEvents() throws InterruptedException {
        Runnable first = events.poll(pollIntervalMillis(), TimeUnit.MILLISECONDS);
        for (Runnable event = first; event != null; event = events.poll()) {
            event.run();
        }
    }

    private long pollIntervalMillis() {
        boolean isIdle = membership.role() == UpgradeRole.ALONE && !drainStore.hasUnconfirmedCalls()
            && !drainStore.isApplying();
        return isIdle ? ALONE_POLL_MILLIS : UPGRADE_POLL_MILLIS;
    }

    /** Returns whether the directory could be read; the next poll retries failed operations. */
    private boolean pollDirectory() throws InterruptedException {
        membership.ensureJoined();
        try {
            membership.refresh();
            updateQuota();
            process.setDescriptorLimit(quota.limit());
            drainStore.persistCalls();
            drainStore.applyPersisted();
            publish();
            drainStore.answerConfirmedCalls(membership.others());
            return true;
        } catch (IOException e) {
            log.warn(HotRestartDirectory.UNAVAILABLE, "error=" + e);
            return false;
        }
    }

    private void updateQuota() {
        quota.update(membership.role(), membership.others(), descriptorsInUse());
    }

    private void publish() {
        membership.publish(quota.claimed(descriptorsInUse()), drainStore.drainedHashes());
    }

    private int descriptorsInUse() {
        return process == null ? 0 : process.descriptorsInUse();
    }

    private void setDrained(String endpointId, boolean drained, boolean knownElsewhere,
                            Consumer<Boolean> onResult) {
        process.setDrained(endpointId, drained, knownElsewhere, onResult);
    }
}
