package spurroad.control.distribution.subscribe;

import spurroad.control.distribution.DistributionSettings;
import spurroad.control.distribution.ProcessId;

/**
 * The link to the parent, or to the candidate that was sent a subscription: its state, and the times at which
 * it counts as lost or is abandoned to search for a preferred parent. {@link #parent} is null exactly while
 * the link is {@link LinkState#SEARCHING}. Times are nanoseconds of a monotonic clock.
 */
final class ParentLink {
    /** Stands for a missing time or duration. */
    static final long NEVER = Long.MAX_VALUE;

    private final DistributionSettings settings;
    private LinkState state = LinkState.SEARCHING;
    private ProcessId parent;
    private long lastContactNanos; // time of the latest update, or of the subscription
    private long detachedSinceNanos = NEVER; // since when the parent itself has no parent
    private long returnNanos = NEVER; // when to search for a preferred parent

    ParentLink(DistributionSettings settings) {
        this.settings = settings;
    }

    boolean isSearching() {
        return state == LinkState.SEARCHING;
    }

    boolean isAttached() {
        return state == LinkState.ATTACHED;
    }

    /** Returns the parent, or the candidate that was sent a subscription; null while searching. */
    ProcessId parent() {
        return parent;
    }

    /** Detaches from the parent, if there is one. */
    void search() {
        become(LinkState.SEARCHING);
        parent = null;
    }

    /** Records that a subscription was sent to a candidate. */
    void request(long nowNanos, ProcessId candidate) {
        become(LinkState.SUBSCRIBING);
        parent = candidate;
        lastContactNanos = nowNanos;
        detachedSinceNanos = NEVER;
    }

    /**
     * Records that the candidate has accepted the subscription.
     *
     * @param returnDelayNanos delay before searching for a preferred parent, or {@link #NEVER} if this parent
     *     is preferred
     */
    void attach(long nowNanos, long returnDelayNanos) {
        become(LinkState.ATTACHED);
        detachedSinceNanos = NEVER;
        returnNanos = returnDelayNanos == NEVER ? NEVER : nowNanos + returnDelayNanos;
    }

    /** Records an update from the parent, and whether the parent itself has a parent. */
    void onUpdate(long nowNanos, boolean isParentConnected) {
        lastContactNanos = nowNanos;
        detachedSinceNanos = isParentConnected ? NEVER : Math.min(detachedSinceNanos, nowNanos);
    }

    /** Returns whether the parent has sent no update, or has itself had no parent, for too long. */
    boolean isLost(long nowNanos, long requestTimeoutNanos) {
        long timeoutNanos = isAttached() ? settings.parentTimeoutNanos : requestTimeoutNanos;
        return !isSearching() && (nowNanos - lastContactNanos >= timeoutNanos
            || nowNanos >= detachedDeadlineNanos());
    }

    /** Returns whether it is time to search for a preferred parent. */
    boolean isReturnDue(long nowNanos) {
        return isAttached() && nowNanos >= returnNanos;
    }

    /**
     * Returns the earliest time at which the link may count as lost or is abandoned to search for a preferred
     * parent, in nanoseconds; must not be called while searching.
     */
    long deadlineNanos(long requestTimeoutNanos) {
        return isAttached()
            ? Math.min(returnNanos,
                Math.min(lastContactNanos + settings.parentTimeoutNanos, detachedDeadlineNanos()))
            : lastContactNanos + requestTimeoutNanos;
    }

    private long detachedDeadlineNanos() {
        return detachedSinceNanos == NEVER ? NEVER : detachedSinceNanos + settings.detachedTimeoutNanos;
    }

    private void become(LinkState next) {
        if (!state.canBecome(next)) {
            throw new IllegalStateException(
                "no transition of a parent link from state " + state + " to " + next);
        }
        state = next;
    }
}
