package spurroad.routing;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import spurroad.protocol.ByteSource;
import spurroad.protocol.ProtocolException;
import spurroad.protocol.Reply;
import spurroad.transport.Connection;
import spurroad.transport.Loop;

/**
 * One connection to a node, with one errand at a time; all of it is the loop's. It connects, sends and takes replies
 * as they come; its node's actor owns it and may close it at any time.
 */
final class NodeConnection implements Connection.User {
    private static final String TO_NOTHING = "an answer to nothing";
    private static final long STALL_NS = 300_000_000L; // ns; inside an answer: one that was given whole arrives sooner
    private static final long NS_PER_MS = 1_000_000L;
    private final NodeActor node;
    private final Dialect dialect;
    private final ByteSource in = new ByteSource();
    private final ByteSource.Form<Reply> form = this::reply;
    private Connection connection;
    private Loop.Alarm alarm; // for the connect, or for the rest of an answer
    private long cameAt;
    // the node actor's
    /** What it carries now; null while idle. */
    Errand errand;
    boolean closed;
    long idleSince;
    final int generation;

    NodeConnection(NodeActor node, Dialect dialect, int generation, Errand first) {
        this.node = node;
        this.dialect = dialect;
        this.generation = generation;
        errand = first;
    }

    /** Begins to connect; the errand is sent once it is up. */
    void connect(InetSocketAddress endpoint, long mostNs) {
        try {
            connection = node.connection();
        } catch (IOException e) {
            node.noSocket(e);
            node.broken(this);
            return;
        }
        alarm = node.loop().after(mostNs, this::cut);
        connection.connect(endpoint, this);
    }

    @Override
    public void connected() {
        alarm.cancel();
        if (errand != null && node.held()) {
            cut(); // nothing has been written: it goes elsewhere
        } else if (errand != null) {
            write(errand);
        }
    }

    /** Sends an errand. */
    void write(Errand e) {
        long waitMs = Math.max(1, (e.until - node.now()) / NS_PER_MS);
        connection.write(dialect.message(e.command(), waitMs));
        if (connection.isDrained() && !connection.closed()) {
            node.written(e);
        }
    }

    @Override
    public void drained() {
        if (errand != null) {
            node.written(errand);
        }
    }

    @Override
    public void came(ByteBuffer bytes) {
        in.feed(bytes);
        cameAt = node.now();
        read();
    }

    private void read() {
        while (!closed && in.worthReading()) {
            try {
                Reply reply = in.message(form);
                if (reply == null) {
                    watchRest();
                    return;
                }
                alarm.cancel();
                node.replied(this, errand, in.available() == 0 ? reply : reply.last());
            } catch (IOException bad) {
                if (bad instanceof ProtocolException) {
                    node.unusable(bad.getMessage());
                }
                cut();
            }
        }
    }

    private Reply reply(ByteSource from) throws IOException {
        if (errand == null || !errand.written) {
            throw new ProtocolException(TO_NOTHING);
        }
        return dialect.reply(from, errand.command());
    }

    /** An answer has begun; what gives its beginning gives the rest soon. */
    private void watchRest() {
        alarm.cancel();
        alarm = node.loop().after(cameAt + STALL_NS - node.now(), this::cut);
    }

    /** It ended or broke; an answer that lasts as long as its connection is whole now. */
    @Override
    public void ended() {
        if (!closed) {
            in.end();
            read();
        }
        alarm.cancel();
        node.broken(this);
    }

    /** Whether it broke, though its actor may not have been told yet. */
    boolean lost() {
        return connection.closed();
    }

    /** Closes it where its errand, if it has one, is still to be ended by the break. */
    private void cut() {
        alarm.cancel();
        connection.close();
        node.broken(this);
    }

    /** Closes it where nothing that it still brings counts. */
    void close() {
        closed = true;
        alarm.cancel();
        connection.close();
    }
}
