package spurroad.model;

/** A cache node or the origin: address and port, packed; says nothing of zone, kind or age. */
public record NodeId(long value) { }
