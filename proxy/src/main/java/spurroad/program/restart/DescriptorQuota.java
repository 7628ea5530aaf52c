package spurroad.program.restart;

import java.util.List;

/**
 * Divides the descriptors for clients and endpoints between the processes that share the directory, as the
 * operating system's limit applies to all of them together.
 *
 * <p>An older process may hold most descriptors while its successor starts, half of them once the successor
 * serves, and few more than it uses once it shuts down. The newest process takes the descriptors that the
 * others do not claim. A process that uses more than its limit publishes the number in use, and opens no
 * further descriptor until it is below the limit.
 */
final class DescriptorQuota {
    // descriptors beyond those in use, for connections that open before the next poll
    private static final int SHUTDOWN_HEADROOM = 16;
    // fraction of the available descriptors; the older process still receives all requests
    private static final double SUCCESSOR_NOT_READY_FRACTION = 0.75;
    private static final int SUCCESSOR_SERVING_DIVISOR = 2;
    private static final int MIN_DESCRIPTORS = 24; // a process with fewer could serve no client

    private final int totalDescriptors;
    private final int reservedPerProcess;
    private int limit;

    /**
     * Creates a quota for a process without others.
     *
     * @param totalDescriptors descriptors for clients and endpoints of a process without others
     * @param reservedPerProcess descriptors that each process holds for other purposes
     */
    DescriptorQuota(int totalDescriptors, int reservedPerProcess) {
        this.totalDescriptors = totalDescriptors;
        this.reservedPerProcess = reservedPerProcess;
        limit = totalDescriptors;
    }

    /** Returns how many descriptors this process may hold as of the last {@link #update}. */
    int limit() {
        return limit;
    }

    /** Returns how many descriptors this process claims: its limit, or those in use if they are more. */
    int claimed(int inUse) {
        return Math.max(limit, inUse);
    }

    /**
     * Recalculates the limit.
     *
     * @param others the other live processes
     * @param inUse descriptors that this process holds
     */
    void update(UpgradeRole role, List<LiveProcess> others, int inUse) {
        int available = totalDescriptors - others.size() * reservedPerProcess;
        int limitBeforeSuccessorIsReady = (int) (SUCCESSOR_NOT_READY_FRACTION * available);
        limit = switch (role) {
            case ALONE -> totalDescriptors;
            case NEWEST -> clamp(available - claimedBy(others), available);
            case SUCCESSOR_NOT_READY -> clamp(limitBeforeSuccessorIsReady, available);
            case SUCCESSOR_SERVING -> clamp(available / SUCCESSOR_SERVING_DIVISOR, available);
            case SHUTTING_DOWN ->
                clamp(Math.min(limitBeforeSuccessorIsReady, inUse + SHUTDOWN_HEADROOM), available);
        };
    }

    private static int claimedBy(List<LiveProcess> others) {
        return others.stream().mapToInt(LiveProcess::descriptors).sum();
    }

    /** Reserves the minimum for this process and, if possible, for one other. */
    private static int clamp(int wanted, int available) {
        return Math.max(MIN_DESCRIPTORS, Math.min(wanted, available - MIN_DESCRIPTORS));
    }
}
