package spurroad.control.distribution.state;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import spurroad.control.distribution.state.ConfigurationUpdate.Delta;
import spurroad.control.distribution.state.ConfigurationUpdate.Snapshot;

/**
 * The configuration at one process: the state after all changes up to a sequence number, and a bounded log of
 * the latest changes, from which other processes catch up. The state never regresses: an older update is
 * ignored, and an update that would leave a gap is rejected.
 *
 * <p>Not thread-safe.
 */
public final class ConfigurationState {
    /** The result of applying an update. */
    public enum Result {
        /** The update has advanced the state. */
        APPLIED,
        /** The state already includes everything in the update. */
        ALREADY_APPLIED,
        /** Changes before the update are missing; none of its entries was applied. */
        GAP
    }

    private final Map<ResourceKey, ConfigurationEntry> entries = new HashMap<>();
    private final ChangeLog log;
    private long sequence;
    private boolean initialized;

    /**
     * Creates the state at sequence number 0, which is empty.
     *
     * @param logCapacity number of changes to retain for other processes; 0 if no process catches up from
     *     this one
     */
    public ConfigurationState(int logCapacity) {
        log = new ChangeLog(logCapacity);
    }

    /** Returns the sequence number of the latest change in this state; 0 before the first. */
    public long sequence() {
        return sequence;
    }

    /** Returns whether any change or snapshot was applied; the state may be empty even then. */
    public boolean isInitialized() {
        return initialized;
    }

    /**
     * Returns the value of a resource; null if there is none. The array is not copied and must not be
     * modified.
     */
    public byte[] value(ResourceKey key) {
        ConfigurationEntry entry = entries.get(key);
        return entry == null ? null : entry.value();
    }

    /** Returns the number of resources. */
    public int size() {
        return entries.size();
    }

    /** Returns a live, read-only view of all entries, in no particular order. */
    public Iterable<ConfigurationEntry> entries() {
        return Collections.unmodifiableCollection(entries.values());
    }

    /** Applies the next change, a removal if the value is null; returns it with its sequence number. */
    public ConfigurationEntry append(ResourceKey key, byte[] value) {
        ConfigurationEntry entry = new ConfigurationEntry(sequence + 1, key, value);
        applyChange(entry);
        advanceTo(entry.sequence());
        return entry;
    }

    /**
     * Applies an update completely or not at all.
     *
     * @param listener notified of each entry that takes effect, in order; resources that a snapshot no longer
     *     contains are reported as removals at the snapshot's sequence number
     */
    public Result apply(ConfigurationUpdate update, Consumer<ConfigurationEntry> listener) {
        return update instanceof Snapshot snapshot ? applySnapshot(snapshot, listener)
            : applyDelta((Delta) update, listener);
    }

    private Result applyDelta(Delta delta, Consumer<ConfigurationEntry> listener) {
        if (delta.fromSequence() > sequence) {
            return Result.GAP;
        }
        if (delta.toSequence() <= sequence) {
            return Result.ALREADY_APPLIED;
        }
        for (ConfigurationEntry entry : delta.entries()) {
            if (entry.sequence() > sequence) {
                applyChange(entry);
                listener.accept(entry);
            }
        }
        advanceTo(delta.toSequence());
        return Result.APPLIED;
    }

    private void applyChange(ConfigurationEntry entry) {
        if (entry.isRemoval()) {
            entries.remove(entry.key());
        } else {
            entries.put(entry.key(), entry);
        }
        log.append(entry);
    }

    private Result applySnapshot(Snapshot snapshot, Consumer<ConfigurationEntry> listener) {
        if (initialized && snapshot.toSequence() <= sequence) {
            return Result.ALREADY_APPLIED;
        }
        removeAllExcept(keysOf(snapshot), snapshot.toSequence(), listener);
        for (ConfigurationEntry entry : snapshot.entries()) {
            ConfigurationEntry current = entries.get(entry.key());
            if (current == null || current.sequence() < entry.sequence()) {
                entries.put(entry.key(), entry);
                listener.accept(entry);
            }
        }
        log.restartAfter(snapshot.toSequence());
        advanceTo(snapshot.toSequence());
        return Result.APPLIED;
    }

    private static Set<ResourceKey> keysOf(Snapshot snapshot) {
        Set<ResourceKey> keys = new HashSet<>();
        for (ConfigurationEntry entry : snapshot.entries()) {
            keys.add(entry.key());
        }
        return keys;
    }

    private void removeAllExcept(Set<ResourceKey> remaining, long removalSequence,
                                 Consumer<ConfigurationEntry> listener) {
        for (Iterator<ResourceKey> keys = entries.keySet().iterator(); keys.hasNext();) {
            ResourceKey key = keys.next();
            if (!remaining.contains(key)) {
                keys.remove();
                listener.accept(new ConfigurationEntry(removalSequence, key, null));
            }
        }
    }

    private void advanceTo(long newSequence) {
        sequence = newSequence;
        initialized = true;
    }

    /**
     * Returns the update that advances another process to this state: a delta if the log retains the changes,
     * else a snapshot.
     *
     * @param afterSequence sequence number that the other process has reached
     * @param hasState whether the other process has any state
     * @param scope part of the configuration that the other process uses
     * @return the update; empty if the other process has all changes or this state is not initialized
     */
    public Optional<ConfigurationUpdate> updateAfter(long afterSequence, boolean hasState, Scope scope) {
        if (!initialized || (hasState && afterSequence >= sequence)) {
            return Optional.empty();
        }
        boolean canSendDelta = hasState && log.retainsAfter(afterSequence);
        return Optional.of(canSendDelta
            ? new Delta(afterSequence, sequence, log.latestAfter(afterSequence, scope)) : snapshot(scope));
    }

    /** Returns the complete state of a scope, its entries in the order of sequence numbers. */
    public Snapshot snapshot(Scope scope) {
        List<ConfigurationEntry> included = new ArrayList<>();
        for (ConfigurationEntry entry : entries.values()) {
            if (scope.includes(entry.key())) {
                included.add(entry);
            }
        }
        included.sort(Comparator.comparingLong(ConfigurationEntry::sequence));
        return new Snapshot(sequence, included);
    }
}
