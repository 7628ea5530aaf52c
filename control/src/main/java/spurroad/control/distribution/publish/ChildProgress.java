package spurroad.control.distribution.publish;

import java.util.Optional;
import spurroad.control.distribution.DistributionSettings;
import spurroad.control.distribution.message.Message.Acknowledgement;
import spurroad.control.distribution.message.Message.Heartbeat;
import spurroad.control.distribution.message.Message.Subscribe;
import spurroad.control.distribution.message.Message.Unsubscribe;
import spurroad.control.distribution.message.Message.Update;
import spurroad.control.distribution.state.ConfigurationUpdate;
import spurroad.control.distribution.state.Freshness;
import spurroad.control.distribution.state.PurgeUpdate;
import spurroad.control.distribution.state.Scope;

/** The progress of one child: the positions up to which it was sent updates and has acknowledged them. */
final class ChildProgress {
    private final Scope scope;
    private final UpdateWindow window;
    private boolean hasConfiguration;
    private Position sent;
    private Position acknowledged;
    private long latestSentAtMillis; // latest send time of the child's messages, by the child's clock

    /** Creates the progress of a child at the position that its subscription reports. */
    ChildProgress(DistributionSettings settings, long nowNanos, Subscribe request) {
        scope = request.scope();
        window = new UpdateWindow(settings, nowNanos);
        hasConfiguration = request.hasConfiguration();
        sent = new Position(request.configurationSequence(), request.purgeNumber());
        acknowledged = sent;
        latestSentAtMillis = request.sentAtMillis();
    }

    /** Returns the part of the configuration that the child uses. */
    Scope scope() {
        return scope;
    }

    /** Returns whether the child has a configuration or was sent one. */
    boolean hasConfiguration() {
        return hasConfiguration;
    }

    /** Returns the position that the child reaches once it has applied the updates that it was sent. */
    Position sent() {
        return sent;
    }

    /** Returns the position that the child has acknowledged. */
    Position acknowledged() {
        return acknowledged;
    }

    /** Skips purges: the next purge that is sent is the one after {@code purgeNumber}. */
    void skipPurgesTo(long purgeNumber) {
        sent = sent.withPurgeNumber(purgeNumber);
    }

    /** Handles an acknowledgement; ignores it if its update was never sent. */
    void onAcknowledgement(long nowNanos, Acknowledgement acknowledgement) {
        long updateNumber = acknowledgement.updateNumber();
        if (!window.wasSent(updateNumber)) {
            return;
        }
        latestSentAtMillis = Math.max(latestSentAtMillis, acknowledgement.sentAtMillis());
        window.onAcknowledgement(nowNanos, updateNumber);
        acknowledged = acknowledged.max(
            new Position(acknowledgement.configurationSequence(), acknowledgement.purgeNumber()));
        if (acknowledgement.hasGap() && window.isAfterRewind(updateNumber)) {
            sent = acknowledged;
            window.reopen(nowNanos);
        }
        sent = sent.max(acknowledged);
    }

    /** Returns whether an unsubscription refers to this subscription and not to an earlier one. */
    boolean isEndedBy(Unsubscribe message) {
        return message.sentAtMillis() >= latestSentAtMillis;
    }

    /** Returns whether the child has acknowledged nothing within a timeout. */
    boolean isTimedOut(long nowNanos, long timeoutNanos) {
        return window.isTimedOut(nowNanos, timeoutNanos);
    }

    /**
     * Returns whether an update may be sent now. Rewinds to the acknowledged position if the child has sent
     * no acknowledgement for too long.
     */
    boolean prepareUpdate(long nowNanos) {
        if (window.isOpen()) {
            return true;
        }
        if (!window.isResendDue(nowNanos)) {
            return false;
        }
        sent = acknowledged;
        window.reopenForOne(nowNanos);
        return true;
    }

    /**
     * Creates the next update and records it as sent.
     *
     * @param lastPurgeNumber number of the publisher's latest purge; an age is sent only if the child has
     *     been sent all purges
     */
    Update nextUpdate(Optional<ConfigurationUpdate> configuration, Optional<PurgeUpdate> purges,
                      Publisher.Status status, long lastPurgeNumber) {
        configuration.ifPresent(update -> sent = sent.withSequence(update.toSequence()));
        hasConfiguration |= configuration.isPresent();
        purges.ifPresent(update -> sent = sent.withPurgeNumber(update.toNumber()));
        boolean hasAllPurges = sent.purgeNumber() >= lastPurgeNumber;
        Heartbeat heartbeat = new Heartbeat(status.term(), sent.sequence(), sent.purgeNumber(),
            hasAllPurges ? status.ageMillis() : Freshness.UNKNOWN_AGE_MILLIS, latestSentAtMillis,
            status.isConnected());
        return new Update(window.recordSent(), heartbeat, configuration, purges);
    }
}
