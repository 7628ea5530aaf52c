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
    public static final double CREDIT_PER_ATTEMPT = 24;
    /** Minimum interval between two broadcasts of the same value, in nanoseconds. */
    public static final long MIN_INTERVAL_NANOS = 200_000_000L;

    private final long minimumIntervalNanos;
    private double credit;
    private long lastSpentNanos;

    /**
     * Creates a budget.
     *
     * @param credit initial credit, in messages
     * @param minimumIntervalNanos interval that must be exceeded between two updates; negative if only the
     *     credit limits them
     */
    public UpdateBudget(double credit, long minimumIntervalNanos) {
        this.credit = credit;
        this.minimumIntervalNanos = minimumIntervalNanos;
    }

    /** Adds credit, in messages. */
    public void earn(double messages) {
        credit += messages;
    }

    /**
     * Returns whether the credit suffices for an update to a number of proxies and the minimum interval has
     * passed; all credit is then spent.
     */
    public boolean trySpend(long now, int recipients) {
        if (credit < recipients || now - lastSpentNanos <= minimumIntervalNanos) {
            return false;
        }
        credit = 0;
        lastSpentNanos = now;
        return true;
    }
}
