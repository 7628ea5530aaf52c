package spurroad.control.distribution.replication;

import java.util.ArrayList;
import java.util.List;
import spurroad.control.distribution.log.LogEntry;
import spurroad.control.distribution.log.LogSnapshot;

/**
 * The entries of a replica's log after its start index, and the latest snapshot. Indexes start at 1. The
 * entries between the start index and the snapshot are retained for followers that are behind.
 *
 * <p>Invariant: the start index is not after the snapshot's last included index.
 */
final class ReplicatedLog {
    private LogSnapshot latestSnapshot = LogSnapshot.EMPTY;
    private long startIndex;
    private long startTerm;
    private final List<LogEntry> entries = new ArrayList<>();

    /**
     * Returns the latest snapshot, taken by this replica or installed, or {@link LogSnapshot#EMPTY} before
     * the first.
     */
    LogSnapshot latestSnapshot() {
        return latestSnapshot;
    }

    /** Returns the index of the last entry that was compacted, or 0 if none was. */
    long startIndex() {
        return startIndex;
    }

    /** Returns the index of the last entry, or the start index if the log has no entries. */
    long lastIndex() {
        return startIndex + entries.size();
    }

    /** Returns the term of the entry at the last index; 0 for an empty log. */
    long lastTerm() {
        return termAt(lastIndex());
    }

    /**
     * Returns whether the term at an index is known, which holds from the start index to the last index, both
     * inclusive.
     */
    boolean knowsTermAt(long index) {
        return index >= startIndex && index <= lastIndex();
    }

    /** Returns the term of the entry at an index, which must be {@linkplain #knowsTermAt known}. */
    long termAt(long index) {
        return index == startIndex ? startTerm : entry(index).term();
    }

    /** Returns whether the entry at an index has the given term. */
    boolean matches(long index, long term) {
        return knowsTermAt(index) && termAt(index) == term;
    }

    /**
     * Returns whether a log that ends with the given index and term is at least as up to date as this log
     * (Raft, 5.4.1).
     */
    boolean isCoveredBy(long otherLastIndex, long otherLastTerm) {
        return otherLastTerm > lastTerm()
            || (otherLastTerm == lastTerm() && otherLastIndex >= lastIndex());
    }

    /** Returns the entry at an index after the start index. */
    LogEntry entry(long index) {
        return entries.get(position(index));
    }

    private int position(long index) {
        return (int) (index - startIndex - 1);
    }

    /** Appends an entry after the last one. */
    void append(LogEntry entry) {
        entries.add(entry);
    }

    /** Returns the entries after an index, at most {@code maxCount} of them. */
    List<LogEntry> entriesAfter(long index, int maxCount) {
        int from = position(index + 1);
        return List.copyOf(entries.subList(from, Math.min(entries.size(), from + maxCount)));
    }

    /** Removes the entry at an index and all later entries; they must not be committed. */
    void truncateFrom(long index) {
        entries.subList(position(index), entries.size()).clear();
    }

    /**
     * Replaces the latest snapshot. Removes the entries that the snapshot includes, except for the last
     * {@code retainedCount}, or all entries if the log and the snapshot disagree.
     *
     * @param retainedCount maximum number of entries that are included in the snapshot and still retained
     */
    void installSnapshot(LogSnapshot snapshot, int retainedCount) {
        latestSnapshot = snapshot;
        if (!matches(snapshot.lastIncludedIndex(), snapshot.lastIncludedTerm())) {
            entries.clear();
            startIndex = snapshot.lastIncludedIndex();
            startTerm = snapshot.lastIncludedTerm();
            return;
        }
        long newStartIndex = Math.max(startIndex, snapshot.lastIncludedIndex() - retainedCount);
        startTerm = termAt(newStartIndex);
        entries.subList(0, (int) (newStartIndex - startIndex)).clear();
        startIndex = newStartIndex;
    }
}
