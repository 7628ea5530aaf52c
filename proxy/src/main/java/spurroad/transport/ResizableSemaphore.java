package spurroad.transport;

import java.util.concurrent.Semaphore;

/**
 * A semaphore whose total number of permits can be changed. The number of available permits can become
 * negative; no permit is granted then until enough are released.
 */
final class ResizableSemaphore extends Semaphore {
    private static final long serialVersionUID = 1L;

    private int total;

    ResizableSemaphore(int permits) {
        super(permits);
        total = permits;
    }

    /** Takes permits even if too few are available. */
    void forceAcquire(int permits) {
        reducePermits(permits);
    }

    /** Changes the total number of permits, which includes those in use. */
    synchronized void resize(int permits) {
        if (permits < total) {
            reducePermits(total - permits);
        } else {
            release(permits - total);
        }
        total = permits;
    }

    /** Returns how many permits are in use. */
    synchronized int inUse() {
        return total - availablePermits();
    }
}
