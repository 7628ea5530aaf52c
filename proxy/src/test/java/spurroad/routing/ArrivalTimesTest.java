package spurroad.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

public class ArrivalTimesTest {
    private static final long AFTER_MERGE_WINDOW_NANOS = 10 * ArrivalTimes.MERGE_WINDOW_NANOS;

    @Test
    public void returnsArrivalTimeOfLastByteTaken() {
        ArrivalTimes times = new ArrivalTimes();
        times.onRead(10, 0);
        times.onRead(10, AFTER_MERGE_WINDOW_NANOS);
        assertEquals(times.take(10), 0);
        assertEquals(times.take(1), AFTER_MERGE_WINDOW_NANOS);
        times.onRead(10, 2 * AFTER_MERGE_WINDOW_NANOS);
        assertEquals(times.take(10), 2 * AFTER_MERGE_WINDOW_NANOS);
        assertEquals(times.take(9), 2 * AFTER_MERGE_WINDOW_NANOS);
    }

    @Test
    public void mergesSingleBytesIntoEarliestArrival() {
        ArrivalTimes times = new ArrivalTimes();
        for (int i = 0; i < 100; i++) {
            times.onRead(1, i);
        }
        assertEquals(times.take(100), 0);
    }

    /** Guards against a time for each byte of a client that sends byte by byte: a multiple of its input. */
    @Test
    public void keepsFewTimesOfManySlowBytes() {
        ArrivalTimes times = new ArrivalTimes();
        int bytes = 8_192;
        for (int i = 0; i < bytes; i++) {
            times.onRead(1, i * AFTER_MERGE_WINDOW_NANOS);
            assertTrue(times.count() <= ArrivalTimes.MAX_ARRIVALS, times.count() + " times");
        }
        for (int i = 0; i < bytes; i++) {
            assertTrue(times.take(1) <= i * AFTER_MERGE_WINDOW_NANOS, "later than the byte " + i);
        }
        assertEquals(times.count(), 0);
    }

    @Test
    public void keepsTimeOfLastByteOfMergedBytes() {
        ArrivalTimes times = new ArrivalTimes();
        times.onRead(1, 0);
        times.onRead(1, AFTER_MERGE_WINDOW_NANOS);
        times.onRead(2, 2 * AFTER_MERGE_WINDOW_NANOS);
        times.mergeFirst(3);
        assertEquals(times.count(), 2);
        assertEquals(times.take(3), 2 * AFTER_MERGE_WINDOW_NANOS);
        assertEquals(times.take(1), 2 * AFTER_MERGE_WINDOW_NANOS);
    }

    /**
     * Compares with a list of all bytes: a time is never later than the true one, and earlier by less than
     * the merge window.
     */
    @Test
    public void isNeverLaterThanTrueArrivalTime() {
        Random random = new Random(7);
        ArrivalTimes times = new ArrivalTimes();
        List<Long> bytes = new ArrayList<>();
        long now = 0;
        for (int i = 0; i < 100_000; i++) {
            now += random.nextInt((int) ArrivalTimes.MERGE_WINDOW_NANOS);
            int count = 1 + random.nextInt(20);
            if (bytes.size() < count || random.nextBoolean()) {
                times.onRead(count, now);
                for (int b = 0; b < count; b++) {
                    bytes.add(now);
                }
            } else {
                long last = bytes.get(count - 1);
                long reported = times.take(count);
                bytes.subList(0, count).clear();
                assertTrue(reported <= last && last - reported < ArrivalTimes.MERGE_WINDOW_NANOS,
                    reported + " for " + last);
            }
            while (bytes.size() > 1_000) {
                times.take(500);
                bytes.subList(0, 500).clear();
            }
        }
    }
}
