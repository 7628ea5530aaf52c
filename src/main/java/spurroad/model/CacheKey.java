package spurroad.model;

/** What a query asks for; zero where it names no key. */
public record CacheKey(long value) { }
