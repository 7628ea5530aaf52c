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
 * This process beside others of the same proxy, with which it shares the listening socket and a directory;
 * see the package's comment.
 *
 * <p>Its thread polls the directory and runs the tasks of other threads. Before the thread starts, the thread
 * that starts the proxy calls {@link #descriptorLimit}, {@link #isAnotherServing} and at last
 * {@link #startServing}.
 */
public final class HotRestart implements Runnable {
    /** What a hot restart changes in this process. */
    public interface ProcessControl {
        /**
         * Drains an endpoint or uses it again.
         *
         * @param vouched whether another process knew the endpoint, so that this one needn't
         * @param known is told, on any thread, whether there is such an endpoint; if not, nothing was done
         */
        void setDrained(String endpointId, boolean drained, boolean vouched, Consumer<Boolean> known);

        /** How many descriptors of clients and endpoints are open in this process. */
        int descriptorsInUse();

        /** Limits the descriptors for clients and endpoints that this process may hold from now on. */
        void setDescriptorLimit(int limit);
    }

    // between polls while another process lives: short beside the 1 s in which an operator's call is answered
    private static final long UPGRADE_POLL_MILLIS = 50;
    // between polls while no other process lives: a new one takes longer to begin to serve
    private static final long ALONE_POLL_MILLIS = 250;
    // polls until drains are read before this process serves: 2 s of the 6 s that a start may take
    private static final int INITIAL_POLLS = 40;

    private final EventLog log;
    private final HotRestartDirectory directory;
    private final ProcessMembership membership;
    private final DescriptorQuota quota;
    private final AdminDrainStore drains;
    // bounded by the operators' calls that are made at a time
    private final BlockingQueue<Runnable> events = new LinkedBlockingQueue<>();
    private ProcessControl process; // null until this process serves
    private boolean stopped;

    /**
     * Joins the processes that share a directory.
     *
     * @param totalDescriptors descriptors for clients and endpoints of a process that is alone
     * @param reservedPerProcess descriptors that each process holds besides
     */
    HotRestart(Path sharedDirectory, long pid, int totalDescriptors, int reservedPerProcess, EventLog log)
        throws InterruptedException {
        this.log = log;
        directory = new HotRestartDirectory(sharedDirectory, pid, log);
        membership = ProcessMembership.join(directory, pid, log);
        quota = new DescriptorQuota(totalDescriptors, reservedPerProcess);
        drains = new AdminDrainStore(directory, this::setDrained, events::add, log);
        updateQuota();
        publish();
    }

    /**
     * The hot restart of a proxy; null where its listening socket is its own, so no other process shares it.
     */
    public static HotRestart of(ProxyConfiguration configuration, EventLog log) throws InterruptedException {
        if (configuration.restartDirectory == null) {
            return null;
        }
        return new HotRestart(configuration.restartDirectory, ProcessHandle.current().pid(),
            configuration.connectionPermits, configuration.reservedDescriptors, log);
    }

    // ---- called by the thread that starts the proxy

    /** How many descriptors this process may hold for clients and endpoints at its start. */
    public int descriptorLimit() {
        return quota.limit();
    }

    /** Whether another process serves now, as far as is known; to be asked before the thread starts. */
    public boolean isAnotherServing() {
        return membership.isAnotherServing();
    }

    /**
     * Publishes that this process serves and applies the drains that operators asked for, before the process
     * accepts connections. Calls that operators make at other processes from then on wait for this one too.
     * The thread has to be started afterwards.
     */
    public void startServing(ProcessControl control) throws InterruptedException {
        process = control;
        membership.beginServing();
        publish();
        for (int i = 0; !pollDirectory() && i < INITIAL_POLLS; i++) {
            Thread.sleep(UPGRADE_POLL_MILLIS);
        }
        while (drains.isApplying()) {
            events.take().run();
        }
    }

    // ---- called by any thread

    /** Whether a newer process serves and does not shut down. */
    public boolean isSuccessorServing() {
        return membership.isSuccessorServing();
    }

    /** Publishes that this process shuts down. */
    public void startShutdown() {
        events.add(membership::beginShutdown);
    }

    /**
     * Applies an operator's call to drain an endpoint or to use it again.
     *
     * @param onApplied called once this process has applied the call
     * @param answer false if there is no such endpoint; true once all processes have applied the call
     */
    public void setAdminDrain(String endpointId, boolean drained, Runnable onApplied,
                              Consumer<Boolean> answer) {
        events.add(() -> drains.onAdminCall(endpointId, drained, onApplied, answer));
    }

    /** Ends the thread and releases the lock, as the end of the process would; for tests. */
    void stop() {
        events.add(() -> stopped = true);
    }

    // ---- the thread

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

    /** Runs what other threads asked for, or waits for the next poll. */
    private void runEvents() throws InterruptedException {
        Runnable first = events.poll(pollIntervalMillis(), TimeUnit.MILLISECONDS);
        for (Runnable event = first; event != null; event = events.poll()) {
            event.run();
        }
    }

    private long pollIntervalMillis() {
        boolean waitsForNobody = membership.role() == UpgradeRole.ALONE && !drains.hasUnconfirmedCalls()
            && !drains.isApplying();
        return waitsForNobody ? ALONE_POLL_MILLIS : UPGRADE_POLL_MILLIS;
    }

    /** Whether the directory could be read; what failed is tried again by the next poll. */
    private boolean pollDirectory() throws InterruptedException {
        membership.ensureJoined();
        try {
            membership.refresh();
            updateQuota();
            process.setDescriptorLimit(quota.limit());
            drains.persistCalls();
            drains.applyPersisted();
            publish();
            drains.answerConfirmedCalls(membership.others());
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
        membership.publish(quota.claimed(descriptorsInUse()), drains.drainedHashes());
    }

    private int descriptorsInUse() {
        return process == null ? 0 : process.descriptorsInUse();
    }

    private void setDrained(String endpointId, boolean drained, boolean vouched, Consumer<Boolean> known) {
        process.setDrained(endpointId, drained, vouched, known);
    }
}
