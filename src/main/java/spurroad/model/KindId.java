package spurroad.model;

/** A kind of machine. */
public record KindId(int value) { }
