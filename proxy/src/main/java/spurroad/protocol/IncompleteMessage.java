package spurroad.protocol;

import java.io.IOException;

/** Thrown if a message has not arrived completely; {@link ByteSource#message} catches it. */
final class IncompleteMessage extends IOException {
    static final IncompleteMessage INSTANCE = new IncompleteMessage();
    private static final long serialVersionUID = 1L;

    private IncompleteMessage() {
        super("message not yet complete");
    }

    /** Records no stack trace, as this exception is thrown often and does not signal an error. */
    @Override
    public synchronized Throwable fillInStackTrace() {
        return this;
    }
}
