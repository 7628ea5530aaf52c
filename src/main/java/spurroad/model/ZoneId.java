package spurroad.model;

/** A data centre or server room. */
public record ZoneId(int value) { }
