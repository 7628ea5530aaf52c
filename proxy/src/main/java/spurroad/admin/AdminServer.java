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
 * Listens at the second address, on an event loop and a thread of its own, so that no load of clients delays
 * a response. Connections are bounded in number and time; where all are in use, those that sent no request
 * give way to the next.
 */
public final class AdminServer implements Listener.AcceptHandler, AutoCloseable {
    private static final int MAX_CONNECTIONS = 16; // a descriptor each
    private static final int MAX_CLOSED_AT_ONCE = 8;
    // ns; a connection gets so long at least to send its request before it gives way
    private static final long MIN_SILENCE_NANOS = 50_000_000L;

    private final EventLoop loop;
    private final Listener listener;
    private final Set<AdminConnection> connections = new LinkedHashSet<>(); // the loop's; the oldest first
    private volatile AdminRoutes routes; // null until the proxy is there

    /** Starts to listen; until {@link #setRoutes} each response says that the proxy does not serve yet. */
    public AdminServer(InetSocketAddress address, Threads threads, EventLog log, Clock clock)
        throws IOException {
        loop = EventLoop.withoutArrivalTimes(log, clock);
        listener = new Listener(address, loop, new ConnectionLimit(), this, log);
        threads.start("admin server", loop);
        listener.start(() -> {});
    }

    /** Sets what requests do from now on; from any thread. */
    public void setRoutes(AdminRoutes routes) {
        this.routes = routes;
    }

    /** Returns the port that it listens at. */
    public int port() {
        return listener.port();
    }

    /** Stops the loop at once, without a response to any request. */
    @Override
    public void close() {
        loop.shutdown();
    }

    /** Handles a request; responds from any thread. */
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

    /** Closes the oldest of the connections that have sent no request. */
    @Override
    public void onPermitsExhausted() {
        List<AdminConnection> silent = connections.stream()
            .filter(connection -> connection.isSilentForLongerThan(MIN_SILENCE_NANOS))
            .limit(MAX_CLOSED_AT_ONCE).toList();
        silent.forEach(AdminConnection::close);
    }

    /** Bounds the connections; the loop's alone. */
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
