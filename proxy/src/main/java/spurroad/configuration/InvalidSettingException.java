package spurroad.configuration;

/** Thrown if a setting is missing or invalid; the message is one line that names the key. */
public final class InvalidSettingException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a line that names the key and says what is wrong with its value. */
    public InvalidSettingException(String message) {
        super(message);
    }
}
