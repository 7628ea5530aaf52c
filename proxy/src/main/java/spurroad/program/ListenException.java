package spurroad.program;

import java.io.IOException;

/** Thrown if a listening socket can't be opened; the message names the address and the cause in one line. */
final class ListenException extends IOException {
    private static final long serialVersionUID = 1L;

    ListenException(Object address, IOException cause) {
        super("can't listen at " + address + ": " + cause.getMessage(), cause);
    }
}
