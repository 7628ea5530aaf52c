package spurroad.testbed.capacity;

import java.util.List;

/** A measurement of one role at sizes that are chosen; a run is bounded in time and memory. */
public interface Measure {
    /** Returns the name on the command line. */
    String name();

    /** Returns the role and its work, as a heading. */
    String title();

    /** Returns what the size counts, such as nodes. */
    String sizeName();

    /** Returns what is measured at each size, in the order of the values of {@link #run}. */
    List<Column> columns();

    /** Returns the sizes in ascending order. */
    List<Integer> sizes(MeasurementBudget budget);

    /**
     * Measures once, on the calling thread.
     *
     * @return a value for each column
     */
    List<Double> run(int size, MeasurementBudget budget) throws Exception;
}
