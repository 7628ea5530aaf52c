package spurroad.transport;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Which sleeps count as stalls. */
public class StallDetectorTest {
    @Test
    public void countsSleepsThatEndLate() {
        StallDetector detector = new StallDetector();
        for (long ms : new long[] {5, 6, 55, 7, 105}) {
            detector.recordSleep(ms * 1_000_000);
        }
        assertEquals(detector.totalNanos(), 150_000_000);
    }
}
