package spurroad.program;

import java.util.concurrent.atomic.AtomicBoolean;
import spurroad.transport.Listener;

/** Starts the listener on the first call to {@link #open}, from any thread. */
final class ClientAcceptance {
    private final Listener listener;
    private final AtomicBoolean opened = new AtomicBoolean();
    private volatile boolean accepting;

    ClientAcceptance(Listener listener) {
        this.listener = listener;
    }

    /** Starts accepting clients on the event loop; further calls do nothing. */
    void open() {
        if (!opened.getAndSet(true)) {
            listener.start(() -> accepting = true);
        }
    }

    /** Returns whether the event loop has begun to accept clients. */
    boolean isAccepting() {
        return accepting;
    }
}
