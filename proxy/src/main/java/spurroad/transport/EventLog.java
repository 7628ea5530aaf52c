package spurroad.transport;

import java.lang.System.Logger.Level;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/**
 * Logs events as a fixed phrase, followed by {@code key=value} fields. At most one line per second is logged
 * for each phrase; the next line reports how many were suppressed. Thread-safe; callers never wait for a line
 * to be written.
 */
public final class EventLog {
    // faults recur, and people read no faster than this
    private static final long MIN_INTERVAL_NANOS = 1_000_000_000L;

    /** Admits at most one line per interval. */
    private static final class RateLimiter {
        private static final long SUPPRESSED = -1;

        private boolean hasLogged;
        private long lastLoggedNanos;
        private long suppressedCount;

        /** Returns how many lines were suppressed before this one, or SUPPRESSED if it is suppressed, too. */
        private synchronized long admit() {
            long now = System.nanoTime();
            if (hasLogged && now - lastLoggedNanos < MIN_INTERVAL_NANOS) {
                suppressedCount++;
                return SUPPRESSED;
            }
            long suppressedBefore = suppressedCount;
            suppressedCount = 0;
            lastLoggedNanos = now;
            hasLogged = true;
            return suppressedBefore;
        }
    }

    private final Map<String, RateLimiter> limiters = new ConcurrentHashMap<>();
    private final Consumer<String> debugSink; // null: debug lines go to the log of the process

    /** Creates a log whose lines go to the log of the process. */
    public EventLog() {
        this(null);
    }

    /**
     * Creates a log that has debug lines enabled and passes them to a consumer, on the thread that logs them.
     */
    public EventLog(Consumer<String> debugSink) {
        this.debugSink = debugSink;
    }

    /**
     * Logs an event that operators may want to see.
     *
     * @param event a fixed phrase, for which the rate of lines is limited
     * @param fields the values of this event, as {@code key=value} text
     */
    public void info(String event, Object fields) {
        log(Level.INFO, event, fields);
    }

    /** Logs an event that should not occur. The parameters are those of {@link #info}. */
    public void warn(String event, Object fields) {
        log(Level.WARNING, event, fields);
    }

    /** Returns whether debug lines are written; callers build their fields only then. */
    public boolean isDebugEnabled() {
        return debugSink != null || LogWriter.SHARED.isEnabled(Level.DEBUG);
    }

    /**
     * Logs an event for the diagnosis of single requests, without a limit on the rate of lines; does nothing
     * unless debug lines are enabled.
     */
    public void debug(String event, Object fields) {
        if (debugSink != null) {
            debugSink.accept(event + ": " + fields);
        } else if (isDebugEnabled()) {
            LogWriter.SHARED.add(Level.DEBUG, event + ": " + fields);
        }
    }

    /** Describes an exception in one line, with the code location that threw it. */
    public static String describe(Throwable e) {
        StackTraceElement[] trace = e.getStackTrace();
        return e + (trace.length > 0 ? " at " + trace[0] : "");
    }

    /** Waits until all lines are written or the timeout has passed; for a process that is about to exit. */
    public void flush(long timeoutMillis) {
        LogWriter.SHARED.flush(timeoutMillis);
    }

    private void log(Level level, String event, Object fields) {
        long suppressed = limiters.computeIfAbsent(event, newEvent -> new RateLimiter()).admit();
        if (suppressed != RateLimiter.SUPPRESSED) {
            String suffix = suppressed > 0 ? " suppressed=" + suppressed : "";
            LogWriter.SHARED.add(level, event + ": " + fields + suffix);
        }
    }
}
