package spurroad.model;

/**
 * What staff are told of cache nodes.
 *
 * @param listed how many the list names, whatever it says of them
 * @param avoidedUntilNs of those that are avoided, by hand or by choice: until when; Long.MAX_VALUE where
 *     staff say
 */
public record Standings(int listed, long[] avoidedUntilNs) {
    /** How many are avoided at a time, in Unix nanoseconds. */
    public int avoided(long now) {
        int avoided = 0;
        for (long until : avoidedUntilNs) {
            avoided += until > now ? 1 : 0;
        }
        return avoided;
    }
}
