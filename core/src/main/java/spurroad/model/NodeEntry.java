package spurroad.model;

/** One line of the list; a start time of zero means long ago, the weight is a steady size above zero. */
public record NodeEntry(NodeId id, KindId kind, ZoneId zone, CellId cell, long startedNs, double weight,
                        Phase phase) {
    /** The same node, with another start. */
    public NodeEntry startedAt(long otherNs) {
        return new NodeEntry(id, kind, zone, cell, otherNs, weight, phase);
    }

    /** The same node once the list no longer names it. */
    public NodeEntry gone() {
        return new NodeEntry(id, kind, zone, cell, startedNs, weight, Phase.GONE);
    }
}
