package spurroad.simulator;

/** Thrown for input that violates the simulator's wire format and for invalid settings of an instance. */
public final class WireFormatException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message is one human-readable line. */
    public WireFormatException(String message) {
        super(message);
    }
}
