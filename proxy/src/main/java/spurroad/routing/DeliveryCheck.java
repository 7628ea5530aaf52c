package spurroad.routing;

import java.util.Collection;
import java.util.List;
import spurroad.transport.EventLoop;
import spurroad.transport.UnacknowledgedSends;

/**
 * Finds out which idle clients have received their responses: a reset drops what the kernel has not sent yet.
 * One check for many connections takes some milliseconds, so that there are few of them. Used on the event
 * loop only.
 */
final class DeliveryCheck {
    private static final long MIN_INTERVAL_NANOS = 200_000_000L;

    private final EventLoop loop;
    private long checkedAtNanos;

    DeliveryCheck(EventLoop loop) {
        this.loop = loop;
    }

    /** Confirms the delivery to those connections that wait for it, unless the last check was just before. */
    void run(Collection<ClientConnection> connections) {
        long now = loop.now();
        if (now - checkedAtNanos < MIN_INTERVAL_NANOS) {
            return;
        }
        List<ClientInactivity> waiting = connections.stream().map(ClientConnection::inactivity)
            .filter(client -> client.awaitsDelivery(now)).toList();
        if (!waiting.isEmpty()) {
            checkedAtNanos = now;
            UnacknowledgedSends.read()
                .ifPresent(sends -> waiting.forEach(client -> client.confirmDelivery(sends)));
        }
    }
}
