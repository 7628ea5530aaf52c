package spurroad.control.distribution.state;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.control.distribution.state.ConfigurationState.Result;
import spurroad.control.distribution.state.ConfigurationUpdate.Delta;
import spurroad.control.distribution.state.ConfigurationUpdate.Snapshot;

public class ConfigurationStateTest {
    private static final Scope EAST = new Scope("east");

    private static ResourceKey key(String region, int number) {
        return new ResourceKey(region, "node-" + number);
    }

    private static byte[] value(int number) {
        return new byte[] {(byte) number};
    }

    private static ConfigurationState stateAfter(int logCapacity, int changes) {
        ConfigurationState state = new ConfigurationState(logCapacity);
        for (int i = 1; i <= changes; i++) {
            state.append(key(i % 2 == 0 ? "east" : "west", i % 6), value(i));
        }
        return state;
    }

    private static List<Long> sequences(ConfigurationUpdate update) {
        return update.entries().stream().map(ConfigurationEntry::sequence).toList();
    }

    @Test
    public void deltaCoalescesChangesOfResourceAndOmitsOtherScopes() {
        ConfigurationState state = stateAfter(100, 20);
        Delta delta = (Delta) state.updateAfter(8, true, EAST).orElseThrow();
        assertEquals(sequences(delta), List.of(16L, 18L, 20L),
            "later changes replaced 10, 12 and 14; odd numbers are in the west");
        assertEquals(delta.fromSequence(), 8);
        assertEquals(delta.toSequence(), 20);
    }

    @Test
    public void snapshotIsSentIfLogIsTooShort() {
        ConfigurationState state = stateAfter(5, 20);
        assertTrue(state.updateAfter(15, true, EAST).orElseThrow() instanceof Delta);
        assertTrue(state.updateAfter(14, true, EAST).orElseThrow() instanceof Snapshot);
        assertTrue(state.updateAfter(20, true, EAST).isEmpty());
        assertTrue(state.updateAfter(0, false, EAST).orElseThrow() instanceof Snapshot,
            "for a subscriber without any state");
    }

    @DataProvider
    public Object[][] deltas() {
        ConfigurationEntry third = new ConfigurationEntry(3, key("east", 3), value(3));
        ConfigurationEntry fourth = new ConfigurationEntry(4, key("east", 4), value(4));
        return new Object[][] {
            {"next", new Delta(2, 3, List.of(third)), Result.APPLIED, 3L, 1},
            {"overlapping",
                new Delta(0, 4, List.of(new ConfigurationEntry(1, key("east", 1), value(9)), third, fourth)),
                Result.APPLIED, 4L, 2},
            {"duplicated", new Delta(1, 2, List.of(new ConfigurationEntry(2, key("east", 2), value(9)))),
                Result.ALREADY_APPLIED, 2L, 0},
            {"preceding change is missing", new Delta(3, 4, List.of(fourth)), Result.GAP, 2L, 0},
            {"nothing in scope", new Delta(2, 9, List.of()), Result.APPLIED, 9L, 0},
            {"older snapshot", new Snapshot(1, List.of()), Result.ALREADY_APPLIED, 2L, 0},
            {"newer snapshot", new Snapshot(4, List.of(third, fourth)), Result.APPLIED, 4L, 4}};
    }

    @Test(dataProvider = "deltas")
    public void updateIsAppliedOnceAndOnlyWithoutGap(String description, ConfigurationUpdate update,
                                                     Result expected,
                                                     long sequence, int notifiedCount) {
        ConfigurationState state = new ConfigurationState(10);
        state.append(key("east", 1), value(1));
        state.append(key("east", 2), value(2));
        List<ConfigurationEntry> applied = new ArrayList<>();
        assertEquals(state.apply(update, applied::add), expected, description);
        assertEquals(state.sequence(), sequence, description);
        assertEquals(applied.size(), notifiedCount, description + ": " + applied);
        assertEquals(state.value(key("east", 2)) != null, !description.equals("newer snapshot"), description);
    }

