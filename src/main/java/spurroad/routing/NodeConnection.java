package spurroad.routing;

import java.io.IOException;
import java.net.InetSocketAddress;
import spurroad.protocol.ByteSource;
import spurroad.protocol.ProtocolException;
import spurroad.protocol.Reply;
import spurroad.transport.Connection;

/**
 * One connection to a node, with a thread that connects, sends the first errand and reads for as long as it lasts; it
 * closes the socket for good and gives its place back when it ends. Its node's actor may close the socket earlier.
 */
final class NodeConnection implements Runnable {
    static final String TO_NOTHING = "an answer to nothing";
    private static final int STALL_MS = 300; // ms; inside an answer: one that was given whole arrives sooner
    private static final long NS_PER_MS = 1_000_000L;
    private final NodeActor node;
    private final Dialect dialect;
    private final InetSocketAddress endpoint;
    private final int connectMs;
    private final Connection connection;
    /** What it carries now, set by the actor alone; null while idle. */
    volatile Errand errand;
    // the actor's
    boolean closed;
    long idleSince;
    final int generation;

    NodeConnection(NodeActor node, Dialect dialect, InetSocketAddress endpoint, long connectNs, int generation,
                   Errand first) {
        this.node = node;
        this.dialect = dialect;
        this.endpoint = endpoint;
        this.generation = generation;
        connectMs = (int) Math.max(1, connectNs / NS_PER_MS);
        errand = first;
        connection = node.connection();
    }

    @Override
    public void run() {
        Errand first = errand;
        try {
            connection.connect(endpoint, connectMs);
            ByteSource in = new ByteSource(connection.in());
            write(first);
            while (in.await()) {
                Errand e = errand;
                if (e == null || !e.written) {
                    throw new ProtocolException(TO_NOTHING);
                }
                connection.mostSilence(STALL_MS);
                Reply reply = dialect.reply(in, e.command());
                connection.mostSilence(0);
                boolean clean = !in.more();
                node.replied(this, e, clean ? reply : reply.last());
            }
        } catch (ProtocolException e) {
            node.unusable(e.getMessage());
        } catch (IOException e) {
            // what it means for the errand depends on what was written; the actor tells
        } finally {
            connection.end();
            node.broken(this);
        }
    }

    /** Sends an errand whole; if that fails the socket is closed, which ends the thread above. */
    void write(Errand e) {
        long waitMs = Math.max(1, (e.until - node.now()) / NS_PER_MS);
        e.written = true;
        try {
            connection.write(dialect.message(e.command(), waitMs));
        } catch (IOException broken) {
            e.written = false;
            connection.close();
        }
    }

    /** Where there is no thread for it. */
    void never() {
        connection.end();
        node.broken(this);
    }

    /** Whether it broke, though its actor may not have been told yet. */
    boolean lost() {
        return connection.closed();
    }

    /** Closes it where its errand, if it has one, is still to be ended by the break. */
    void cut() {
        connection.close();
    }

    /** Closes it where nothing that it still brings counts. */
    void close() {
        closed = true;
        connection.close();
    }
}
