package spurroad.transport;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A bounded queue of messages from any thread to a single reader thread, which waits here for a message or a
 * timeout.
 */
public final class Mailbox {
    private final int capacity;
    private List<Runnable> messages = new ArrayList<>();

    /** Creates a mailbox. The capacity must cover all messages that can be in flight at once. */
    public Mailbox(int capacity) {
        this.capacity = capacity;
    }

    /**
     * Adds a message. May be called from any thread.
     *
     * @throws IllegalStateException if the capacity is exceeded, which is a programming error
     */
    public void post(Runnable message) {
        post(List.of(message));
    }

    /** Adds messages in order and wakes the reader once; otherwise like {@link #post(Runnable)}. */
    public synchronized void post(Collection<Runnable> added) {
        if (messages.size() + added.size() > capacity) {
            throw new IllegalStateException("mailbox capacity exceeded");
        }
        boolean wasEmpty = messages.isEmpty();
        messages.addAll(added);
        if (wasEmpty) {
            notify();
        }
    }

    /**
     * Takes all messages in order. Returns an empty list if there are none within the timeout, or after a
     * spurious wake-up.
     *
     * @throws InterruptedException if the reader thread is interrupted while it waits
     */
    public synchronized List<Runnable> takeAll(long timeoutNanos) throws InterruptedException {
        if (messages.isEmpty() && timeoutNanos > 0) {
            TimeUnit.NANOSECONDS.timedWait(this, timeoutNanos);
        }
        List<Runnable> taken = messages;
        messages = new ArrayList<>();
        return taken;
    }
}
