package spurroad.testbed.capacity;

import java.util.List;

/**
 * The numbers of cache nodes at which roles that know nodes are measured: up to the fleet planned for, and
 * twice that.
 */
final class NodeCounts {
    private static final List<Integer> SHORT = List.of(16, 64, 256, 512, 1_024);
    private static final List<Integer> FULL = List.of(16, 64, 256, 1_024, 4_096, 6_800, 13_600);

    private NodeCounts() {}

    static List<Integer> of(MeasurementBudget budget) {
        return budget == MeasurementBudget.FULL ? FULL : SHORT;
    }

    /** How many alike are made to see what one of so many nodes keeps in use. */
    static int copies(int nodes) {
        return Math.max(1, 2_048 / nodes);
    }
}
