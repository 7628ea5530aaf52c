package spurroad.control.distribution.replication;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import spurroad.control.distribution.log.Command;
import spurroad.control.distribution.log.LogEntry;
import spurroad.control.distribution.log.LogSnapshot;
import spurroad.control.distribution.state.ConfigurationUpdate;

/** Tests a log with entries of the terms 1, 1, 2 and 4 at the indexes 1 to 4. */
public class ReplicatedLogTest {
    private ReplicatedLog log;

    @BeforeMethod
    public void fill() {
        log = new ReplicatedLog();
        for (long term : new long[] {1, 1, 2, 4}) {
            log.append(new LogEntry(term, new Command.NoOp()));
        }
    }

    private static LogSnapshot snapshot(long index, long term) {
        return new LogSnapshot(index, term, new ConfigurationUpdate.Snapshot(0, List.of()), 0);
    }

    @Test
    public void matchesEntriesByIndexAndTerm() {
        assertTrue(log.matches(0, 0));
        assertTrue(log.matches(3, 2));
        assertFalse(log.matches(3, 1));
        assertFalse(log.matches(5, 4));
    }

    @Test
    public void isCoveredByLogWithLaterTermOrSameTermAndNoFewerEntries() {
        assertTrue(log.isCoveredBy(1, 5));
        assertTrue(log.isCoveredBy(4, 4));
        assertFalse(log.isCoveredBy(3, 4));
        assertFalse(log.isCoveredBy(9, 3));
    }

    @Test
    public void truncationRemovesEntryAndAllLaterEntries() {
        log.truncateFrom(3);
        assertEquals(log.lastIndex(), 2);
        assertEquals(log.lastTerm(), 1);
    }

    @Test
    public void matchingSnapshotRetainsLastIncludedEntriesAndAllLaterEntries() {
        log.installSnapshot(snapshot(3, 2), 1);
        assertEquals(log.startIndex(), 2);
        assertEquals(log.termAt(2), 1);
        assertEquals(log.entriesAfter(2, 10).size(), 2);
        assertFalse(log.knowsTermAt(1));
    }

    @Test
    public void conflictingSnapshotReplacesAllEntries() {
        log.installSnapshot(snapshot(3, 3), 8);
        assertEquals(log.startIndex(), 3);
        assertEquals(log.lastIndex(), 3);
        assertEquals(log.lastTerm(), 3);
    }
}
