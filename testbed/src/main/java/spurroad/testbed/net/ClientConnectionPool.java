package spurroad.testbed.net;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import spurroad.testbed.model.RequestAttempt;

/** The client connections to one proxy, up to a limit; attempts beyond that wait. Used on the loop. */
final class ClientConnectionPool {
    private final EventLoop loop;
    private final int port;
    private final int maxConnections;
    private final AttemptEvents events;
    private final List<ClientConnection> connections = new ArrayList<>();
    private final Deque<ClientConnection> idle = new ArrayDeque<>();
    private final Deque<RequestAttempt> waiting = new ArrayDeque<>();
    private long openedCount;

    ClientConnectionPool(EventLoop loop, int port, int maxConnections, AttemptEvents events) {
        this.loop = loop;
        this.port = port;
        this.maxConnections = maxConnections;
        this.events = events;
    }

    /** Sends an attempt on the connection that was used last, on a new one, or once one is released. */
    void send(RequestAttempt attempt) {
        ClientConnection connection = pollActive();
        if (connection != null) {
            connection.send(attempt);
        } else if (connections.size() < maxConnections) {
            ClientConnection opened = new ClientConnection(this, events);
            connections.add(opened);
            openedCount++;
            opened.open(loop, port, attempt);
        } else {
            waiting.add(attempt);
        }
    }

    private ClientConnection pollActive() {
        ClientConnection connection = idle.pollLast();
        while (connection != null && !connection.isActive()) {
            connection = idle.pollLast();
        }
        return connection;
    }

    /** Removes a waiting attempt, or closes the connection that carries it. */
    void withdraw(RequestAttempt attempt) {
        if (!waiting.remove(attempt)) {
            connections.stream().filter(c -> c.carries(attempt)).findFirst()
                .ifPresent(ClientConnection::close);
        }
    }

    /** A connection has no attempt in flight any more. */
    void release(ClientConnection connection) {
        RequestAttempt next = waiting.poll();
        if (next != null) {
            connection.send(next);
        } else {
            idle.addLast(connection);
        }
    }

    /** A connection has ended. */
    void remove(ClientConnection connection) {
        connections.remove(connection);
        idle.remove(connection);
        RequestAttempt next = waiting.poll();
        if (next != null) {
            send(next);
        }
    }

    long openedCount() {
        return openedCount;
    }

    void close() {
        List.copyOf(connections).forEach(ClientConnection::close);
    }
}
