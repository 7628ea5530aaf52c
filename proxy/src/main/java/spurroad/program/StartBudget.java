package spurroad.program;

import java.util.function.LongSupplier;

/**
 * How long the steps of a start may take, counted from the first moment of the program: whoever restarts
 * proxies expects nine in ten of them to serve within 6 s, also those on a tenth of a core, which need a
 * second before that moment.
 */
final class StartBudget {
    private static final long NS_PER_MS = 1_000_000L;
    private static final long REHEARSED_NS = 3_000_000_000L; // ns; a process so slow is better cold than late
    private static final long LISTED_NS = 4_000_000_000L; // ns; what pushes lists may be silent
    private static final long LEAST_REHEARSAL_NS = 500_000_000L; // ns; where what came before took all of it
    // ns; a list that is pushed comes within milliseconds
    private static final long LEAST_LIST_NS = 500_000_000L;
    private static final long MOST_LIST_NS = 3_000_000_000L; // ns; waiting longer serves nobody

    private final LongSupplier nanoTime;
    private final long beganAt;

    /** One that begins now. */
    StartBudget() {
        this(System::nanoTime);
    }

    /** One that begins now, by a clock that tells nanoseconds. */
    StartBudget(LongSupplier nanoTime) {
        this.nanoTime = nanoTime;
        beganAt = nanoTime.getAsLong();
    }

    /** How long requests may be played from now on, in milliseconds. */
    long rehearsalMs() {
        return Math.max(LEAST_REHEARSAL_NS, REHEARSED_NS - passed()) / NS_PER_MS;
    }

    /** How long the first pushed list may be waited for from now on, in nanoseconds. */
    long firstListNs() {
        return Math.min(MOST_LIST_NS, Math.max(LEAST_LIST_NS, LISTED_NS - passed()));
    }

    private long passed() {
        return nanoTime.getAsLong() - beganAt;
    }
}
