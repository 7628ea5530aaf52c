package spurroad.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import spurroad.transport.EventLoop;

/**
 * The idle connections of one pool. A connection is reused only after a delay in which input that follows its
 * last reply can arrive, and it is closed before its endpoint would close it. Used on the event loop only.
 */
final class IdleConnections {
    /** Fraction of the endpoint's idle timeout; the rest ensures that no request crosses with the close. */
    private static final double KEEP_ALIVE_FRACTION = 0.8;

    private final EventLoop loop;
    private final long keepAliveNanos;
    private final long reuseDelayNanos;
    private final Deque<EndpointConnection> connections = new ArrayDeque<>(); // least recently used first
    private boolean expiryScheduled;

    /**
     * Creates an empty set.
     *
     * @param idleTimeoutNanos time after which the endpoint closes an idle connection
     * @param reuseDelayNanos how long a connection stays unused after a reply
     */
    IdleConnections(EventLoop loop, long idleTimeoutNanos, long reuseDelayNanos) {
        this.loop = loop;
        this.reuseDelayNanos = reuseDelayNanos;
        keepAliveNanos = (long) (idleTimeoutNanos * KEEP_ALIVE_FRACTION);
    }

    boolean isEmpty() {
        return connections.isEmpty();
    }

    /** Adds a connection that has become idle. */
    void add(EndpointConnection connection) {
        connection.idleSinceNanos = loop.now();
        connections.addLast(connection);
        scheduleExpiry();
    }

    /** Removes a lost connection. */
    void remove(EndpointConnection connection) {
        connections.remove(connection);
    }

    /**
     * Removes and returns the most recently used connection whose reuse delay has passed, or null if there is
     * none. In that delay, input that follows the last reply arrives and closes the connection.
     */
    EndpointConnection take() {
        closeExpired();
        long latestIdleSinceNanos = loop.now() - reuseDelayNanos;
        for (Iterator<EndpointConnection> i = connections.descendingIterator(); i.hasNext();) {
            EndpointConnection candidate = i.next();
            if (candidate.isBroken() || candidate.idleSinceNanos <= latestIdleSinceNanos) {
                i.remove();
                if (candidate.hasNoUnexpectedInput()) {
                    return candidate;
                }
            }
        }
        return null;
    }

    /** Returns the time until the longest idle connection may be reused; must not be called when empty. */
    long nanosUntilReusable() {
        return connections.peekFirst().idleSinceNanos + reuseDelayNanos - loop.now();
    }

    /** Closes all idle connections. */
    void closeAll() {
        while (!connections.isEmpty()) {
            connections.poll().close();
        }
    }

    /** Closes at most the given number of connections, longest idle first. */
    void closeLongestIdle(int maxCount) {
        for (int i = 0; i < maxCount && !connections.isEmpty(); i++) {
            connections.poll().close();
        }
    }

    private void closeExpired() {
        while (!connections.isEmpty()
            && loop.now() - connections.peekFirst().idleSinceNanos >= keepAliveNanos) {
            connections.pollFirst().close();
        }
    }

    /** Schedules the next expiry; only one timer is active at a time. */
    private void scheduleExpiry() {
        if (!connections.isEmpty() && !expiryScheduled) {
            expiryScheduled = true;
            long expiresAtNanos = connections.peekFirst().idleSinceNanos + keepAliveNanos;
            loop.schedule(expiresAtNanos - loop.now(), () -> {
                expiryScheduled = false;
                closeExpired();
                scheduleExpiry();
            });
        }
    }
}
