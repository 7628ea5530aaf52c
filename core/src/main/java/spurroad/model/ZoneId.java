package spurroad.model;

/** Identifies a zone: a data centre or server room. */
public record ZoneId(int value) {
    @Override
    public boolean equals(Object other) { // the generated method is slow if only the C1 compiler runs
        return other instanceof ZoneId that && that.value == value;
    }

    @Override
    public int hashCode() {
        return Integer.hashCode(value);
    }
}
