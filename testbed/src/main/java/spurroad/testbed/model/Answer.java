package spurroad.testbed.model;

/**
 * The response of a proxy to an attempt.
 *
 * @param kind how the attempt ended
 * @param retryAfterNanos how long a rejected client was asked to wait before it retries; else 0
 * @param madeForId the id that the server put into the value or receipt; empty if there is none
 * @param version the version of a value; else 0
 */
public record Answer(Kind kind, long retryAfterNanos, String madeForId, int version) {
    /** How an attempt ended. */
    public enum Kind {
        /** A read was served with a value. */
        VALUE,
        /** A write was acknowledged. */
        RECEIPT,
        /** The attempt did not run; a retry is safe. */
        REJECTED,
        /** The attempt failed and may have run. */
        FAILED
    }

    /** Returns whether the client got what it asked for. */
    public boolean served() {
        return kind == Kind.VALUE || kind == Kind.RECEIPT;
    }
}
