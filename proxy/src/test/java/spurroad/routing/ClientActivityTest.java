package spurroad.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public class ClientActivityTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    @Test
    public void isIdleLaterBeforeFirstResponseThanAfterResponse() {
        ClientActivity activity = new ClientActivity(false, 0);
        assertFalse(activity.isIdle(250 * NANOS_PER_MILLI));
        assertTrue(activity.isIdle(251 * NANOS_PER_MILLI));
        activity.onResponseWritten(1000 * NANOS_PER_MILLI);
        assertFalse(activity.isIdle(1050 * NANOS_PER_MILLI));
        assertTrue(activity.isIdle(1051 * NANOS_PER_MILLI));
    }

    @Test
    public void shortensIdleTimeoutWhenCrowded() {
        ClientActivity activity = new ClientActivity(false, 0);
        assertFalse(activity.isIdleTimeoutExpired(1000 * NANOS_PER_MILLI, true));
        assertTrue(activity.isIdleTimeoutExpired(1001 * NANOS_PER_MILLI, true));
        assertFalse(activity.isIdleTimeoutExpired(2200 * NANOS_PER_MILLI, false));
        assertTrue(activity.isIdleTimeoutExpired(2201 * NANOS_PER_MILLI, false));
        activity.onResponseWritten(0);
        assertFalse(activity.isIdleTimeoutExpired(300 * NANOS_PER_MILLI, true));
        assertTrue(activity.isIdleTimeoutExpired(301 * NANOS_PER_MILLI, true));
        assertFalse(activity.isIdleTimeoutExpired(10_000 * NANOS_PER_MILLI, false));
        assertTrue(activity.isIdleTimeoutExpired(10_001 * NANOS_PER_MILLI, false));
    }

    @Test
    public void detectsStalledCommandWithoutRecentInput() {
        ClientActivity activity = new ClientActivity(false, 0);
        activity.onRead(100 * NANOS_PER_MILLI);
        assertFalse(activity.isCommandStalled(5000 * NANOS_PER_MILLI, false), "no command is incomplete");
        assertTrue(activity.isCommandStalled(2301 * NANOS_PER_MILLI, true), "the upload has stalled");
        activity.onPartialCommand(100 * NANOS_PER_MILLI);
        assertFalse(activity.isCommandStalled(2300 * NANOS_PER_MILLI, false));
        assertTrue(activity.isCommandStalled(2301 * NANOS_PER_MILLI, false));
        activity.onNoPartialCommand();
        assertFalse(activity.isCommandStalled(2301 * NANOS_PER_MILLI, false));
    }

    @Test
    public void stallsGuestCommandEarlier() {
        ClientActivity guest = new ClientActivity(true, 0);
        guest.onPartialCommand(0);
        assertFalse(guest.isCommandStalled(1000 * NANOS_PER_MILLI, false));
        assertTrue(guest.isCommandStalled(1001 * NANOS_PER_MILLI, false));
    }

    @Test
    public void limitsTotalTimeOfSlowCommand() {
        ClientActivity activity = new ClientActivity(false, 0);
        activity.onPartialCommand(0);
        activity.onPartialCommand(10_000 * NANOS_PER_MILLI);
        activity.onRead(20_000 * NANOS_PER_MILLI);
        assertFalse(activity.isCommandStalled(20_000 * NANOS_PER_MILLI, false));
        assertTrue(activity.isCommandStalled(20_001 * NANOS_PER_MILLI, false));
    }

    @Test
    public void reportsTimeOfLastActivity() {
        ClientActivity activity = new ClientActivity(false, 1);
        assertEquals(activity.lastActivityNanos(), 1);
        activity.onRead(3);
        activity.onResponseWritten(2);
        assertEquals(activity.lastActivityNanos(), 3);
        assertTrue(activity.hasResponded());
    }
}
