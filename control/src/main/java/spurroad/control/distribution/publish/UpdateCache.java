package spurroad.control.distribution.publish;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import spurroad.control.distribution.state.ConfigurationState;
import spurroad.control.distribution.state.ConfigurationUpdate;
import spurroad.control.distribution.state.PurgeBatch;
import spurroad.control.distribution.state.PurgeLog;
import spurroad.control.distribution.state.PurgeUpdate;
import spurroad.control.distribution.state.Scope;

/**
 * Creates updates from the current state and caches them: an update for one child is reused for all other
 * children at the same position, until the state changes.
 */
final class UpdateCache {
    private record ConfigurationKey(long afterSequence, boolean hasConfiguration, Scope scope) {}

    private final ConfigurationState configuration;
    private final PurgeLog purges;
    private final int maxPurgesPerUpdate;
    private final Map<ConfigurationKey, Optional<ConfigurationUpdate>> configurationUpdates = new HashMap<>();
    private final Map<Long, PurgeBatch> purgeBatches = new HashMap<>();
    private long cachedSequence;
    private long cachedPurgeNumber;

    UpdateCache(ConfigurationState configuration, PurgeLog purges, int maxPurgesPerUpdate) {
        this.configuration = configuration;
        this.purges = purges;
        this.maxPurgesPerUpdate = maxPurgesPerUpdate;
    }

    /** Returns the configuration to send to a child next, or empty if it was sent all of it. */
    Optional<ConfigurationUpdate> configurationFor(ChildProgress child) {
        if (cachedSequence != configuration.sequence()) {
            configurationUpdates.clear();
            cachedSequence = configuration.sequence();
        }
        long afterSequence = child.sent().sequence();
        if (child.hasConfiguration() && afterSequence >= configuration.sequence()) {
            return Optional.empty();
        }
        return configurationUpdates.computeIfAbsent(
            new ConfigurationKey(afterSequence, child.hasConfiguration(), child.scope()),
            key -> configuration.updateAfter(key.afterSequence(), key.hasConfiguration(), key.scope()));
    }

    /** Returns the purges or the reset to send to a child next, or empty if it was sent all purges. */
    Optional<PurgeUpdate> purgesFor(ChildProgress child) {
        if (cachedPurgeNumber != purges.lastNumber()) {
            purgeBatches.clear();
            cachedPurgeNumber = purges.lastNumber();
        }
        long afterNumber = child.sent().purgeNumber();
        if (afterNumber >= purges.lastNumber()) {
            return Optional.empty();
        }
        if (!purges.retainsAfter(afterNumber)) {
            return Optional.of(new PurgeUpdate.Reset(purges.lastNumber()));
        }
        return Optional.of(purgeBatches.computeIfAbsent(afterNumber,
            number -> purges.batchAfter(number, maxPurgesPerUpdate).orElseThrow()));
    }
}
