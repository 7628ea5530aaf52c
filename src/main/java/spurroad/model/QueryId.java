package spurroad.model;

/** One query, as its sender numbers it; a client's next try is another query. */
public record QueryId(long value) { }
