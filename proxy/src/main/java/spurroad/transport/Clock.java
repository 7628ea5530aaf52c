package spurroad.transport;

/**
 * Unix time in nanoseconds that never goes back: the system's monotonic clock plus its offset from the wall
 * clock, which is determined once at construction. Thread-safe.
 */
public final class Clock {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final long offsetNanos = System.currentTimeMillis() * NANOS_PER_MILLI - System.nanoTime();

    /** Returns the current time in Unix nanoseconds. */
    public long now() {
        return offsetNanos + System.nanoTime();
    }
}
