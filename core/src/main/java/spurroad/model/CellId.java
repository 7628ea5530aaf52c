package spurroad.model;

/** Identifies a cell: a group of cache endpoints that share their record of idempotency keys. */
public record CellId(int value) {
    @Override
    public boolean equals(Object other) { // the generated method is slow if only the C1 compiler runs
        return other instanceof CellId that && that.value == value;
    }

    @Override
    public int hashCode() {
        return Integer.hashCode(value);
    }
}
