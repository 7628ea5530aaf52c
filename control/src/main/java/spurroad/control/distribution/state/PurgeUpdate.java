package spurroad.control.distribution.state;

/** An update that advances the purges of a subscriber: the purges themselves, or a reset. */
public sealed interface PurgeUpdate permits PurgeBatch, PurgeUpdate.Reset {
    /** Returns the number of the latest purge that a subscriber reaches by applying this update. */
    long toNumber();

    /**
     * Replaces purges that the publisher no longer retains: no response that was stored before the purge with
     * the given number may be served as fresh.
     */
    record Reset(long toNumber) implements PurgeUpdate {
        /** Validates that the number is 0 or more. */
        public Reset {
            if (toNumber < 0) {
                throw new IllegalArgumentException(
                    "purge reset: expected a number of 0 or more, got " + toNumber);
            }
        }
    }
}
