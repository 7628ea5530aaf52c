package spurroad.testbed.capacity;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * Measures processor time and memory of the calling thread. Garbage collection and compilation run on threads
 * of their own and are not included, so allocated bytes are measured beside the time.
 */
final class Meter {
    private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    private static final int MAX_CALLS = 2_000_000; // of one measurement, which bounds its wall time
    // the serial collector leaves some garbage in place except for each fourth time
    private static final int COLLECTIONS = 4;
    private static final int MAX_BATCH = 1_024; // calls between two readings of the clock

    private Meter() {}

    /**
     * What some work cost.
     *
     * @param cpuNanos processor time in nanoseconds
     * @param bytes allocated
     */
    record Cost(double cpuNanos, double bytes) {
        Cost each(double count) {
            return new Cost(cpuNanos / count, bytes / count);
        }

        double cpuMicros() {
            return cpuNanos / 1e3;
        }

        double cpuMillis() {
            return cpuNanos / 1e6;
        }

        double kilobytes() {
            return bytes / 1e3;
        }
    }

    /** Returns what some work costs that is done once. */
    static Cost once(Runnable work) {
        long bytes = THREADS.getCurrentThreadAllocatedBytes();
        long cpu = THREADS.getCurrentThreadCpuTime();
        work.run();
        return new Cost(THREADS.getCurrentThreadCpuTime() - cpu,
            THREADS.getCurrentThreadAllocatedBytes() - bytes);
    }

    /**
     * Returns the mean cost of a call, over as many as the budget asks for, after half as many to warm up.
     */
    static Cost perCall(MeasurementBudget budget, Runnable call) {
        repeat(budget.minCpuNanos() / 2, call);
        return repeat(budget.minCpuNanos(), call);
    }

    private static Cost repeat(long minCpuNanos, Runnable call) {
        long bytes = THREADS.getCurrentThreadAllocatedBytes();
        long cpu = THREADS.getCurrentThreadCpuTime();
        long spent = 0;
        int calls = 0;
        for (int batch = 1; spent < minCpuNanos
            && calls < MAX_CALLS; batch = Math.min(MAX_BATCH, 2 * batch)) {
            for (int i = 0; i < batch; i++) {
                call.run();
            }
            calls += batch;
            spent = THREADS.getCurrentThreadCpuTime() - cpu;
        }
        return new Cost(spent, THREADS.getCurrentThreadAllocatedBytes() - bytes).each(calls);
    }

    /**
     * Some value and the heap that it retains.
     *
     * @param value one of the copies
     * @param bytes retained by each copy
     */
    record Retained<T>(T value, double bytes) {
        double kilobytes() {
            return bytes / 1e3;
        }
    }

    /**
     * Returns the heap that a value retains, as the mean of several copies: a small object retains less than
     * what the virtual machine itself allocates meanwhile.
     */
    static <T> Retained<T> retain(int copies, Supplier<T> factory) {
        // not counted, as it sets up what all copies share, such as caches of libraries
        T unused = factory.get();
        List<T> retained = new ArrayList<>(copies);
        long before = usedBytes();
        for (int i = 0; i < copies; i++) {
            retained.add(factory.get());
        }
        long after = usedBytes();
        return new Retained<>(retained.get(0), Math.max(0, (double) (after - before) / copies));
    }

    private static long usedBytes() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
