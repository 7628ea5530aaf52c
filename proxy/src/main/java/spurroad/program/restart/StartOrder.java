package spurroad.program.restart;

import java.util.Comparator;

/**
 * The position of a process in the start order of the processes of one proxy.
 *
 * @param startedAtMillis Unix time, see {@link ProcessState#startedAtMillis}
 * @param pid orders processes that started in the same millisecond
 */
record StartOrder(long startedAtMillis, long pid) implements Comparable<StartOrder> {
    private static final Comparator<StartOrder> BY_TIME_THEN_PID = Comparator
        .comparingLong(StartOrder::startedAtMillis).thenComparingLong(StartOrder::pid);

    /** Returns whether this process started after another. */
    boolean isAfter(StartOrder other) {
        return compareTo(other) > 0;
    }

    @Override
    public int compareTo(StartOrder other) {
        return BY_TIME_THEN_PID.compare(this, other);
    }
}
