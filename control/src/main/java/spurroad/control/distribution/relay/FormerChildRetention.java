package spurroad.control.distribution.relay;

import spurroad.control.distribution.DistributionSettings;
import spurroad.control.distribution.publish.Publisher;
import spurroad.control.distribution.subscribe.Subscriber;

/**
 * Retains purges for children that leave a relay because the relay has lost its parent: when they return,
 * they lack the same purges as the relay. The purges that the relay has when it loses its parent, and all
 * later ones, are retained until some time after it has a parent again.
 */
final class FormerChildRetention {
    private static final long NEVER = Long.MAX_VALUE;
    /** Time for which former children can return after the relay has a parent again. */
    private static final long RETURN_TIMEOUT_NANOS = 60 * DistributionSettings.NANOS_PER_SECOND;

    private final Subscriber subscriber;
    private final Publisher publisher;
    private boolean wasAttached;
    private long endNanos = NEVER;

    FormerChildRetention(Subscriber subscriber, Publisher publisher) {
        this.subscriber = subscriber;
        this.publisher = publisher;
    }

    /**
     * Records whether the relay has a parent; must be called before and after every call that may change
     * this.
     */
    void update(long nowNanos) {
        boolean isAttached = subscriber.isAttached();
        if (!isAttached && wasAttached) {
            publisher.retainPurgesAfter(subscriber.purges().startNumber());
            endNanos = NEVER;
        } else if (isAttached && !wasAttached) {
            endNanos = nowNanos + RETURN_TIMEOUT_NANOS;
        } else if (isAttached && nowNanos >= endNanos) {
            publisher.retainPurgesAfter(Long.MAX_VALUE);
            endNanos = NEVER;
        }
        wasAttached = isAttached;
    }
}
