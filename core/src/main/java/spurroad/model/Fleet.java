package spurroad.model;

/**
 * Where a proxy stands among those of its deployment.
 *
 * @param zone its own place, or null where it is not told
 * @param index its number among the proxies, from 0
 * @param proxies how many there are
 * @param peers whether proxies may send one another messages
 */
public record Fleet(ZoneId zone, int index, int proxies, boolean peers) {
    /** A proxy that knows of no others and of no place. */
    public static final Fleet ALONE = new Fleet(null, 0, 1, false);

    /** Which proxy hears all there is of a node or a customer; the proxy itself where they don't talk. */
    public int keeper(long subject) {
        long spread = subject * 0x9e3779b97f4a7c15L; // neighbouring numbers to different proxies
        return peers ? (int) Long.remainderUnsigned(spread >>> 32, proxies) : index;
    }
}
