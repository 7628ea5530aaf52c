package spurroad.testbed.model;

/**
 * Decides when a cache node that is warming up is overloaded: when it rejects more executions within a window
 * than it has space to queue.
 */
final class ColdOverload {
    private static final long WINDOW_NANOS = 1_000_000_000L;
    private static final int MIN_REJECTION_LIMIT = 16;

    private final int rejectionLimit;
    private long windowStartNanos;
    private int rejections;

    ColdOverload(int queueLength) {
        rejectionLimit = Math.max(MIN_REJECTION_LIMIT, queueLength);
    }

    /** Counts a rejection; returns true, and starts to count anew, if the node is overloaded by it. */
    boolean onRejection(long nowNanos) {
        if (nowNanos - windowStartNanos > WINDOW_NANOS) {
            windowStartNanos = nowNanos;
            rejections = 0;
        }
        rejections++;
        if (rejections <= rejectionLimit) {
            return false;
        }
        rejections = 0;
        return true;
    }
}
