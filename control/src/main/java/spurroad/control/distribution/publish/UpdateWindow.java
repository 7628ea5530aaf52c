package spurroad.control.distribution.publish;

import spurroad.control.distribution.DistributionSettings;

/**
 * Flow control for one child: bounds the number of unacknowledged updates, and determines when they are
 * assumed to be lost. Updates are numbered from 1. Times are nanoseconds of the publisher's clock.
 */
final class UpdateWindow {
    private final int maxUnacknowledged;
    private final long resendTimeoutNanos;
    private long sentCount;
    private long acknowledgedCount;
    private long rewoundAtCount; // number of updates sent before the latest rewind
    private long rewoundNanos;
    private long lastAcknowledgementNanos; // the time of the subscription before the first acknowledgement

    /** Opens a window for a child whose subscription was just received. */
    UpdateWindow(DistributionSettings settings, long nowNanos) {
        maxUnacknowledged = settings.maxUnacknowledgedUpdates;
        resendTimeoutNanos = settings.resendTimeoutNanos;
        lastAcknowledgementNanos = nowNanos;
    }

    /** Records that an update is sent; returns its number. */
    long recordSent() {
        sentCount++;
        return sentCount;
    }

    /** Returns whether an update with the given number was sent. */
    boolean wasSent(long updateNumber) {
        return updateNumber <= sentCount;
    }

    /**
     * Returns whether an update was sent after the latest rewind, so that a gap reported for it is a new gap.
     */
    boolean isAfterRewind(long updateNumber) {
        return updateNumber > rewoundAtCount;
    }

    /** Handles an acknowledgement of an update that was sent. */
    void onAcknowledgement(long nowNanos, long updateNumber) {
        lastAcknowledgementNanos = nowNanos;
        acknowledgedCount = Math.max(acknowledgedCount, updateNumber);
    }

    /** Returns whether another update may be sent. */
    boolean isOpen() {
        return sentCount - acknowledgedCount < maxUnacknowledged;
    }

    /**
     * Returns whether no acknowledgement was received for so long that the unacknowledged updates are assumed
     * to be lost.
     */
    boolean isResendDue(long nowNanos) {
        return nowNanos - Math.max(lastAcknowledgementNanos, rewoundNanos) >= resendTimeoutNanos;
    }

    /** Records that all unacknowledged updates are sent again, and opens the window completely. */
    void reopen(long nowNanos) {
        rewind(nowNanos);
        acknowledgedCount = sentCount;
    }

    /** Records that all unacknowledged updates are sent again, and opens the window for one update. */
    void reopenForOne(long nowNanos) {
        rewind(nowNanos);
        acknowledgedCount = sentCount - maxUnacknowledged + 1;
    }

    private void rewind(long nowNanos) {
        rewoundAtCount = sentCount;
        rewoundNanos = nowNanos;
    }

    /** Returns whether the child has acknowledged nothing within a timeout. */
    boolean isTimedOut(long nowNanos, long timeoutNanos) {
        return nowNanos - lastAcknowledgementNanos >= timeoutNanos;
    }
}
