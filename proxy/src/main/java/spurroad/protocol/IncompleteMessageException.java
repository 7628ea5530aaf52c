package spurroad.protocol;

import java.io.IOException;

/** Thrown if a message has not arrived completely; {@link ByteSource#readMessage} catches it. */
final class IncompleteMessageException extends IOException {
    static final IncompleteMessageException INSTANCE = new IncompleteMessageException();
    private static final long serialVersionUID = 1L;

    private IncompleteMessageException() {
        super("message not yet complete");
    }

    /** Records no stack trace, as this exception is thrown often and does not signal an error. */
    @Override
    public synchronized Throwable fillInStackTrace() {
        return this;
    }
}
