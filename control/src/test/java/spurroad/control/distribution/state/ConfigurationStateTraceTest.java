package spurroad.control.distribution.state;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.control.Trace;
import spurroad.control.distribution.state.ConfigurationUpdate.Delta;
import spurroad.control.distribution.state.ConfigurationUpdate.Snapshot;
import spurroad.control.distribution.support.MessageTrace;
import spurroad.control.distribution.support.StateTrace;

/**
 * Pins the configuration's log, snapshots and deltas for random changes and updates by digests of their
 * traces.
 */
public class ConfigurationStateTraceTest {
    private static final int STEPS = 3_000;
    private static final int RESOURCES = 12;
    private static final List<Scope> SCOPES = List.of(Scope.ALL, new Scope("east"), new Scope("west"),
        new Scope(""));
    private static final List<String> REGIONS = List.of("", "east", "west", "north");

    @DataProvider
    public Object[][] logs() {
        return new Object[][] {
            {0, "1dbe162cc2e15c89db31738ef24fc1d346f57af8f4f2d8c33fb4f454057d12f7"},
            {1, "a095922a6511a0116b87369e51ac189d720b51534ac2e65a0743cced9bf0c215"},
            {7, "7a72f0394dbd3ddd2d8b767bc53a96eb9249346f748dacf679f161822eb76e2d"},
            {64, "cd2224883b876b106d723c41c5d2467e614f150e7afa8a1327091a2ef7bc0aac"},
        };
    }

    @Test(dataProvider = "logs")
    public void appliesChangesAndUpdatesUnchanged(int logCapacity, String digest) {
        Trace trace = Trace.named("configuration-" + logCapacity);
        Random random = new Random(logCapacity);
        ConfigurationState source = new ConfigurationState(logCapacity);
        ConfigurationState follower = new ConfigurationState(3);
        for (int step = 0; step < STEPS; step++) {
            appendRandomChanges(trace, random, source);
            Optional<ConfigurationUpdate> update = updateAfterRandomSequence(trace, random, source);
            if (update.isPresent() && random.nextInt(3) == 0) {
                apply(trace, follower, update.get());
            }
            if (random.nextInt(200) == 0) {
                follower = new ConfigurationState(random.nextInt(5));
            }
        }
        assertEquals(trace.digest(), digest);
    }

    private static void appendRandomChanges(Trace trace, Random random, ConfigurationState source) {
        for (int i = random.nextInt(4); i > 0; i--) {
            int name = random.nextInt(RESOURCES);
            ResourceKey key = new ResourceKey(REGIONS.get(name % REGIONS.size()), "r" + name);
            byte[] value = random.nextInt(4) == 0 ? null : new byte[] {(byte) random.nextInt()};
            trace.part('a');
            MessageTrace.entry(trace, source.append(key, value));
            trace.bytes(source.value(key));
            state(trace, source);
        }
    }

    private static Optional<ConfigurationUpdate> updateAfterRandomSequence(Trace trace, Random random,
                                                                           ConfigurationState source) {
        long from = Math.max(0, source.sequence() + 1 - random.nextInt(20));
        boolean hasState = random.nextInt(4) > 0;
        Scope scope = SCOPES.get(random.nextInt(SCOPES.size()));
        Optional<ConfigurationUpdate> update = source.updateAfter(from, hasState, scope);
        trace.part('q').number(from).flag(hasState).text(scope.region()).flag(update.isPresent());
        MessageTrace.configuration(trace, update);
        trace.end();
        trace.part('w');
        MessageTrace.configuration(trace, source.snapshot(scope));
        trace.end();
        return update;
    }

    private static void apply(Trace trace, ConfigurationState follower, ConfigurationUpdate update) {
        trace.part('f');
        ConfigurationState.Result result = follower.apply(update, entry -> {
            trace.part('!');
            MessageTrace.entry(trace, entry);
        });
        trace.number(result.ordinal());
        state(trace, follower);
    }

    private static void state(Trace trace, ConfigurationState state) {
        trace.number(state.sequence()).number(state.size()).flag(state.isInitialized());
        StateTrace.entries(trace, state);
        trace.end();
    }

    /** Pins which updates initialize a state, and how a second update applies to it. */
    @Test
    public void appliesFirstUpdatesUnchanged() {
        Trace trace = Trace.named("configuration-first");
        ConfigurationEntry entry = new ConfigurationEntry(3, new ResourceKey("", "r"), new byte[] {1});
        List<ConfigurationUpdate> updates = List.of(new Snapshot(0, List.of()), new Snapshot(5, List.of()),
            new Snapshot(5, List.of(entry)), new Delta(0, 4, List.of(entry)),
            new Delta(2, 4, List.of(entry)));
        for (ConfigurationUpdate first : updates) {
            for (ConfigurationUpdate second : updates) {
                ConfigurationState state = new ConfigurationState(2);
                apply(trace, state, first);
                apply(trace, state, second);
            }
        }
        assertEquals(trace.digest(), "060456138237e0c39fe7cf961ac9de444ddc9a35d998824763e313c2cf7788f7");
    }

    @Test
    public void scopesIncludeAndCoverUnchanged() {
        Trace trace = Trace.named("scopes");
        for (Scope scope : SCOPES) {
            REGIONS.forEach(region -> trace.flag(scope.includes(new ResourceKey(region, "r"))));
            SCOPES.forEach(other -> trace.flag(scope.covers(other)));
            trace.end();
        }
        assertEquals(trace.digest(), "f2bc952bf61537c2fc044e0029e8fb6443f99edef8489c819133f1bc34487433");
    }
}
