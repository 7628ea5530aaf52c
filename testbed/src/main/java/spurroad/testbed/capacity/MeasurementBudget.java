package spurroad.testbed.capacity;

/** How many runs and how much processor time a measurement may take. */
public enum MeasurementBudget {
    /** Small sizes, one run, little processor time: shows shapes and bounds, for continuous integration. */
    SHORT(1, 2_000_000L),
    /** All sizes, three runs: the figures of the capacity page. */
    FULL(3, 40_000_000L);

    private final int runs;
    private final long minCpuNanos;

    MeasurementBudget(int runs, long minCpuNanos) {
        this.runs = runs;
        this.minCpuNanos = minCpuNanos;
    }

    /** Returns how often each size is measured. */
    public int runs() {
        return runs;
    }

    /**
     * Returns the processor time, in nanoseconds, that a repeated call takes at least until its mean is used.
     */
    public long minCpuNanos() {
        return minCpuNanos;
    }
}
