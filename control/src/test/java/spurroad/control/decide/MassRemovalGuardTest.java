package spurroad.control.decide;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.testng.annotations.Test;

/** Tests the limit on how much of a fleet may disappear at once. */
public class MassRemovalGuardTest {
    private static final long SECOND_NANOS = 1_000_000_000L;

    @Test
    public void emptyListRemovesOnlyAllowedFractionUntilRetentionEnds() {
        MassRemovalGuard guard = new MassRemovalGuard(0.25, 30 * SECOND_NANOS);
        assertEquals(guard.filter(0, Endpoints.activeEndpoints(8)).endpoints().size(), 8);
        MassRemovalGuard.FilteredEndpoints filtered = guard.filter(SECOND_NANOS, new TreeMap<>());
        assertEquals(filtered.retained().size(), 6);
        assertEquals(filtered.endpoints().size(), 6);
        assertEquals(guard.filter(2 * SECOND_NANOS, Endpoints.activeEndpoints(8)).retained(), Set.of());
        assertEquals(guard.filter(3 * SECOND_NANOS, new TreeMap<>()).endpoints().size(), 6);
        assertEquals(guard.filter(33 * SECOND_NANOS, new TreeMap<>()).endpoints().size(), 0,
            "after the end of the retention");
    }

    @Test
    public void fleetThatDisappearsStepByStepIsRetained() {
        MassRemovalGuard guard = new MassRemovalGuard(0.25, 30 * SECOND_NANOS);
        guard.filter(0, Endpoints.activeEndpoints(8));
        for (int remainingCount = 7; remainingCount >= 0; remainingCount--) {
            guard.filter((8 - remainingCount) * SECOND_NANOS, Endpoints.activeEndpoints(remainingCount));
        }
        assertEquals(guard.filter(9 * SECOND_NANOS, Endpoints.activeEndpoints(0)).endpoints().size(), 6);
    }

    @Test
    public void drainingIsNotDelayedForAnyNumberOfEndpoints() {
        MassRemovalGuard guard = new MassRemovalGuard(0.25, 30 * SECOND_NANOS);
        guard.filter(0, Endpoints.activeEndpoints(8));
        SortedMap<String, Endpoint> draining = Endpoints.activeEndpoints(8);
        draining.replaceAll(
            (uid, endpoint) -> endpoint.withStatus(new EndpointStatus(0, EndpointState.DRAINING)));
        MassRemovalGuard.FilteredEndpoints filtered = guard.filter(SECOND_NANOS, draining);
        assertEquals(filtered.retained(), Set.of());
        assertTrue(
            filtered.endpoints().values().stream()
                .allMatch(endpoint -> endpoint.status().state() == EndpointState.DRAINING));
        assertEquals(guard.filter(2 * SECOND_NANOS, new TreeMap<>()).endpoints().size(), 0,
            "drained endpoints are not retained");
    }

    @Test
    public void allowedFractionIsRemovedImmediately() {
        MassRemovalGuard guard = new MassRemovalGuard(0.25, 30 * SECOND_NANOS);
        guard.filter(0, Endpoints.activeEndpoints(8));
        assertEquals(guard.filter(SECOND_NANOS, Endpoints.activeEndpoints(6)).endpoints().size(), 6);
    }
}
