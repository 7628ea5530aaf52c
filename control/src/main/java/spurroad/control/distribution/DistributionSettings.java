package spurroad.control.distribution;

/**
 * Durations and limits of the distribution, which must be the same at all processes of a fleet. Durations are
 * in nanoseconds. Immutable.
 */
public final class DistributionSettings {
    /** Number of nanoseconds in a millisecond. */
    public static final long NANOS_PER_MILLISECOND = 1_000_000;
    /** Number of nanoseconds in a second. */
    public static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLISECOND;

    // ---- links

    /**
     * Interval at which a publisher sends each child an update: new changes and purges, or a bare heartbeat.
     */
    public final long flushIntervalNanos = 250 * NANOS_PER_MILLISECOND;
    /** Time without an update after which a parent counts as lost: four heartbeats. */
    public final long parentTimeoutNanos = 1_200 * NANOS_PER_MILLISECOND;
    /** Timeout for the reply to a request: longer than a round trip to the other side of the globe. */
    public final long requestTimeoutNanos = 450 * NANOS_PER_MILLISECOND;
    /** Time after which a subscriber detaches from a parent that has no parent itself. */
    public final long detachedTimeoutNanos = 700 * NANOS_PER_MILLISECOND;
    /** Time without an acknowledgement after which updates are sent again. */
    public final long resendTimeoutNanos = NANOS_PER_SECOND;
    /** Time without a message after which a child is dropped. */
    public final long childTimeoutNanos = 5 * NANOS_PER_SECOND;
    /**
     * Interval at which a subscriber whose parent is not a preferred one searches for a preferred parent;
     * random jitter extends it to at most twice that.
     */
    public final long returnIntervalNanos = 10 * NANOS_PER_SECOND;
    /**
     * Maximum number of unacknowledged updates to a child: those of a round trip around the globe, and one
     * late update.
     */
    public final int maxUnacknowledgedUpdates = 3;
    /** Maximum number of purges in one update: 32 KiB, so that a child that catches up receives 128 KiB/s. */
    public final int maxPurgesPerUpdate = 4_096;

    // ---- children of one publisher

    /** Maximum number of children of a publisher. */
    public final int maxChildren = 600;
    /** Average number of new children that a publisher accepts per second. */
    public final int admissionsPerSecond = 200;
    /** Maximum number of new children that a publisher accepts in a burst. */
    public final int admissionBurst = 40;

    // ---- retained for processes that are behind

    /** Retained changes of the configuration: an hour and a half of changes at 54,000 a day. */
    public final int configurationLogCapacity = 4_096;
    /** Purges that a relay always retains: 18 s of purges at 450/s. */
    public final int usualPurgeLogCapacity = 8_192;
    /** Maximum number of purges retained while a process needs them: over an hour at 450/s; 16 MiB. */
    public final int maxPurgeLogCapacity = 1 << 21;
    /** Retained entries of the replicated log. */
    public final int replicatedLogCapacity = 8_192;

    // ---- leases

    /**
     * How long a process may serve stored responses as fresh without information about later purges: the 7 s
     * within which a purge must take effect, less the time to apply it.
     */
    public final long freshnessLeaseNanos = 6_500 * NANOS_PER_MILLISECOND;
    /** Duration of a relay lease. */
    public final long leaseDurationNanos = 3 * NANOS_PER_SECOND;
    /** Interval at which a relay lease is requested or renewed. */
    public final long leaseIntervalNanos = NANOS_PER_SECOND;

    // ---- replicated log

    /** Interval at which a leader sends each follower entries or a heartbeat. */
    public final long heartbeatIntervalNanos = 100 * NANOS_PER_MILLISECOND;
    /** Time without a leader after which the replica with the first rank stands for election. */
    public final long electionTimeoutNanos = 450 * NANOS_PER_MILLISECOND;
    /** Additional election delay per rank, so that split votes are rare. */
    public final long electionStaggerNanos = 100 * NANOS_PER_MILLISECOND;
    /** Maximum number of log entries in one message. */
    public final int maxEntriesPerAppend = 512;
}
