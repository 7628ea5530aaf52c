package spurroad.routing;

import java.util.ArrayList;
import java.util.List;
import spurroad.transport.EventLoop;

/**
 * Collects messages from the load balancer's thread to the event loop, in order, and sends them in batches,
 * so that the loop is woken once for many messages. Used by the load balancer's thread only.
 */
final class LoopOutbox {
    /** A record rather than a lambda, for the reason given in {@link BalancerMessage}. */
    private record Batch(List<Runnable> messages) implements Runnable {
        @Override
        public void run() {
            for (int i = 0; i < messages.size(); i++) {
                messages.get(i).run();
            }
        }
    }

    private final EventLoop loop;
    private List<Runnable> messages = new ArrayList<>();

    LoopOutbox(EventLoop loop) {
        this.loop = loop;
    }

    /** Adds a message, which the loop runs after the next {@link #flush}. */
    void add(Runnable message) {
        messages.add(message);
    }

    /** Sends all messages added since the last flush. */
    void flush() {
        if (!messages.isEmpty()) {
            List<Runnable> batch = messages;
            messages = new ArrayList<>();
            loop.execute(new Batch(batch));
        }
    }
}
