package spurroad.testbed.checker;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/** The events of one request over all its attempts, with their times; bounded. */
final class EventHistory {
    /** A request with more events is in a loop, which its first events show. */
    private static final int MAX_EVENTS = 100;
    private static final int INITIAL_CAPACITY = 6;
    private static final double NANOS_PER_SECOND = 1e9;

    private final List<String> descriptions = new ArrayList<>(INITIAL_CAPACITY);
    private long[] timesNanos = new long[INITIAL_CAPACITY];

    /** Adds an event, unless the history is full. */
    void add(long timeNanos, String description) {
        int size = descriptions.size();
        if (size >= MAX_EVENTS) {
            return;
        }
        if (size == timesNanos.length) {
            timesNanos = Arrays.copyOf(timesNanos, 2 * timesNanos.length);
        }
        timesNanos[size] = timeNanos;
        descriptions.add(description);
    }

    /**
     * Returns one line for each event. Lines are formatted only here, because hardly any history is printed.
     */
    List<String> lines() {
        List<String> lines = new ArrayList<>(descriptions.size());
        for (int i = 0; i < descriptions.size(); i++) {
            double seconds = timesNanos[i] / NANOS_PER_SECOND;
            lines.add(String.format(Locale.ROOT, "%.6f s  %s", seconds, descriptions.get(i)));
        }
        return lines;
    }
}
