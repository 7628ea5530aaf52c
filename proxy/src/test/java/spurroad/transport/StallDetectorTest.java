package spurroad.transport;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** The sleeps that count as stalls. */
public class StallDetectorTest {
    @Test
    public void countsDelaysOfLateWakeUps() {
        StallDetector detector = new StallDetector();
        for (long sleepMillis : new long[] {5, 6, 55, 7, 105}) {
            detector.recordSleep(sleepMillis * 1_000_000);
        }
        assertEquals(detector.totalNanos(), 150_000_000);
    }
}
