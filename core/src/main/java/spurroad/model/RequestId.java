package spurroad.model;

/** Identifies a request by the number that its host gives it; a retry by the client is another request. */
public record RequestId(long value) {
    @Override
    public boolean equals(Object other) { // the generated method is slow if only the C1 compiler runs
        return other instanceof RequestId that && that.value == value;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(value);
    }
}
