package spurroad.testbed.capacity;

/**
 * One figure that a measurement takes at each size.
 *
 * @param name what it is, as a table's heading
 * @param unit of its values; empty for a count
 */
public record Column(String name, String unit) {
    /** The heading of a table. */
    public String heading() {
        return unit.isEmpty() ? name : name + " (" + unit + ")";
    }
}
