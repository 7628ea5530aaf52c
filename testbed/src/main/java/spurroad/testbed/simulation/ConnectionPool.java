package spurroad.testbed.simulation;

import java.util.ArrayList;
import java.util.List;
import spurroad.testbed.model.CacheNode;

/** A simulated proxy's connections to one server, and its attempts in flight there. */
final class ConnectionPool {
    /** The server's node; null for the origin, whose connections have no limit. */
    final CacheNode node;
    final List<SimulatedAttempt> inFlight = new ArrayList<>();
    private int idle;

    ConnectionPool(CacheNode node) {
        this.node = node;
    }

    /** Returns whether there was an idle connection, which is in use now. */
    boolean takeIdle() {
        if (idle == 0) {
            return false;
        }
        idle--;
        return true;
    }

    void release() {
        idle++;
    }

    void closeIdle() {
        int closed = idle;
        idle = 0;
        for (int i = 0; i < closed; i++) {
            disconnect();
        }
    }

    /** Tells the node that one of its connections has ended. */
    void disconnect() {
        if (node != null) {
            node.disconnected();
        }
    }

    CacheNode.Reach reach() {
        return node == null ? CacheNode.Reach.UP : node.reach();
    }
}
