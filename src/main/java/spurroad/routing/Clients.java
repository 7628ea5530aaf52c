package spurroad.routing;

import java.util.Comparator;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import spurroad.model.Deployment;
import spurroad.model.Track;
import spurroad.protocol.MetaReply;
import spurroad.start.ProxyStart;
import spurroad.transport.Clock;
import spurroad.transport.Connection;
import spurroad.transport.EventLog;
import spurroad.transport.Listener;
import spurroad.transport.Room;
import spurroad.transport.Threads;

/** All connections of clients, and what they share. */
public final class Clients implements Listener.Door {
    static final int QUERY_BYTES = 8192; // bytes; what a query without a value holds on its way, with room
    private static final int ROOM_SHARE = 8; // one part in so many of the memory is for queries under way
    private static final int HEAP_SHARE = 3; // one part in so many of the heap; answers and buffers take more
    private static final long MIB = 1 << 20, NS_PER_MS = 1_000_000L;

    final ProxyStart start;
    final Threads threads;
    final EventLog log;
    final Clock clock;
    final Decider decider;
    final Room room;
    /** The answer to a query for which the proxy itself has no place: nothing was sent, and when to come again. */
    final byte[] busy;
    private final Set<ClientConnection> connections = ConcurrentHashMap.newKeySet();
    private volatile boolean ending;

    public Clients(ProxyStart start, Threads threads, EventLog log, Clock clock, Decider decider) {
        this.start = start;
        this.threads = threads;
        this.log = log;
        this.clock = clock;
        this.decider = decider;
        long memory = Math.min(start.memoryMb * MIB / ROOM_SHARE, Runtime.getRuntime().maxMemory() / HEAP_SHARE);
        room = new Room(Math.min(memory, (long) start.figures.mostOpen * QUERY_BYTES));
        Deployment figures = start.figures.deployment;
        long slo = figures.tracks().stream().mapToLong(Track::sloNs).min().orElse(0);
        busy = MetaReply.rejected(Math.min(figures.maxComeBackNs(), slo / 2) / NS_PER_MS);
    }

    @Override
    public void accepted(Connection connection, boolean guest) {
        ClientConnection c = new ClientConnection(this, connection, guest);
        connections.add(c);
        try {
            threads.start("client", c);
        } catch (OutOfMemoryError e) {
            log.trouble("no thread for a client", e.getMessage());
            connections.remove(c);
            connection.end();
        }
    }

    /** Closes the client's connection that has been idle the longest or, if there is none, some to nodes. */
    @Override
    public void placesNeeded() {
        log.trouble("no descriptor left for clients", connections.size() + " connected");
        connections.stream().filter(ClientConnection::idle).min(Comparator.comparingLong(c -> c.idleSince))
            .ifPresentOrElse(ClientConnection::closeIfIdle, decider::placesNeeded);
        connections.forEach(ClientConnection::closeIfStuck);
    }

    void ended(ClientConnection c) {
        connections.remove(c);
    }

    /** Takes room for an answer; where that leaves too little, clients that take theirs too slowly are closed. */
    void owe(long bytes) {
        room.owe(bytes);
        if (room.overdrawn()) {
            log.trouble("answers hold more memory than there is room for", connections.size() + " connected");
            connections.forEach(ClientConnection::closeIfSlow);
        }
    }

    boolean ending() {
        return ending;
    }

    /** Closes connections between two commands from now on; answers go out first. */
    public void end() {
        ending = true;
        connections.forEach(ClientConnection::closeIfIdle);
    }

    public int count() {
        return connections.size();
    }
}
