package spurroad.control.distribution.state;

import spurroad.control.distribution.MonotonicTime;

/**
 * Tracks the time up to which a process has received everything that the core committed, and whether that
 * time is recent enough to serve stored responses as fresh. A publisher reports the age of its own state, and
 * echoes the send time of the latest message from the subscriber. As the report was sent after that time, the
 * age is counted from there. This overstates the age by at most a round trip plus the time between two
 * updates, and never understates it. Clocks must run at the same rate, but need not be synchronized.
 *
 * <p>Source: Gray and Cheriton, "Leases" (1989), for counting from the time of the request.
 *
 * <p>Not thread-safe. Times are nanoseconds of a monotonic clock of this process.
 */
public final class Freshness {
    /** Value of an age in milliseconds that stands for an unknown age. */
    public static final long UNKNOWN_AGE_MILLIS = -1;

    private static final long NEVER = Long.MIN_VALUE;
    /** Maximum age that a report may have, one day; a report of a greater age is ignored. */
    private static final long MAX_AGE_MILLIS = 86_400_000;

    private final long leaseNanos;
    private long completeUpToNanos = NEVER;

    /**
     * Creates the freshness of a process that has received nothing yet.
     *
     * @param leaseNanos maximum age of the state for which stored responses count as fresh
     */
    public Freshness(long leaseNanos) {
        this.leaseNanos = leaseNanos;
    }

    /** Records that everything committed up to the given time was received; earlier times have no effect. */
    public void advanceTo(long timeNanos) {
        completeUpToNanos = Math.max(completeUpToNanos, timeNanos);
    }

    /**
     * Handles a publisher's report. Ignores it if the age is unknown or over a day, or if the echoed time is
     * in the future.
     *
     * @param echoMillis time of this process's clock that the publisher echoed
     * @param ageMillis age of the publisher's state; negative if unknown
     */
    public void onReport(long nowNanos, long echoMillis, long ageMillis) {
        boolean isAgeUsable = ageMillis >= 0 && ageMillis <= MAX_AGE_MILLIS;
        if (isAgeUsable && echoMillis <= MonotonicTime.toMillis(nowNanos)) {
            advanceTo(MonotonicTime.toNanos(echoMillis - ageMillis));
        }
    }

    /**
     * Returns whether stored responses may be served as fresh: all purges that are older than the lease were
     * received.
     */
    public boolean isFresh(long nowNanos) {
        return completeUpToNanos != NEVER && nowNanos - completeUpToNanos < leaseNanos;
    }

    /**
     * Returns the age of the state in milliseconds, rounded up; {@link #UNKNOWN_AGE_MILLIS} before the first
     * report.
     */
    public long ageMillis(long nowNanos) {
        if (completeUpToNanos == NEVER) {
            return UNKNOWN_AGE_MILLIS;
        }
        long ageNanos = Math.max(0, nowNanos - completeUpToNanos);
        return MonotonicTime.toMillis(ageNanos + MonotonicTime.toNanos(1) - 1);
    }
}
