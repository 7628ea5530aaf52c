package spurroad.model;

/** A handful of cache nodes that share which marks they have seen. */
public record CellId(int value) { }
