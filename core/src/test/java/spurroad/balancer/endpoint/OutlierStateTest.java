package spurroad.balancer.endpoint;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class OutlierStateTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long START_NANOS = 50_000 * NANOS_PER_MILLI;

    /** Number of consecutive ejections, and the duration of the last one in milliseconds. */
    @DataProvider
    Object[][] ejectionDurations() {
        return new Object[][] {{1, 500}, {2, 1000}, {3, 2000}, {4, 4000}, {5, 4000}};
    }

    @Test(dataProvider = "ejectionDurations")
    public void doublesTheEjectionTimeUpToItsMaximum(int ejections, long lastMillis) {
        OutlierState state = new OutlierState();
        for (int i = 0; i < ejections; i++) {
            state.eject(START_NANOS);
        }
        assertTrue(state.isEjected(START_NANOS + lastMillis * NANOS_PER_MILLI - 1));
        assertFalse(state.isEjected(START_NANOS + lastMillis * NANOS_PER_MILLI));
    }

    @Test
    public void awaitsALoadProbeOnlyIfLoadProbesAreEnabled() {
        OutlierState state = new OutlierState();
        state.eject(START_NANOS);
        assertTrue(state.awaitsLoadProbe(true));
        assertFalse(state.trialAllows(true, true));
        assertFalse(state.awaitsLoadProbe(false));
        assertTrue(state.trialAllows(true, false));
        state.onProbeSuccess();
        assertFalse(state.awaitsLoadProbe(true));
        assertTrue(state.trialAllows(true, true));
    }

    @Test
    public void allowsOnlyIdempotentRequestsInATrial() {
        OutlierState state = new OutlierState();
        assertTrue(state.trialAllows(false, false));
        state.eject(START_NANOS);
        assertFalse(state.trialAllows(false, false));
    }

    @Test
    public void doublesTrialBatchesUntilTheTrialEnds() {
        OutlierState state = new OutlierState();
        state.eject(START_NANOS);
        for (int batch : new int[] {1, 2, 4, 8}) {
            for (int i = 0; i < batch; i++) {
                assertTrue(state.trialAllows(true, false), "request " + i + " of a batch of " + batch);
                state.onAttemptStart();
            }
            assertFalse(state.trialAllows(true, false), "a batch of " + batch + " allows no further request");
            for (int i = 0; i < batch; i++) {
                state.onSuccess(START_NANOS);
            }
        }
        assertFalse(state.isOnTrial());
        state.eject(START_NANOS);
        assertFalse(state.isEjected(START_NANOS + 500 * NANOS_PER_MILLI),
            "the ejection time is reset to its base");
    }

    @Test
    public void extendsAnEjectionAfterAFailedProbe() {
        OutlierState state = new OutlierState();
        assertFalse(state.onProbeFailure(START_NANOS), "the endpoint is not ejected");
        state.eject(START_NANOS);
        assertTrue(state.onProbeFailure(START_NANOS + 400 * NANOS_PER_MILLI));
        assertTrue(state.isEjected(START_NANOS + 1300 * NANOS_PER_MILLI));
        assertTrue(state.hasFailedProbe());
        state.onReply(START_NANOS + 500 * NANOS_PER_MILLI);
        assertFalse(state.hasFailedProbe());
    }

    @Test
    public void resetsFailuresOnEjection() {
        OutlierState state = new OutlierState();
        state.onFailure(START_NANOS);
        state.onFailure(START_NANOS);
        assertEquals(state.failureCount(START_NANOS), 2.0);
        assertEquals(state.failureRate(START_NANOS), 1.0);
        state.eject(START_NANOS);
        assertEquals(state.failureCount(START_NANOS), 0.0);
    }
}
