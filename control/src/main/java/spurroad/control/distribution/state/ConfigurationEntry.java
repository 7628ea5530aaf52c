package spurroad.control.distribution.state;

import java.util.Arrays;
import java.util.Objects;

/**
 * One committed change of one resource. The value is not copied and must not be modified.
 *
 * @param sequence sequence number of the change, starting at 1, the same at every process
 * @param key the changed resource
 * @param value the new value; null if the resource was removed
 */
public record ConfigurationEntry(long sequence, ResourceKey key, byte[] value) {
    /** Validates that the key is not null and the sequence number is 1 or more. */
    public ConfigurationEntry {
        Objects.requireNonNull(key);
        if (sequence < 1) {
            throw new IllegalArgumentException(
                "entry with sequence number " + sequence + ": expected 1 or more");
        }
    }

    /** Returns whether the change removes the resource. */
    public boolean isRemoval() {
        return value == null;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ConfigurationEntry entry && entry.sequence == sequence
            && entry.key.equals(key)
            && Arrays.equals(entry.value, value);
    }

    @Override
    public int hashCode() {
        return Long.hashCode(sequence) * 31 + key.hashCode();
    }
}
