package spurroad.transport;

import java.util.concurrent.Semaphore;

/**
 * Divides the process's socket descriptors among clients, endpoints and discovery. A permit is taken before a
 * socket is opened and released after it is closed.
 *
 * <p>Neither clients nor endpoints can take all descriptors: each group has a maximum below the total, which
 * leaves the rest to the other group. Descriptors that both groups may use go to the first that asks.
 * Thread-safe.
 */
public final class DescriptorBudget {
    private static final double MAX_CLIENT_FRACTION = 2 / 3.0; // many client connections are idle
    private static final double MAX_ENDPOINT_FRACTION = 1 / 2.0; // a client rarely has two attempts in flight
    private static final int DISCOVERY_RESERVE = 2; // a watch that is closing and its successor
    private static final int OVERFLOW_RESERVE = 8; // clients that are answered and closed immediately
    private static final int MIN_UNRESERVED_DESCRIPTORS = 2;

    private final ResizableSemaphore total;
    private final ResizableSemaphore clients;
    private final ResizableSemaphore endpoints;
    private final Semaphore overflow = new Semaphore(OVERFLOW_RESERVE);

    /** Creates a budget for a number of descriptors, which includes the reserves. */
    public DescriptorBudget(int descriptors) {
        int unreserved = descriptors - DISCOVERY_RESERVE - OVERFLOW_RESERVE;
        total = new ResizableSemaphore(unreserved);
        clients = new ResizableSemaphore(fractionOf(unreserved, MAX_CLIENT_FRACTION));
        endpoints = new ResizableSemaphore(fractionOf(unreserved, MAX_ENDPOINT_FRACTION));
    }

    private static int fractionOf(int unreserved, double fraction) {
        return Math.max(1, (int) (unreserved * fraction));
    }

    /** Changes the number of descriptors. If more are in use, none is granted until enough are released. */
    public void resize(int descriptors) {
        int unreserved = Math.max(MIN_UNRESERVED_DESCRIPTORS,
            descriptors - DISCOVERY_RESERVE - OVERFLOW_RESERVE);
        total.resize(unreserved);
        clients.resize(fractionOf(unreserved, MAX_CLIENT_FRACTION));
        endpoints.resize(fractionOf(unreserved, MAX_ENDPOINT_FRACTION));
    }

    /** Returns how many descriptors are in use, always including the reserves. */
    public int inUse() {
        return total.inUse() + DISCOVERY_RESERVE + OVERFLOW_RESERVE;
    }

    /** Returns the permits for client connections, for use by a {@link Listener}. */
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

    /** Takes a permit for a client connection. Returns false if none is available. */
    public boolean tryAcquireForClient() {
        return tryAcquire(clients);
    }

    /** Takes a permit for a connection to an endpoint. Returns false if none is available. */
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

    /** Releases the permit of a client connection. */
    public void releaseFromClient() {
        total.release();
        clients.release();
    }

    /** Releases the permit of a connection to an endpoint. */
    public void releaseFromEndpoint() {
        total.release();
        endpoints.release();
    }

    /** Returns how many more client connections may be opened; zero or less if none. */
    public int availableForClients() {
        return Math.min(total.availablePermits(), clients.availablePermits());
    }

    /** Returns how many more connections to endpoints may be opened; zero or less if none. */
    public int availableForEndpoints() {
        return Math.min(total.availablePermits(), endpoints.availablePermits());
    }
}
