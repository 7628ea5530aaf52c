package spurroad.program;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers while the process shuts down, so that the graceful shutdown is logged
 * too.
 */
public final class ShutdownSafeLogManager extends LogManager {
    /** Does nothing, as the shutdown hook of the standard library calls this to remove all handlers. */
    @Override
    public void reset() {}
}
