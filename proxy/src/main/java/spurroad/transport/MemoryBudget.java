package spurroad.transport;

/**
 * Limits the memory that all requests in flight may use together. Each reservation is to be released once.
 * Thread-safe.
 */
public final class MemoryBudget {
    private static final int UNIT_BYTES = 1024; // reservations are rounded up to multiples of it

    private final ResizableSemaphore units;
    private volatile int totalUnits;

    /** Creates a budget of a number of bytes. */
    public MemoryBudget(long bytes) {
        totalUnits = wholeUnits(bytes);
        units = new ResizableSemaphore(totalUnits);
    }

    private static int wholeUnits(long bytes) {
        return (int) Math.min(Integer.MAX_VALUE, bytes / UNIT_BYTES);
    }

    /**
     * Changes the number of bytes. If more are reserved, no reservation succeeds until enough are released.
     */
    public void resize(long bytes) {
        totalUnits = wholeUnits(bytes);
        units.resize(totalUnits);
    }

    /** Returns the fraction of the budget that is reserved; over 1 if it is overdrawn. */
    public double usedFraction() {
        return 1 - (double) units.availablePermits() / Math.max(1, totalUnits);
    }

    /** Reserves bytes if enough are left. Returns whether they are reserved. */
    public boolean tryReserve(long bytes) {
        return units.tryAcquire(toUnits(bytes));
    }

    /**
     * Reserves bytes even if too few are left; then no other reservation succeeds until enough bytes are
     * released.
     */
    public void forceReserve(long bytes) {
        units.forceAcquire(toUnits(bytes));
    }

    /** Returns whether more bytes are reserved than the budget has. */
    public boolean isOverdrawn() {
        return units.availablePermits() < 0;
    }

    /** Releases the bytes of a reservation. */
    public void release(long bytes) {
        units.release(toUnits(bytes));
    }

    private static int toUnits(long bytes) {
        return (int) ((bytes + UNIT_BYTES - 1) / UNIT_BYTES);
    }
}