    @Test
    public void inconsistentUpdatesAreRejected() {
        ConfigurationEntry second = new ConfigurationEntry(2, key("east", 2), value(2));
        assertThrows(IllegalArgumentException.class, () -> new Delta(2, 2, List.of()));
        assertThrows(IllegalArgumentException.class, () -> new Delta(2, 4, List.of(second)));
        assertThrows(IllegalArgumentException.class, () -> new Delta(0, 4, List.of(second, second)));
        assertThrows(IllegalArgumentException.class, () -> new Snapshot(1, List.of(second)));
        assertThrows(IllegalArgumentException.class,
            () -> new Snapshot(4, List.of(new ConfigurationEntry(2, key("east", 2), null))));
    }

    /**
     * Verifies that a process that has reached a sequence number has the state of that number, however
     * updates were split, coalesced, lost or duplicated.
     */
    @Test
    public void equalSequenceNumbersImplyEqualStates() {
        for (int seed = 0; seed < 200; seed++) {
            Random random = new Random(seed);
            ConfigurationState core = new ConfigurationState(12);
            ConfigurationState relay = new ConfigurationState(6);
            ConfigurationState leaf = new ConfigurationState(0);
            for (int step = 0; step < 300; step++) {
                core.append(key(random.nextBoolean() ? "east" : "west", random.nextInt(8)),
                    random.nextInt(4) == 0 ? null : value(step));
                if (random.nextInt(4) == 0) {
                    synchronize(core, relay, random);
                }
                if (random.nextInt(6) == 0) {
                    synchronize(relay, leaf, random);
                }
            }
            synchronize(core, relay, new Random(0));
            synchronize(relay, leaf, new Random(0));
            assertEquals(leaf.snapshot(EAST), core.snapshot(EAST), "seed " + seed);
        }
    }

    private static void synchronize(ConfigurationState from, ConfigurationState to, Random random) {
        long base = Math.max(0, to.sequence() - random.nextInt(3));
        from.updateAfter(base, to.isInitialized(), EAST).ifPresent(update -> {
            to.apply(update, entry -> {});
            assertFalse(to.apply(update, entry -> {}) == Result.APPLIED, "update was applied twice");
        });
        to.apply(from.updateAfter(to.sequence(), to.isInitialized(), EAST).orElse(new Snapshot(0, List.of())),
            entry -> {});
    }

    @Test
    public void purgeLogIsNumberedBoundedAndIdempotent() {
        PurgeLog log = new PurgeLog(2_000, 2_000);
        IntStream.rangeClosed(1, 5_000).forEach(log::append);
        assertEquals(log.lastNumber(), 5_000);
        assertEquals(log.startNumber(), 3_000);
        PurgeBatch batch = log.batchAfter(3_000, 4).orElseThrow();
        assertEquals(batch.hashes(), new long[] {3_001, 3_002, 3_003, 3_004});
        assertEquals(log.append(batch), 0);
        assertEquals(log.append(new PurgeBatch(4_999, new long[] {7, 5_001, 5_002})), 2);
        assertEquals(log.append(new PurgeBatch(6_000, new long[] {7})), -1);
        assertEquals(log.batchAfter(5_000, 10).orElseThrow().hashes(), new long[] {5_001, 5_002});
        assertThrows(IllegalArgumentException.class, () -> log.batchAfter(10, 1));
    }

    @Test
    public void purgesBeyondTheUsualCapacityAreRetainedOnlyWhileNeeded() {
        PurgeLog log = new PurgeLog(1_024, 8_192);
        IntStream.rangeClosed(1, 3_000).forEach(log::append);
        assertEquals(log.startNumber(), 3_000 - 1_024);
        log.retainAfter(2_500);
        IntStream.rangeClosed(3_001, 6_000).forEach(log::append);
        assertTrue(log.retainsAfter(2_500), "retained after " + log.startNumber());
        assertEquals(log.batchAfter(2_500, 1).orElseThrow().hashes(), new long[] {2_501});
        IntStream.rangeClosed(6_001, 20_000).forEach(log::append);
        assertFalse(log.retainsAfter(2_500), "exceeds the maximum capacity");
        assertEquals(log.batchAfter(20_000 - 8_192, 1).orElseThrow().hashes(), new long[] {20_000 - 8_191});
    }
}
