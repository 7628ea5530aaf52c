package spurroad.control.distribution.replication;

import spurroad.control.distribution.log.Command;
import spurroad.control.distribution.log.LogEntry;
import spurroad.control.distribution.log.LogSnapshot;
import spurroad.control.distribution.state.ConfigurationState;
import spurroad.control.distribution.state.PurgeLog;
import spurroad.control.distribution.state.Scope;

/**
 * Applies committed entries to the configuration and the purges, each once and in log order, and compacts the
 * log when it has grown by its capacity. The commit index is also the last applied index, because an entry is
 * applied as soon as it is committed.
 */
final class StateMachine {
    private final ReplicatedLog log;
    private final int logCapacity;
    private final ConfigurationState configuration;
    private final PurgeLog purges;
    private final CommitListener listener;
    private long commitIndex;
    private long lastAppliedTerm;

    /**
     * Starts from the log's latest snapshot.
     *
     * @param logCapacity number of entries after which a snapshot is taken, and maximum number of entries
     *     that are retained before it
     */
    StateMachine(ReplicatedLog log, int logCapacity, ConfigurationState configuration, PurgeLog purges,
                 CommitListener listener) {
        this.log = log;
        this.logCapacity = logCapacity;
        this.configuration = configuration;
        this.purges = purges;
        this.listener = listener;
        restore(log.latestSnapshot());
    }

    /** Returns the index of the last entry that is committed and applied. */
    long commitIndex() {
        return commitIndex;
    }

    /** Returns the term of the last applied entry. */
    long lastAppliedTerm() {
        return lastAppliedTerm;
    }

    /**
     * Applies the entries up to an index, which must be in the log; entries that are already applied are
     * skipped.
     */
    void applyUpTo(long index) {
        while (commitIndex < index) {
            commitIndex++;
            LogEntry entry = log.entry(commitIndex);
            lastAppliedTerm = entry.term();
            apply(entry.command());
            listener.onCommit(commitIndex, entry.command());
        }
        if (commitIndex - log.latestSnapshot().lastIncludedIndex() >= logCapacity) {
            compact();
        }
    }

    private void apply(Command command) {
        if (command instanceof Command.ConfigurationChange change) {
            configuration.append(change.key(), change.value());
        } else if (command instanceof Command.Purge purge) {
            for (long hash : purge.hashes()) {
                purges.append(hash);
            }
        } else if (!(command instanceof Command.NoOp)) {
            throw new IllegalArgumentException(
                "unsupported command: expected a configuration change, a purge or a no-op, not "
                    + command.getClass());
        }
    }

    private void compact() {
        log.installSnapshot(new LogSnapshot(commitIndex, lastAppliedTerm, configuration.snapshot(Scope.ALL),
            purges.lastNumber()), logCapacity);
    }

    /** Installs a leader's snapshot if it includes entries that this replica has not applied. */
    void install(LogSnapshot snapshot) {
        if (snapshot.lastIncludedIndex() > commitIndex) {
            log.installSnapshot(snapshot, logCapacity);
            restore(snapshot);
        }
    }

    private void restore(LogSnapshot snapshot) {
        if (snapshot.lastIncludedIndex() > 0) {
            configuration.apply(snapshot.configuration(), entry -> {});
            if (snapshot.purgeNumber() > purges.lastNumber()) {
                purges.reset(snapshot.purgeNumber());
            }
        }
        commitIndex = snapshot.lastIncludedIndex();
        lastAppliedTerm = snapshot.lastIncludedTerm();
    }
}
