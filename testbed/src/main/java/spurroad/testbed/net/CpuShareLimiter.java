package spurroad.testbed.net;

import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Limits a process to a fraction of a core, by stopping and continuing it: a token bucket of processor time
 * is filled at the rate of the fraction, and the process is stopped while the bucket is overdrawn. Runs on a
 * daemon thread of its own while there is a limit.
 */
final class CpuShareLimiter {
    private static final long CHECK_INTERVAL_MS = 10;
    /** Unused processor time that the process may use later. */
    private static final double MAX_CREDIT_SECONDS = 0.02;
    private static final double NANOS_PER_SECOND = 1e9;

    private final String name;
    private final Supplier<Process> process;
    private final BooleanSupplier isStoppedByFault;
    private final Signals signals;
    private volatile double share = 1;

    /**
     * Creates a limiter without a limit.
     *
     * @param process the process to limit at the moment
     * @param isStoppedByFault whether the process is stopped for another reason, so that no signals are sent
     */
    CpuShareLimiter(String name, Supplier<Process> process, BooleanSupplier isStoppedByFault,
                    Signals signals) {
        this.name = name;
        this.process = process;
        this.isStoppedByFault = isStoppedByFault;
        this.signals = signals;
    }

    /** Sets the fraction of a core; 1 for no limit. Without a limit, the thread continues the process. */
    void limit(double newShare) {
        boolean wasLimited = share < 1;
        share = newShare;
        if (newShare < 1 && !wasLimited) {
            Thread thread = new Thread(this::enforce, "share of " + name);
            thread.setDaemon(true);
            thread.start();
        }
    }

    private void enforce() {
        long checkedAtNanos = System.nanoTime();
        double usedSeconds = ProcessUsage.cpuSeconds(process.get().pid());
        double creditSeconds = 0;
        boolean stopped = false;
        while (share < 1 && process.get().isAlive()) {
            try {
                Thread.sleep(CHECK_INTERVAL_MS);
            } catch (InterruptedException e) {
                break;
            }
            long now = System.nanoTime();
            double usedNow = ProcessUsage.cpuSeconds(process.get().pid());
            double earnedSeconds = (now - checkedAtNanos) / NANOS_PER_SECOND * share;
            creditSeconds = Math.min(MAX_CREDIT_SECONDS,
                creditSeconds + earnedSeconds - (usedNow - usedSeconds));
            checkedAtNanos = now;
            usedSeconds = usedNow;
            boolean overdrawn = creditSeconds < 0;
            if (stopped != overdrawn && !isStoppedByFault.getAsBoolean()) {
                stopped = overdrawn;
                signals.send(stopped ? Signals.STOP : Signals.CONTINUE, process.get());
            }
        }
        if (stopped && !isStoppedByFault.getAsBoolean()) {
            signals.send(Signals.CONTINUE, process.get());
        }
    }
}
