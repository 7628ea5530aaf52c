package spurroad.control.distribution;

/**
 * Converts between the nanoseconds that a process uses for times and the milliseconds that messages use. Both
 * are readings of the same monotonic clock, whose origin has no meaning outside its process.
 */
public final class MonotonicTime {
    private MonotonicTime() {}

    /** Converts a time or duration to milliseconds, rounded towards zero. */
    public static long toMillis(long nanos) {
        return nanos / DistributionSettings.NANOS_PER_MILLISECOND;
    }

    /** Converts a time or duration to nanoseconds; overflows beyond 292 years. */
    public static long toNanos(long millis) {
        return millis * DistributionSettings.NANOS_PER_MILLISECOND;
    }
}
