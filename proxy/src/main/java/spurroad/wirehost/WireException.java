package spurroad.wirehost;

/** Input that is not the wire's; the message is one line for people. */
public final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Tells what can't be read. */
    public WireException(String message) {
        super(message);
    }
}
