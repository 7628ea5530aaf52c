package spurroad.transport;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/** The one count of open sockets. Whoever opens one takes a place first and gives it back once it is closed. */
public final class Descriptors {
    private static final int NODES_SHARE = 3; // one part in so many is for nodes: a hundred at once were the most seen
    private static final int LIST = 2; // descriptors; a watch, and the next one while that closes

    private final Semaphore clients;
    private final Semaphore nodes;

    /** Clients get most: one that waits has one execution out at a time, and none while it waits for the origin. */
    public Descriptors(int places) {
        int free = places - LIST;
        nodes = new Semaphore(free / NODES_SHARE);
        clients = new Semaphore(free - free / NODES_SHARE);
    }

    public boolean takeForClient(long waitNs) throws InterruptedException {
        return clients.tryAcquire(waitNs, TimeUnit.NANOSECONDS);
    }

    public void giveFromClient() {
        clients.release();
    }

    public boolean takeForNode() {
        return nodes.tryAcquire();
    }

    public void giveFromNode() {
        nodes.release();
    }

    /** How many clients may still come. */
    public int leftForClients() {
        return clients.availablePermits();
    }

    /** How many connections to nodes may still be opened. */
    public int leftForNodes() {
        return nodes.availablePermits();
    }
}
