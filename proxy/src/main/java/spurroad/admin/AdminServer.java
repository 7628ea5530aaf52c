package spurroad.admin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import spurroad.transport.Clock;
import spurroad.transport.Connection;
import spurroad.transport.EventLog;
import spurroad.transport.EventLoop;
import spurroad.transport.Listener;
import spurroad.transport.Threads;

/**
 * The HTTP server on the admin address. It has its own event loop and thread, so that client load does not
 * delay its responses. Connections are limited in number and duration; when all are in use, those that have
 * sent no complete request are closed in favor of new ones.
 */
public final class AdminServer implements Listener.AcceptHandler, AutoCloseable {
    private static final int MAX_CONNECTIONS = 16; // each takes a descriptor
    private static final int MAX_CLOSED_AT_ONCE = 8;
    // the minimum time that a connection has to send its request before it may be closed in favor of others
    private static final long MIN_REQUEST_WAIT_NANOS = 50_000_000L;

    private final EventLoop loop;
    private final Listener listener;
    private final Set<AdminConnection> connections = new LinkedHashSet<>(); // oldest first; loop thread only
    private volatile AdminRoutes routes; // null until the proxy is created

    /**
     * Starts to listen. Until {@link #setRoutes} is called, each response says that the proxy does not serve
     * yet.
     */
    public AdminServer(InetSocketAddress address, Threads threads, EventLog log, Clock clock)
        throws IOException {
        loop = EventLoop.withoutArrivalTimes(log, clock);
        listener = new Listener(address, loop, new ConnectionLimit(), this, log);
        threads.start("admin server", loop);
        listener.start(() -> {});
    }

    /** Sets the routes of all later requests. May be called from any thread. */
    public void setRoutes(AdminRoutes routes) {
        this.routes = routes;
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return listener.port();
    }

    /** Stops the event loop immediately, without responses to pending requests. */
    @Override
    public void close() {
        loop.shutdown();
    }

    /** Handles a request. The response may come from any thread. */
    void handle(AdminRequest request, AdminResponder responder) {
        AdminRoutes current = routes;
        if (current == null) {
            responder.respond(AdminRoutes.notServingYet());
        } else {
            current.handle(request, responder);
        }
    }

    void onConnectionClosed(AdminConnection connection) {
        connections.remove(connection);
    }

    @Override
    public void onAccepted(Connection connection, boolean guest) {
        AdminConnection admin = new AdminConnection(this, loop, connection);
        connections.add(admin);
        admin.open();
    }

    /** Closes the oldest of the connections that have sent no complete request. */
    @Override
    public void onPermitsExhausted() {
        List<AdminConnection> awaitingRequest = connections.stream()
            .filter(connection -> connection.isAwaitingRequestLongerThan(MIN_REQUEST_WAIT_NANOS))
            .limit(MAX_CLOSED_AT_ONCE).toList();
        awaitingRequest.forEach(AdminConnection::close);
    }

    /** Limits the number of connections. Confined to the loop thread. */
    private static final class ConnectionLimit implements Listener.ConnectionPermits {
        private int inUse;

        @Override
        public boolean tryAcquire() {
            if (inUse >= MAX_CONNECTIONS) {
                return false;
            }
            inUse++;
            return true;
        }

        @Override
        public boolean tryAcquireOverflow() {
            return false;
        }

        @Override
        public void release(boolean guest) {
            inUse--;
        }
    }
}
