package spurroad.control.distribution.log;

import java.util.List;
import spurroad.control.distribution.state.ConfigurationUpdate;

/**
 * The applied state at an index of the core's replicated log. It contains the number of the latest purge, but
 * no purges.
 *
 * @param lastIncludedIndex index of the last entry that the snapshot includes; 0 for none
 * @param lastIncludedTerm term of that entry
 * @param configuration the configuration after that entry
 * @param purgeNumber number of the latest purge up to that entry; 0 for none
 */
public record LogSnapshot(long lastIncludedIndex, long lastIncludedTerm,
                          ConfigurationUpdate.Snapshot configuration, long purgeNumber) {
    /** The state before the first entry. */
    public static final LogSnapshot EMPTY = new LogSnapshot(0, 0,
        new ConfigurationUpdate.Snapshot(0, List.of()), 0);
}
