package spurroad.transport;

import java.util.concurrent.Semaphore;

/**
 * A semaphore whose number of permits can be changed, and whose available permits can be negative: then none
 * is given out until the debt is released.
 */
final class ResizableSemaphore extends Semaphore {
    private static final long serialVersionUID = 1L;

    private int total;

    ResizableSemaphore(int permits) {
        super(permits);
        total = permits;
    }

    /** Takes permits even if there are none. */
    void forceAcquire(int permits) {
        reducePermits(permits);
    }

    /** Changes how many permits there are in all, those in use included. */
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
