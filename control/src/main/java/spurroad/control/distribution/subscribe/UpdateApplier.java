package spurroad.control.distribution.subscribe;

import spurroad.control.distribution.message.Message.Heartbeat;
import spurroad.control.distribution.message.Message.Subscribe;
import spurroad.control.distribution.message.Message.Update;
import spurroad.control.distribution.state.ConfigurationState;
import spurroad.control.distribution.state.Freshness;
import spurroad.control.distribution.state.PurgeBatch;
import spurroad.control.distribution.state.PurgeLog;
import spurroad.control.distribution.state.PurgeUpdate;
import spurroad.control.distribution.state.StateListener;

/**
 * Applies updates to the state of a subscriber, each change and purge once and in order. An update of an
 * earlier term than the latest applied one is ignored, because its publisher is behind.
 */
final class UpdateApplier {
    private final ConfigurationState configuration;
    private final PurgeLog purges;
    private final Freshness freshness;
    private final StateListener listener;
    private long term;
    private boolean hasPurges;

    UpdateApplier(ConfigurationState configuration, PurgeLog purges, Freshness freshness,
                  StateListener listener) {
        this.configuration = configuration;
        this.purges = purges;
        this.freshness = freshness;
        this.listener = listener;
    }

    /** Returns the latest term of the core from which an update was applied without a gap. */
    long term() {
        return term;
    }

    /**
     * Returns the number of the last applied purge, or {@link Subscribe#NO_PURGE_NUMBER} before the first.
     */
    long purgeNumber() {
        return hasPurges ? purges.lastNumber() : Subscribe.NO_PURGE_NUMBER;
    }

    /**
     * Applies an update; returns whether there is a gap, that is, whether changes or purges are missing that
     * the heartbeat assumes to be applied.
     */
    boolean apply(long nowNanos, Update update) {
        Heartbeat heartbeat = update.heartbeat();
        if (heartbeat.term() < term) {
            return false;
        }
        update.configuration()
            .ifPresent(change -> configuration.apply(change, listener::onConfigurationChange));
        update.purges().ifPresent(this::applyPurges);
        boolean hasGap = configuration.sequence() < heartbeat.configurationSequence()
            || purges.lastNumber() < heartbeat.purgeNumber();
        if (!hasGap) {
            term = heartbeat.term();
            freshness.onReport(nowNanos, heartbeat.echoMillis(), heartbeat.ageMillis());
        }
        return hasGap;
    }

    private void applyPurges(PurgeUpdate update) {
        if (update instanceof PurgeBatch batch) {
            appendPurges(batch);
        } else {
            resetPurges((PurgeUpdate.Reset) update);
        }
    }

    private void appendPurges(PurgeBatch batch) {
        long previousNumber = purges.lastNumber();
        if (purges.append(batch) > 0) {
            hasPurges = true;
            listener.onPurges(batch, previousNumber);
        }
    }

    private void resetPurges(PurgeUpdate.Reset reset) {
        long toNumber = reset.toNumber();
        if (!hasPurges || toNumber > purges.lastNumber()) {
            purges.reset(toNumber);
            listener.onPurgeReset(toNumber);
            hasPurges = true;
        }
    }
}
