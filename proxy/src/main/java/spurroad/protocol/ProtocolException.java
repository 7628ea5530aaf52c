package spurroad.protocol;

import java.io.IOException;

/** Thrown on malformed input; nothing more can be read from the connection that it came from. */
public final class ProtocolException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message says what was read or what was expected. */
    public ProtocolException(String message) {
        super(message);
    }
}
