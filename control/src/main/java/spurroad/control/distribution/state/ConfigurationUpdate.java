package spurroad.control.distribution.state;

import java.util.List;

/** An update that advances the configuration of a subscriber: a delta of changes, or the complete state. */
public sealed interface ConfigurationUpdate permits ConfigurationUpdate.Delta, ConfigurationUpdate.Snapshot {
    /** Returns the sequence number that a subscriber reaches by applying this update. */
    long toSequence();

    /** Returns the entries of this update, in the order of sequence numbers. */
    List<ConfigurationEntry> entries();

    /**
     * The changes of a scope in the range {@code (fromSequence, toSequence]}, coalesced to the latest change
     * of each resource.
     */
    record Delta(long fromSequence, long toSequence,
                 List<ConfigurationEntry> entries)
        implements
            ConfigurationUpdate {
        /** Validates that the range is not empty, and that entries are in ascending order within it. */
        public Delta {
            if (fromSequence < 0 || toSequence <= fromSequence) {
                throw new IllegalArgumentException(
                    "delta: expected 0 <= from < to, got from " + fromSequence + " to " + toSequence);
            }
            requireOrder(entries, fromSequence, toSequence);
            entries = List.copyOf(entries);
        }
    }

    /** The complete state of a scope at a sequence number, without removals. */
    record Snapshot(long toSequence, List<ConfigurationEntry> entries) implements ConfigurationUpdate {
        /**
         * Validates that entries are in ascending order up to the sequence number, and contain no removal.
         */
        public Snapshot {
            requireOrder(entries, 0, toSequence);
            for (ConfigurationEntry entry : entries) {
                if (entry.isRemoval()) {
                    throw new IllegalArgumentException(
                        "snapshot contains a removal, expected values only: " + entry.key());
                }
            }
            entries = List.copyOf(entries);
        }
    }

    private static void requireOrder(List<ConfigurationEntry> entries, long after, long last) {
        long previous = after;
        for (ConfigurationEntry entry : entries) {
            if (entry.sequence() <= previous || entry.sequence() > last) {
                throw new IllegalArgumentException(
                    "entry with sequence number " + entry.sequence() + ": expected over " + previous
                        + " and up to "
                        + last);
            }
            previous = entry.sequence();
        }
    }
}
