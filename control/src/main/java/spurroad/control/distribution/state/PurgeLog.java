package spurroad.control.distribution.state;

import java.util.Optional;

/**
 * Retains the hashes of the latest purges in a ring buffer, eight bytes each. Purges are numbered from 1; a
 * purge is idempotent, and is identified by its number alone. The usual capacity limits the number of
 * retained purges; while a process still needs older ones, the maximum capacity does.
 *
 * <p>Invariant: the purges with the numbers {@code (startNumber, lastNumber]} are retained.
 *
 * <p>Not thread-safe.
 */
public final class PurgeLog {
    /** Returned by {@link #append(PurgeBatch)} if purges before the batch are missing. */
    public static final int GAP = -1;

    private static final int MIN_RING_LENGTH = 1024;

    private final int usualCapacity;
    private final int maxCapacity;
    private long[] ring = new long[0];
    private long lastNumber;
    private int retainedCount;
    private long neededAfter = Long.MAX_VALUE;

    /**
     * Creates a log without purges.
     *
     * @param usualCapacity number of purges that are always retained; 0 if no process catches up from this
     *     one
     * @param maxCapacity maximum number of purges that are retained while they are needed; raised to the
     *     usual capacity if lower
     */
    public PurgeLog(int usualCapacity, int maxCapacity) {
        this.usualCapacity = usualCapacity;
        this.maxCapacity = Math.max(usualCapacity, maxCapacity);
    }

    /**
     * Requests that the purges after a number are retained, up to the maximum capacity;
     * {@code Long.MAX_VALUE} withdraws the request.
     */
    public void retainAfter(long number) {
        neededAfter = number;
    }

    /** Returns the number of the latest purge; 0 before the first. */
    public long lastNumber() {
        return lastNumber;
    }

    /** Returns the number before the first retained purge; other processes can catch up from there. */
    public long startNumber() {
        return lastNumber - retainedCount;
    }

    /** Adds the purges of a batch that are new; returns the number of added purges, or {@link #GAP}. */
    public int append(PurgeBatch batch) {
        if (batch.fromNumber() > lastNumber) {
            return GAP;
        }
        if (batch.toNumber() <= lastNumber) {
            return 0;
        }
        int firstNewIndex = (int) (lastNumber - batch.fromNumber());
        for (int i = firstNewIndex; i < batch.hashes().length; i++) {
            append(batch.hashes()[i]);
        }
        return batch.hashes().length - firstNewIndex;
    }

    /** Adds one purge, which gets the next number. */
    public void append(long hash) {
        lastNumber++;
        if (usualCapacity == 0) {
            return;
        }
        if (retainedCount == ring.length && ring.length < capacity()) {
            growRing();
        }
        ring[slot(lastNumber)] = hash;
        retainedCount = Math.min(retainedCount + 1, ring.length);
    }

    private int slot(long number) {
        return (int) (number % ring.length);
    }

    private int capacity() {
        boolean isOldestNeeded = lastNumber - 1 - retainedCount >= neededAfter;
        return isOldestNeeded ? maxCapacity : usualCapacity;
    }

    /** Grows the ring before the purge with the last number is stored. */
    private void growRing() {
        long[] newRing = new long[Math.min(capacity(), Math.max(MIN_RING_LENGTH, ring.length * 2))];
        for (long number = lastNumber - retainedCount; number < lastNumber; number++) {
            newRing[(int) (number % newRing.length)] = ring[slot(number)];
        }
        ring = newRing;
    }

    /** Drops all purges and continues the numbering after the given number. */
    public void reset(long toNumber) {
        lastNumber = toNumber;
        retainedCount = 0;
    }

    /** Returns whether all purges after a number are retained. */
    public boolean retainsAfter(long number) {
        return number >= startNumber();
    }

    /**
     * Returns the first purges after a number, at most {@code maxCount}; empty if there are no later ones.
     *
     * @throws IllegalArgumentException if some of them are no longer {@linkplain #retainsAfter retained}
     */
    public Optional<PurgeBatch> batchAfter(long number, int maxCount) {
        int count = (int) Math.min(maxCount, lastNumber - number);
        if (count <= 0) {
            return Optional.empty();
        }
        if (!retainsAfter(number)) {
            throw new IllegalArgumentException(
                "purges after number " + number + " requested: the log retains only those after number "
                    + startNumber());
        }
        long[] hashes = new long[count];
        for (int i = 0; i < count; i++) {
            hashes[i] = ring[slot(number + 1 + i)];
        }
        return Optional.of(new PurgeBatch(number, hashes));
    }
}
