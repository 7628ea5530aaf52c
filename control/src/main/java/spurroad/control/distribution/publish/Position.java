package spurroad.control.distribution.publish;

/**
 * A position in the sequences of configuration changes and of purges.
 *
 * @param sequence number of the latest configuration change
 * @param purgeNumber number of the latest purge; negative for a subscriber without purges
 */
record Position(long sequence, long purgeNumber) {
    /** Returns the position with the larger sequence and the larger purge number of the two positions. */
    Position max(Position other) {
        return new Position(Math.max(sequence, other.sequence), Math.max(purgeNumber, other.purgeNumber));
    }

    Position withSequence(long newSequence) {
        return new Position(newSequence, purgeNumber);
    }

    Position withPurgeNumber(long newPurgeNumber) {
        return new Position(sequence, newPurgeNumber);
    }
}
