package spurroad.transport;

import java.util.concurrent.Semaphore;

/**
 * Divides the process's socket descriptors among clients, nodes and discovery. A permit is taken before a
 * socket is opened and released after it is closed.
 *
 * <p>Neither clients nor nodes can take all: each side has a maximum below the total, which leaves the rest
 * to the other side; what lies between goes to the first that asks. Safe for use by several threads.
 */
public final class DescriptorBudget {
    private static final double MAX_CLIENT_FRACTION = 2 / 3.0; // many clients are idle
    private static final double MAX_ENDPOINT_FRACTION = 1 / 2.0; // a client seldom has two attempts under way
    private static final int DISCOVERY_RESERVE = 2; // a watch, and the next one while that closes
    private static final int OVERFLOW_RESERVE = 8; // clients that are answered and closed at once
    private static final int MIN_UNRESERVED = 2;

    private final ResizableSemaphore total;
    private final ResizableSemaphore clients;
    private final ResizableSemaphore endpoints;
    private final Semaphore overflow = new Semaphore(OVERFLOW_RESERVE);

    /** Divides so many descriptors, the reserves among them. */
    public DescriptorBudget(int descriptors) {
        int unreserved = descriptors - DISCOVERY_RESERVE - OVERFLOW_RESERVE;
        total = new ResizableSemaphore(unreserved);
        clients = new ResizableSemaphore(fractionOf(unreserved, MAX_CLIENT_FRACTION));
        endpoints = new ResizableSemaphore(fractionOf(unreserved, MAX_ENDPOINT_FRACTION));
    }

    private static int fractionOf(int unreserved, double fraction) {
        return Math.max(1, (int) (unreserved * fraction));
    }

    /** Changes the number of descriptors; if more are in use, none is given out until enough are released. */
    public void resize(int descriptors) {
        int unreserved = Math.max(MIN_UNRESERVED, descriptors - DISCOVERY_RESERVE - OVERFLOW_RESERVE);
        total.resize(unreserved);
        clients.resize(fractionOf(unreserved, MAX_CLIENT_FRACTION));
        endpoints.resize(fractionOf(unreserved, MAX_ENDPOINT_FRACTION));
    }

    /** Returns how many are in use, the reserves always included. */
    public int inUse() {
        return total.inUse() + DISCOVERY_RESERVE + OVERFLOW_RESERVE;
    }

    /** Returns the permits for clients, as a listener takes them. */
    public Listener.ConnectionPermits clientPermits() {
        return new Listener.ConnectionPermits() {
            @Override
            public boolean tryAcquire() {
                return tryAcquireForClient();
            }

            @Override
            public boolean tryAcquireOverflow() {
                return overflow.tryAcquire();
            }

            @Override
            public void release(boolean isOverflow) {
                if (isOverflow) {
                    overflow.release();
                } else {
                    releaseFromClient();
                }
            }
        };
    }

    /** Takes a permit for a client's connection, if there is one. */
    public boolean tryAcquireForClient() {
        return tryAcquire(clients);
    }

    /** Takes a permit for a connection to a node, if there is one. */
    public boolean tryAcquireForEndpoint() {
        return tryAcquire(endpoints);
    }

    private boolean tryAcquire(ResizableSemaphore group) {
        if (!group.tryAcquire()) {
            return false;
        }
        if (!total.tryAcquire()) {
            group.release();
            return false;
        }
        return true;
    }

    /** Releases a client's permit. */
    public void releaseFromClient() {
        total.release();
        clients.release();
    }

    /** Releases the permit of a connection to a node. */
    public void releaseFromEndpoint() {
        total.release();
        endpoints.release();
    }

    /** Returns how many more clients may connect. */
    public int availableForClients() {
        return Math.min(total.availablePermits(), clients.availablePermits());
    }

    /** Returns how many more connections to nodes may be opened. */
    public int availableForEndpoints() {
        return Math.min(total.availablePermits(), endpoints.availablePermits());
    }
}
