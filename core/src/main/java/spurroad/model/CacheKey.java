package spurroad.model;

/** The key of a request; zero, or {@link #NONE}, if it has none. */
public record CacheKey(long value) {
    /** The value of a request without a key. */
    public static final CacheKey NONE = new CacheKey(0);

    @Override
    public boolean equals(Object other) { // the generated method is slow if only the C1 compiler runs
        return other instanceof CacheKey that && that.value == value;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(value);
    }
}
