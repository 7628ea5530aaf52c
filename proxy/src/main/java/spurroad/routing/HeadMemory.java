package spurroad.routing;

import spurroad.transport.MemoryBudget;

/**
 * Memory reserved for input of an endpoint's connection that is neither parsed nor part of a value: mostly
 * the head of a reply. Used on the event loop only.
 */
final class HeadMemory {
    private final MemoryBudget budget;
    private final int unreservedBytes;
    private long reservedBytes;

    /** Creates an empty reservation; the given number of bytes needs none. */
    HeadMemory(MemoryBudget budget, int unreservedBytes) {
        this.budget = budget;
        this.unreservedBytes = unreservedBytes;
    }

    /** Reserves what a number of held bytes needs, and releases the rest; returns whether that succeeded. */
    boolean reserve(int heldBytes) {
        int neededBytes = Math.max(0, heldBytes - unreservedBytes);
        if (neededBytes == reservedBytes) {
            return true;
        }
        release();
        if (!budget.tryReserve(neededBytes)) {
            return false;
        }
        reservedBytes = neededBytes;
        return true;
    }

    /** Releases all that is reserved; does nothing the second time. */
    void release() {
        budget.release(reservedBytes);
        reservedBytes = 0;
    }
}
