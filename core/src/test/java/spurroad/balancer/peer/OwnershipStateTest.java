package spurroad.balancer.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;
import spurroad.model.CacheKey;
import spurroad.model.PeerUpdate;
import spurroad.model.PeerUpdate.Topic;

public class OwnershipStateTest {
    private static final long MS = 1_000_000L;
    private static final long START_NANOS = 50_000 * MS;
    private static final double DEFAULT_NANOS = 10 * MS;
    private static final CacheKey KEY = new CacheKey(7);

    private static PeerUpdate update(double value, CacheKey key) {
        return new PeerUpdate(Topic.IN_FLIGHT, 3, value, key);
    }

    @Test
    public void removesASuccessfulAttempt() {
        OwnershipState state = new OwnershipState();
        state.onInFlightUpdate(update(1, CacheKey.NONE), START_NANOS, DEFAULT_NANOS, DEFAULT_NANOS);
        assertEquals(state.fleetInFlight(START_NANOS), 1.0);
        long endNanos = START_NANOS + 100 * MS;
        state.onInFlightUpdate(update(-OwnershipState.remainingWeight(100 * MS), KEY), endNanos,
            DEFAULT_NANOS, DEFAULT_NANOS);
        assertEquals(state.fleetInFlight(endNanos), 0, 1e-9);
    }

    @Test
    public void decaysAFailedAttempt() {
        OwnershipState state = new OwnershipState();
        state.onInFlightUpdate(update(1, CacheKey.NONE), START_NANOS, DEFAULT_NANOS, DEFAULT_NANOS);
        long endNanos = START_NANOS + 100 * MS;
        double remaining = OwnershipState.remainingWeight(100 * MS);
        state.onInFlightUpdate(update(remaining, KEY), endNanos, DEFAULT_NANOS, DEFAULT_NANOS);
        assertEquals(state.fleetInFlight(endNanos), remaining, 1e-9);
        assertTrue(state.fleetInFlight(endNanos + 10_000 * MS) < 0.001);
    }

    @Test
    public void recordsTheKeysOfSuccessfulReads() {
        OwnershipState state = new OwnershipState();
        state.onInFlightUpdate(update(-0.9, KEY), START_NANOS, DEFAULT_NANOS, DEFAULT_NANOS);
        assertTrue(state.isCached(KEY, false, START_NANOS));
        assertFalse(state.isCached(new CacheKey(8), false, START_NANOS));
        state.onInFlightUpdate(update(1, KEY), START_NANOS + MS, DEFAULT_NANOS, DEFAULT_NANOS);
        assertFalse(state.isCached(KEY, false, START_NANOS + MS), "a write invalidates the key");
    }

    @Test
    public void assumesAnyKeyCachedShortlyAfterBecomingOwnerOfOldEndpoint() {
        OwnershipState state = new OwnershipState();
        state.onInFlightUpdate(update(1, CacheKey.NONE), START_NANOS, DEFAULT_NANOS, DEFAULT_NANOS);
        assertTrue(state.isCached(KEY, true, START_NANOS + 3_999 * MS));
        assertFalse(state.isCached(KEY, false, START_NANOS + 3_999 * MS),
            "an endpoint that has only just started has nothing cached");
        assertFalse(state.isCached(KEY, true, START_NANOS + 4_000 * MS));
    }

    @Test
    public void lowersTheServiceTimeOnlyBySuccessfulAttempts() {
        OwnershipState state = new OwnershipState();
        double quickFailure = OwnershipState.remainingWeight(MS);
        double serviceTimeNanos = state.onInFlightUpdate(update(quickFailure, KEY), START_NANOS,
            DEFAULT_NANOS, DEFAULT_NANOS);
        assertEquals(serviceTimeNanos, DEFAULT_NANOS, "a quick failure changes nothing");
        double slowFailure = OwnershipState.remainingWeight(900 * MS);
        serviceTimeNanos = state.onInFlightUpdate(update(slowFailure, KEY), START_NANOS, DEFAULT_NANOS,
            DEFAULT_NANOS);
        assertTrue(serviceTimeNanos > 10 * DEFAULT_NANOS, serviceTimeNanos + " ns");
    }
}
