package spurroad.routing;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import spurroad.transport.EventLoop;
import spurroad.transport.UnacknowledgedSends;

/**
 * Finds out whether the kernel has delivered what was sent: a reset drops what it has not sent yet. A look
 * costs time for each socket of the machine, so that looks have a bounded share of the event loop's time.
 * Used on the event loop only.
 */
final class DeliveryCheck {
    private static final long MIN_INTERVAL_NANOS = 200_000_000L;
    /** The pause after a look is this many times as long as the look. */
    private static final long PAUSE_FACTOR = 50;

    private final EventLoop loop;
    private long nextLookNanos;

    DeliveryCheck(EventLoop loop) {
        this.loop = loop;
    }

    /** Confirms the delivery to those connections that wait for it, unless the last look was just before. */
    void run(Collection<ClientConnection> connections) {
        long now = loop.now();
        if (now < nextLookNanos) {
            return;
        }
        List<ClientInactivity> waiting = connections.stream().map(ClientConnection::inactivity)
            .filter(client -> client.awaitsDelivery(now)).toList();
        if (!waiting.isEmpty()) {
            look().ifPresent(sends -> waiting.forEach(client -> client.confirmDelivery(sends)));
        }
    }

    /** Returns what the kernel has not delivered now; empty if it does not say so. */
    private Optional<UnacknowledgedSends> look() {
        long startNanos = System.nanoTime();
        Optional<UnacknowledgedSends> sends = UnacknowledgedSends.read();
        long pauseNanos = PAUSE_FACTOR * (System.nanoTime() - startNanos);
        nextLookNanos = loop.now() + Math.max(MIN_INTERVAL_NANOS, pauseNanos);
        return sends;
    }
}
