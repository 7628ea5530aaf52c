package spurroad.testbed.soak;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * Counts the violations of each invariant, and keeps the first ones. Guarded by the lock of the
 * {@link InvariantChecker}.
 */
final class InvariantViolations {
    private static final int MAX_RECORDED = 200;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final long runStartNanos;
    private final List<Violation> recorded = new ArrayList<>();
    private final Map<Invariant, Integer> counts = new EnumMap<>(Invariant.class);

    InvariantViolations(long runStartNanos) {
        this.runStartNanos = runStartNanos;
    }

    void add(Invariant invariant, String description) {
        counts.merge(invariant, 1, Integer::sum);
        if (recorded.size() < MAX_RECORDED) {
            long millis = (System.nanoTime() - runStartNanos) / NANOS_PER_MILLI;
            recorded.add(new Violation(invariant, millis, description));
        }
    }

    Map<Invariant, Integer> counts() {
        return Map.copyOf(counts);
    }

    List<Violation> recorded() {
        return List.copyOf(recorded);
    }
}
