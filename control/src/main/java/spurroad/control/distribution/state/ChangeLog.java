package spurroad.control.distribution.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;

/**
 * Retains a bounded number of the latest changes of a configuration.
 *
 * <p>Invariant: the log contains the latest change of each resource that changed after {@code startSequence}.
 */
final class ChangeLog {
    private final int capacity;
    private final Deque<ConfigurationEntry> entries = new ArrayDeque<>(1);
    private long startSequence;

    /** Creates an empty log, which stays empty if the capacity is 0. */
    ChangeLog(int capacity) {
        this.capacity = capacity;
    }

    /** Appends the next change; drops the oldest ones beyond the capacity. */
    void append(ConfigurationEntry entry) {
        entries.addLast(entry);
        while (entries.size() > capacity) {
            startSequence = entries.removeFirst().sequence();
        }
    }

    /** Drops all changes and starts after a sequence number. */
    void restartAfter(long sequence) {
        entries.clear();
        startSequence = sequence;
    }

    /**
     * Returns whether the log retains the latest change of each resource that changed after a sequence
     * number.
     */
    boolean retainsAfter(long sequence) {
        return sequence >= startSequence;
    }

    /**
     * Returns the latest change of each resource in a scope after a sequence number, in the order of sequence
     * numbers.
     */
    List<ConfigurationEntry> latestAfter(long sequence, Scope scope) {
        List<ConfigurationEntry> latest = new ArrayList<>();
        Set<ResourceKey> seen = new HashSet<>();
        for (Iterator<ConfigurationEntry> newestFirst = entries.descendingIterator(); newestFirst
            .hasNext();) {
            ConfigurationEntry entry = newestFirst.next();
            if (entry.sequence() <= sequence) {
                break;
            }
            if (scope.includes(entry.key()) && seen.add(entry.key())) {
                latest.add(entry);
            }
        }
        Collections.reverse(latest);
        return latest;
    }
}
