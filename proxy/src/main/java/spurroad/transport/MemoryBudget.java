package spurroad.transport;

/**
 * Bounds the bytes that all requests under way may use together. What is reserved is released once. Safe for
 * use by several threads.
 */
public final class MemoryBudget {
    private static final int UNIT_BYTES = 1024; // reservations are rounded up to these

    private final ResizableSemaphore units;
    private final int totalUnits;

    /** Bounds them to so many bytes. */
    public MemoryBudget(long bytes) {
        totalUnits = (int) Math.min(Integer.MAX_VALUE, bytes / UNIT_BYTES);
        units = new ResizableSemaphore(totalUnits);
    }

    /** Returns the fraction that is reserved; over 1 if it is overdrawn. */
    public double usedFraction() {
        return 1 - (double) units.availablePermits() / Math.max(1, totalUnits);
    }

    /** Reserves bytes if there are enough. */
    public boolean tryReserve(long bytes) {
        return units.tryAcquire(toUnits(bytes));
    }

    /** Reserves bytes even if there are too few; then nothing else is reserved until they are released. */
    public void forceReserve(long bytes) {
        units.forceAcquire(toUnits(bytes));
    }

    /** Returns whether more is reserved than there is. */
    public boolean isOverdrawn() {
        return units.availablePermits() < 0;
    }

    /** Releases bytes that were reserved. */
    public void release(long bytes) {
        units.release(toUnits(bytes));
    }

    private static int toUnits(long bytes) {
        return (int) ((bytes + UNIT_BYTES - 1) / UNIT_BYTES);
    }
}
