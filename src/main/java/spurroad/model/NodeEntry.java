package spurroad.model;

/** One line of the list; a start time of zero means long ago. */
public record NodeEntry(NodeId id, KindId kind, ZoneId zone, CellId cell, long startedNs, double weight,
                        Phase phase) { }
