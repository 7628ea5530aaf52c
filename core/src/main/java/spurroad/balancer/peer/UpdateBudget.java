package spurroad.balancer.peer;

/**
 * Limits the broadcasts of an owner by credit, which it earns with the updates that it receives.
 *
 * <p>A broadcast costs one message per proxy. As credit is earned only with received messages, the number of
 * messages in the whole fleet stays bounded by its requests, regardless of the number of proxies. One
 * broadcast spends all the credit saved.
 */
public final class UpdateBudget {
    /** Credit in messages that an endpoint's owner earns per attempt, and the origin's owner per write. */
    public static final double EARNED_PER_ATTEMPT = 24;
    /** Minimum interval between two broadcasts of the same value, in nanoseconds. */
    public static final long MIN_INTERVAL_NANOS = 200_000_000L;

    private final long minimumIntervalNanos;
    private double earned;
    private long spentNanos;

    /**
     * Creates a budget.
     *
     * @param earned initial credit, in messages
     * @param minimumIntervalNanos interval that must be exceeded between two updates; negative if only the
     *     credit limits them
     */
    public UpdateBudget(double earned, long minimumIntervalNanos) {
        this.earned = earned;
        this.minimumIntervalNanos = minimumIntervalNanos;
    }

    /** Adds credit, in messages. */
    public void earn(double messages) {
        earned += messages;
    }

    /**
     * Returns whether the credit suffices for an update to a number of proxies and the minimum interval has
     * passed; all credit is then spent.
     */
    public boolean trySpend(long now, int recipients) {
        if (earned < recipients || now - spentNanos <= minimumIntervalNanos) {
            return false;
        }
        earned = 0;
        spentNanos = now;
        return true;
    }
}
