package spurroad.model;

/** Identifies a cache endpoint or the origin. The number carries no information on zone, kind or age. */
public record EndpointId(long value) {
    @Override
    public boolean equals(Object other) { // the generated method is slow if only the C1 compiler runs
        return other instanceof EndpointId that && that.value == value;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(value);
    }
}
