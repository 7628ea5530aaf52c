package spurroad.control.decide;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;

import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.testng.annotations.Test;

/** Tests the versions, differences and history of snapshots. */
public class SnapshotHistoryTest {
    private static final SortedMap<String, String> NO_POLICY = new TreeMap<>();

    @Test
    public void versionDependsOnCompleteContentOnly() {
        Snapshot snapshot = Snapshot.of(1, 5, "first", Endpoints.activeEndpoints("n1", "n2"), NO_POLICY);
        assertEquals(
            Snapshot.of(9, 7, "elsewhere", Endpoints.activeEndpoints("n2", "n1"), NO_POLICY).version(),
            snapshot.version());
        SortedMap<String, Endpoint> other = Endpoints.activeEndpoints("n1", "n2");
        other.put("n2", other.get("n2").withStatus(new EndpointStatus(0, EndpointState.DRAINING)));
        assertNotEquals(Snapshot.version(other, NO_POLICY), snapshot.version());
        assertNotEquals(
            Snapshot.version(Endpoints.activeEndpoints("n1", "n2"), new TreeMap<>(Map.of("k", "v"))),
            snapshot.version());
        assertNotEquals(Snapshot.version(new TreeMap<>(), new TreeMap<>(Map.of("k", "v1"))),
            Snapshot.version(new TreeMap<>(), new TreeMap<>(Map.of("kv", "1"))));
    }

    @Test
    public void rollbackRestoresPolicyAndRetainsEndpoints() {
        SnapshotHistory history = new SnapshotHistory(3);
        SortedMap<String, String> earlierPolicy = new TreeMap<>(Map.of("soft-limit", "0.1"));
        SortedMap<String, String> laterPolicy = new TreeMap<>(
            Map.of("soft-limit", "0.3", "ring-points", "96"));
        Snapshot first = history.record(1, "start", Endpoints.activeEndpoints("n1", "n2"), earlierPolicy);
        assertEquals(
            history.record(2, "the same again", Endpoints.activeEndpoints("n1", "n2"), earlierPolicy), first);
        SortedMap<String, Endpoint> laterEndpoints = Endpoints.activeEndpoints("n1", "n3");
        laterEndpoints.put("n1",
            laterEndpoints.get("n1").withStatus(new EndpointStatus(0, EndpointState.DRAINING)));
        Snapshot second = history.record(3, "list", laterEndpoints, laterPolicy);
        assertEquals(second.differencesFrom(first),
            List.of("~ n1: ACTIVE -> DRAINING", "- n2 at " + first.endpoints().get("n2").address()
                + ", ACTIVE", "+ n3 at " + second.endpoints().get("n3").address() + ", ACTIVE",
                "+ ring-points = 96",
                "~ soft-limit: 0.1 -> 0.3"));
        Snapshot rolledBack = history.rollBackPolicy(4, first.number()).orElseThrow();
        assertEquals(rolledBack.policy(), earlierPolicy);
        assertEquals(rolledBack.endpoints(), laterEndpoints);
        assertEquals(rolledBack.number(), 3);
        history.record(5, "more", Endpoints.activeEndpoints("n9"), earlierPolicy);
        assertEquals(history.all().size(), 3, "number of retained snapshots");
        assertFalse(history.rollBackPolicy(6, first.number()).isPresent());
    }
}
