package spurroad.control.distribution.codec;

/** Thrown for bytes that are not a valid message; no part of them may be used. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1;

    /** Creates an exception for bytes that can't be decoded. */
    public MalformedMessageException(String reason) {
        super(reason);
    }

    /** Creates an exception for fields that can be decoded but are invalid or inconsistent. */
    public MalformedMessageException(String reason, Throwable cause) {
        super(reason, cause);
    }
}
