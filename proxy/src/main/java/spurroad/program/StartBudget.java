package spurroad.program;

import java.util.function.LongSupplier;

/**
 * Time limits for the steps of the start, counted from the entry of the program. Platforms expect nine in ten
 * restarted proxies to serve within 6 s, also on a tenth of a core, on which the virtual machine needs a
 * second to reach that entry.
 */
final class StartBudget {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    // ns; a process that is still cold then serves cold rather than start late
    private static final long WARM_UP_DEADLINE_NANOS = 3_000_000_000L;
    // ns; the wait for the first list ends here, as discovery may not respond
    private static final long FIRST_LIST_DEADLINE_NANOS = 4_000_000_000L;
    // ns; granted even if the earlier steps used up the budget
    private static final long MIN_WARM_UP_NANOS = 500_000_000L;
    // ns; a pushed list arrives within milliseconds
    private static final long MIN_FIRST_LIST_NANOS = 500_000_000L;
    // ns; the proxy serves no clients during the wait
    private static final long MAX_FIRST_LIST_NANOS = 3_000_000_000L;

    private final LongSupplier nanoTime;
    private final long startedAt;

    /** Starts a budget now. */
    StartBudget() {
        this(System::nanoTime);
    }

    /** Starts a budget now, measured with the given clock in nanoseconds. */
    StartBudget(LongSupplier nanoTime) {
        this.nanoTime = nanoTime;
        startedAt = nanoTime.getAsLong();
    }

    /** Returns how long the warm-up may take from now on, in milliseconds. */
    long warmUpMillis() {
        return Math.max(MIN_WARM_UP_NANOS, WARM_UP_DEADLINE_NANOS - elapsedNanos()) / NANOS_PER_MILLI;
    }

    /** Returns the limit for the wait for the first pushed list from now on, in nanoseconds. */
    long firstListNanos() {
        return Math.min(MAX_FIRST_LIST_NANOS,
            Math.max(MIN_FIRST_LIST_NANOS, FIRST_LIST_DEADLINE_NANOS - elapsedNanos()));
    }

    private long elapsedNanos() {
        return nanoTime.getAsLong() - startedAt;
    }
}
