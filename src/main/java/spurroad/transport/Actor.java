package spurroad.transport;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Something with a mailbox: what it is told is carried out one after another, in order, never two at once, so its
 * fields need no locks. It must not block; threads of connections do that for it. Between messages it needs no thread:
 * whoever tells it something works the mailbox off, or has a work thread do so.
 */
public abstract class Actor {
    protected final Threads threads;
    protected final EventLog log;
    private final ArrayBlockingQueue<Runnable> mailbox;
    private final AtomicBoolean busy = new AtomicBoolean();
    // the actor's: what may wait for a peer, for when it lets go of the mailbox
    private Runnable waiting;

    /** The capacity must hold all that can be under way for this actor at once; more is a fault of the program. */
    protected Actor(Threads threads, EventLog log, int capacity) {
        this.threads = threads;
        this.log = log;
        mailbox = new ArrayBlockingQueue<>(capacity);
    }

    /** Puts a message into the mailbox; returns at once, and a work thread goes on. */
    public final void tell(Runnable message) {
        put(message);
        if (mine()) {
            threads.run(() -> work(true));
        }
    }

    /** The same from a connection's own thread, which carries it out itself: a change of threads costs more. */
    protected final void tellHere(Runnable message, boolean mayWait) {
        put(message);
        if (mine()) {
            work(mayWait);
        }
    }

    /** Puts a message into the mailbox from what {@link #afterwards} was given, after which it is looked into. */
    protected final void put(Runnable message) {
        if (!mailbox.offer(message)) {
            log.trouble("a mailbox is full", this);
            throw new IllegalStateException("the mailbox of " + this + " is full");
        }
    }

    /** Has work that may wait for a peer done once the mailbox is let go of, on a thread that may wait. */
    protected final void afterwards(Runnable work) {
        if (waiting != null) {
            handOver(waiting);
        }
        waiting = work;
    }

    private void handOver(Runnable work) {
        threads.run(() -> {
            work.run();
            if (mine()) {
                work(true);
            }
        });
    }

    private boolean mine() {
        return !mailbox.isEmpty() && busy.compareAndSet(false, true);
    }

    private void work(boolean mayWait) {
        do {
            Runnable next = workOff();
            if (next != null && mayWait) {
                next.run();
            } else if (next != null) {
                handOver(next);
            }
        } while (mine());
    }

    private Runnable workOff() {
        for (Runnable m = mailbox.poll(); m != null; m = mailbox.poll()) {
            try {
                m.run();
            } catch (RuntimeException e) {
                log.trouble("an actor failed", this + ", " + EventLog.where(e));
            }
        }
        Runnable next = waiting;
        waiting = null;
        busy.set(false);
        return next;
    }
}
