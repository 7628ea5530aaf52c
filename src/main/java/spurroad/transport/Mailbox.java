package spurroad.transport;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;

/** The mailbox of an actor that has a thread to itself, which waits here for messages and for a time. */
public final class Mailbox {
    private final ArrayBlockingQueue<Runnable> messages;

    /** The capacity must hold all that can be under way at once; more is a fault of the program. */
    public Mailbox(int capacity) {
        messages = new ArrayBlockingQueue<>(capacity);
    }

    public void tell(Runnable message) {
        messages.add(message);
    }

    /** The next message, or null if none comes within the time. */
    public Runnable await(long ns) throws InterruptedException {
        return messages.poll(Math.max(0, ns), TimeUnit.NANOSECONDS);
    }
}
