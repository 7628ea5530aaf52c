package spurroad.testbed.model;

/**
 * The response of a cache node or the origin to one execution.
 *
 * @param kind how the execution ended
 * @param version the version of the value, which grows with each write of its key
 * @param bytes the length of the value
 * @param inFlight the load that the server reports, which may be outdated
 * @param spoilt how the response is corrupted on its way: 0 for not at all, else from 1 to
 *     {@link #CORRUPTIONS}
 */
public record Reply(Kind kind, int version, int bytes, int inFlight, int spoilt) {
    /** How an execution ended. */
    public enum Kind {
        /** A read returned a value. */
        VALUE,
        /** A write was done. */
        RECEIPT,
        /** The cache node holds no valid copy. */
        MISS,
        /** The server's queue is full; the execution did not run. */
        BUSY,
        /** The execution failed and may have run. */
        FAILED
    }

    /** How many ways there are to corrupt a response. */
    static final int CORRUPTIONS = 4;

    Reply corrupted(int corruption) {
        return new Reply(kind, version, bytes, inFlight, corruption);
    }
}
