package spurroad.control.decide;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;

/** Retains a bounded number of the latest snapshots. Not thread-safe. */
public final class SnapshotHistory {
    private static final int MIN_CAPACITY = 2;

    private final int capacity;
    private final Deque<Snapshot> snapshots = new ArrayDeque<>();
    private long lastNumber;

    /** Creates an empty history that retains up to {@code capacity} snapshots, but at least two. */
    public SnapshotHistory(int capacity) {
        this.capacity = Math.max(MIN_CAPACITY, capacity);
    }

    /** Returns the latest snapshot; empty before the first. */
    public Optional<Snapshot> latest() {
        return Optional.ofNullable(snapshots.peekLast());
    }

    /** Returns all retained snapshots, the oldest first. */
    public List<Snapshot> all() {
        return List.copyOf(snapshots);
    }

    /** Returns the snapshot with a number; empty if it is no longer retained or never existed. */
    public Optional<Snapshot> find(long number) {
        return snapshots.stream().filter(snapshot -> snapshot.number() == number).findFirst();
    }

    /**
     * Adds a snapshot of the given content if it differs from the latest snapshot.
     *
     * @param createdAtMillis creation time, Unix time in milliseconds
     * @param cause one-line reason why the content differs from the previous one
     * @return the latest snapshot, which has the given content
     */
    public Snapshot record(long createdAtMillis, String cause, SortedMap<String, Endpoint> endpoints,
                           SortedMap<String, String> policy) {
        Snapshot last = snapshots.peekLast();
        if (last != null && last.version().equals(Snapshot.version(endpoints, policy))) {
            return last;
        }
        lastNumber++;
        Snapshot next = Snapshot.of(lastNumber, createdAtMillis, cause, endpoints, policy);
        snapshots.add(next);
        if (snapshots.size() > capacity) {
            snapshots.remove();
        }
        return next;
    }

    /**
     * Adds a snapshot with the policy of an earlier one and the current endpoints. With the earlier
     * endpoints, requests would be sent to cache nodes that have left since.
     *
     * @param createdAtMillis creation time, Unix time in milliseconds
     * @param number number of the earlier snapshot
     * @return the latest snapshot; empty if the earlier one is not retained
     */
    public Optional<Snapshot> rollBackPolicy(long createdAtMillis, long number) {
        return find(number).map(earlier -> record(createdAtMillis, "policy of snapshot " + number + " again",
            snapshots.getLast().endpoints(), earlier.policy()));
    }
}
