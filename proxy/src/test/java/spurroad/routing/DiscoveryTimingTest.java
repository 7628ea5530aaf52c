package spurroad.routing;

import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The times between calls to discovery, whatever the settings give for asking. */
public class DiscoveryTimingTest {
    private static final long MS = 1_000_000L;
    private static final int DRAWS = 10_000;

    /** Whether lists are pushed, and the time for asking in ms. */
    @DataProvider
    Object[][] settings() {
        return new Object[][] {{false, 200}, {false, 500}, {false, 1000}, {false, 2900}, {false, 4000},
            {false, 10_000},
            {false, 20_000}, {false, 3_600_000}, {true, 20_000}, {true, 500}};
    }

    /** A wait and a call that is answered at its last moment are over before a change counts as told. */
    @Test(dataProvider = "settings")
    public void aCallAfterTheLongestWaitIsAnsweredBeforeTheChangeCounts(boolean pushed, int askWithinMs) {
        DiscoveryTiming timing = new DiscoveryTiming(pushed, askWithinMs * MS, new Random(1));
        for (int i = 0; i < DRAWS; i++) {
            long silent = timing.stallTimeoutNanos();
            assertTrue(timing.pauseNanos() + timing.callTimeoutNanos() <= DiscoveryTiming.DETECTION_NANOS);
            assertTrue(
                timing.connectTimeoutMillis() * MS + timing.pauseNanos()
                    <= DiscoveryTiming.DETECTION_NANOS - 1000 * MS,
                "1 s is left");
            assertTrue(
                silent + timing.callTimeoutAfterStallNanos(silent)
                    <= DiscoveryTiming.DETECTION_NANOS - 1500 * MS,
                "1.5 s are left");
        }
    }

    /** A call that failed counts four times the time for asking; by then the next has begun. */
    @Test(dataProvider = "settings")
    public void aCallBeginsBeforeTheTimeForAskingOfAFailedOneIsOver(boolean pushed, int askWithinMs) {
        DiscoveryTiming timing = new DiscoveryTiming(pushed, askWithinMs * MS, new Random(2));
        for (int i = 0; i < DRAWS; i++) {
            assertTrue(timing.pauseNanos() <= askWithinMs * MS, "after a call that was answered");
            assertTrue(timing.callTimeoutNanos() + timing.pauseNanos() <= 4 * askWithinMs * MS,
                "after one without an answer");
        }
    }

    /** Seven in ten proxies lose discovery at the same moment, and find it again at the same moment. */
    @Test
    public void proxiesThatComeBackAtOnceAreSpreadOut() {
        int[] calls = new int[6]; // in each half second after its return
        for (int proxy = 0; proxy < 700; proxy++) {
            DiscoveryTiming timing = new DiscoveryTiming(false, 10_000 * MS, new Random(proxy));
            long away = 8000 * MS;
            long next = 0;
            while (next < away) {
                next += timing.pauseNanos();
            }
            calls[(int) ((next - away) / (500 * MS))]++;
        }
        for (int half = 0; half < calls.length; half++) {
            assertTrue(calls[half] < 0.35 * 700, calls[half] + " of 700 in half second " + half);
        }
    }
}
