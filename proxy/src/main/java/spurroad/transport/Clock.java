package spurroad.transport;

/** Unix time in nanoseconds that never goes back: the system's monotonic clock, anchored once at start. */
public final class Clock {
    private static final long NS_PER_MS = 1_000_000L; // ns; the wall clock is read in milliseconds
    private final long anchor = System.currentTimeMillis() * NS_PER_MS - System.nanoTime();

    /** Nanoseconds; never goes back. */
    public long now() {
        return anchor + System.nanoTime();
    }
}
