package spurroad.routing;

import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the times between calls to discovery for a range of configured poll intervals. */
public class DiscoveryTimingTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int DRAWS = 10_000;

    /** Returns whether lists are pushed, and the poll interval in milliseconds. */
    @DataProvider
    Object[][] settings() {
        return new Object[][] {{false, 200}, {false, 500}, {false, 1000}, {false, 2900}, {false, 4000},
            {false, 10_000},
            {false, 20_000}, {false, 3_600_000}, {true, 20_000}, {true, 500}};
    }

    /** The longest pause and a call answered right before its timeout fit into the detection bound. */
    @Test(dataProvider = "settings")
    public void callAfterLongestPauseEndsWithinDetectionBound(boolean pushed, int pollIntervalMillis) {
        DiscoveryTiming timing = new DiscoveryTiming(pushed, pollIntervalMillis * NANOS_PER_MILLI,
            new Random(1));
        for (int i = 0; i < DRAWS; i++) {
            long stallNanos = timing.stallTimeoutNanos();
            assertTrue(timing.pauseNanos() + timing.callTimeoutNanos() <= DiscoveryTiming.DETECTION_NANOS);
            assertTrue(
                timing.connectTimeoutMillis() * NANOS_PER_MILLI + timing.pauseNanos()
                    <= DiscoveryTiming.DETECTION_NANOS - 1000 * NANOS_PER_MILLI,
                "1 s is left");
            assertTrue(
                stallNanos + timing.callTimeoutAfterStallNanos(stallNanos)
                    <= DiscoveryTiming.DETECTION_NANOS - 1500 * NANOS_PER_MILLI,
                "1.5 s are left");
        }
    }

    /** The next call starts within one poll interval of an answered call, and within four of a failed one. */
    @Test(dataProvider = "settings")
    public void nextCallStartsWithinAllowedPollIntervals(boolean pushed, int pollIntervalMillis) {
        DiscoveryTiming timing = new DiscoveryTiming(pushed, pollIntervalMillis * NANOS_PER_MILLI,
            new Random(2));
        for (int i = 0; i < DRAWS; i++) {
            assertTrue(timing.pauseNanos() <= pollIntervalMillis * NANOS_PER_MILLI,
                "longest pause after an answered call");
            assertTrue(
                timing.callTimeoutNanos() + timing.pauseNanos() <= 4 * pollIntervalMillis * NANOS_PER_MILLI,
                "timeout and pause of a failed call");
        }
    }

    /**
     * Proxies that lose discovery at the same moment, here seven in ten of a fleet, call it at different
     * times after its recovery.
     */
    @Test
    public void callsAfterSimultaneousOutageAreSpreadOut() {
        int[] calls = new int[6]; // in each half second after the recovery
        for (int proxy = 0; proxy < 700; proxy++) {
            DiscoveryTiming timing = new DiscoveryTiming(false, 10_000 * NANOS_PER_MILLI, new Random(proxy));
            long outageNanos = 8000 * NANOS_PER_MILLI;
            long nextCallNanos = 0;
            while (nextCallNanos < outageNanos) {
                nextCallNanos += timing.pauseNanos();
            }
            calls[(int) ((nextCallNanos - outageNanos) / (500 * NANOS_PER_MILLI))]++;
        }
        for (int halfSecond = 0; halfSecond < calls.length; halfSecond++) {
            assertTrue(calls[halfSecond] < 0.35 * 700,
                calls[halfSecond] + " of 700 in half second " + halfSecond);
        }
    }
}
