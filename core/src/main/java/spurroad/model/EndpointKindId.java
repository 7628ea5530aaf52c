package spurroad.model;

/** Identifies a kind of machine, which distinguishes the origin from cache endpoints. */
public record EndpointKindId(int value) {
    @Override
    public boolean equals(Object other) { // the generated method is slow if only the C1 compiler runs
        return other instanceof EndpointKindId that && that.value == value;
    }

    @Override
    public int hashCode() {
        return Integer.hashCode(value);
    }
}
