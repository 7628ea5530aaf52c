package spurroad.transport;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Something with a mailbox: what it is told is carried out one after another, in order, never two at once, so its
 * fields need no locks. It must not block; threads of connections do that for it. Between messages it needs no thread.
 */
public abstract class Actor {
    private final Threads threads;
    private final EventLog log;
    private final ArrayBlockingQueue<Runnable> mailbox;
    private final AtomicBoolean busy = new AtomicBoolean();

    /** The capacity must hold all that can be under way for this actor at once; more is a fault of the program. */
    protected Actor(Threads threads, EventLog log, int capacity) {
        this.threads = threads;
        this.log = log;
        mailbox = new ArrayBlockingQueue<>(capacity);
    }

    /** Puts a message into the mailbox; returns at once. */
    public final void tell(Runnable message) {
        if (!mailbox.offer(message)) {
            log.trouble("a mailbox is full", this);
            throw new IllegalStateException("the mailbox of " + this + " is full");
        }
        wake();
    }

    private void wake() {
        if (!mailbox.isEmpty() && busy.compareAndSet(false, true)) {
            threads.run(this::work);
        }
    }

    private void work() {
        try {
            for (Runnable m = mailbox.poll(); m != null; m = mailbox.poll()) {
                m.run();
            }
        } catch (RuntimeException e) {
            log.trouble("an actor failed", this + ", " + EventLog.where(e));
        } finally {
            busy.set(false);
            wake();
        }
    }
}
