package spurroad.control.distribution.state;

import java.util.Arrays;

/**
 * Purges with the numbers {@code (fromNumber, fromNumber + hashes.length]}. The array is not copied and must
 * not be modified.
 *
 * @param fromNumber number of the last purge before this batch
 * @param hashes 64-bit hashes of the purged keys
 */
public record PurgeBatch(long fromNumber, long[] hashes) implements PurgeUpdate {
    /**
     * Validates that there is at least one hash, and that the numbers are not negative and do not overflow.
     */
    public PurgeBatch {
        if (fromNumber < 0 || hashes.length == 0 || fromNumber > Long.MAX_VALUE - hashes.length) {
            throw new IllegalArgumentException(
                "purge batch: expected fromNumber >= 0, at least 1 hash and no overflow; got fromNumber "
                    + fromNumber
                    + ", hash count " + hashes.length);
        }
    }

    @Override
    public long toNumber() {
        return fromNumber + hashes.length;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof PurgeBatch batch && batch.fromNumber == fromNumber
            && Arrays.equals(batch.hashes, hashes);
    }

    @Override
    public int hashCode() {
        return Long.hashCode(fromNumber) * 31 + Arrays.hashCode(hashes);
    }
}
