package spurroad.protocol;

import java.io.IOException;

/** Bytes that are not of the protocol; the connection that they came on can't be read any further. */
public final class ProtocolException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Tells what was expected and what came. */
    public ProtocolException(String message) {
        super(message);
    }
}
