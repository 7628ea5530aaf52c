package spurroad.transport;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/** The one count of open sockets. Whoever opens one takes a place first and gives it back once it is closed. */
public final class Descriptors {
    private static final int LIST = 2; // descriptors; a watch, and the next one while that closes

    private final Semaphore clients;
    private final Semaphore nodes;

    /** Half of the places for nodes and the origin: a client waits for one execution at a time, seldom for two. */
    public Descriptors(int places) {
        int free = places - LIST;
        nodes = new Semaphore(free / 2);
        clients = new Semaphore(free - free / 2);
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
