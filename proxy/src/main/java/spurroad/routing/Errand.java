package spurroad.routing;

import spurroad.protocol.MetaCommand;
import spurroad.transport.Loop;

/** One execution of a query, or a probe where there is no query: its node's actor ends it exactly once. */
final class Errand {
    final Query query;
    final int number;
    final NodeActor node;
    final long until;
    /**
     * By when its last byte has to go out, if at all: later a repeat is no repeat any more where it would
     * run.
     */
    final long sentBy;
    /** Whether its first byte has gone out, and whether its last may have. */
    boolean begun, written;
    // the node actor's
    NodeConnection connection;
    Loop.Alarm alarm;
    long begunAt;
    /** Which of the node's processes it was decided for. */
    int generation;
    /** How long the proxy had been held up when this was decided on. */
    final long stalledNs;
    boolean ended;
    /** The long value of its answer, where it has one. */
    Passage passage;

    Errand(Query query, int number, NodeActor node, long until, long sentBy, long stalledNs) {
        this.query = query;
        this.number = number;
        this.node = node;
        this.until = until;
        this.sentBy = sentBy;
        this.stalledNs = stalledNs;
    }

    /** Whether nobody waits for it any more; never so for a probe. */
    boolean unwanted() {
        return query != null && query.left;
    }

    MetaCommand command() {
        return query == null ? null : query.command;
    }
}
