package spurroad.balancer.statistics;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

public class DecayingAverageTest {
    private static final long TIME_CONSTANT_NANOS = 1_000_000_000L;
    private static final long START_NANOS = 5_000_000_000L;
    private static final double TOLERANCE = 1e-12;

    private final DecayingAverage average = new DecayingAverage(TIME_CONSTANT_NANOS);

    @Test
    public void decaysToOneOverEWithinTheTimeConstant() {
        DecayingAverage decayed = new DecayingAverage(TIME_CONSTANT_NANOS);
        decayed.add(START_NANOS, 8, 4);
        assertEquals(decayed.sum(START_NANOS + TIME_CONSTANT_NANOS), 8 / Math.E, TOLERANCE);
        assertEquals(decayed.weight(START_NANOS + TIME_CONSTANT_NANOS), 4 / Math.E, TOLERANCE);
        assertEquals(decayed.mean(START_NANOS + TIME_CONSTANT_NANOS, 0, 0), 2, TOLERANCE);
    }

    @Test
    public void returnsTheSameSumForTheSameOrAnEarlierTime() {
        DecayingAverage decayed = new DecayingAverage(TIME_CONSTANT_NANOS);
        decayed.add(START_NANOS, 3, 1);
        double firstSum = decayed.sum(START_NANOS + 7);
        assertEquals(decayed.sum(START_NANOS + 7), firstSum);
        assertEquals(decayed.sum(START_NANOS + 6), firstSum, "an earlier time changes nothing");
    }

    @Test
    public void addsThePriorWithItsWeight() {
        assertEquals(average.mean(START_NANOS, 2, 10), 10, TOLERANCE);
        DecayingAverage observed = new DecayingAverage(TIME_CONSTANT_NANOS);
        observed.add(START_NANOS, 4, 2);
        assertEquals(observed.mean(START_NANOS, 2, 10), 6, TOLERANCE);
        assertEquals(new DecayingAverage(TIME_CONSTANT_NANOS).mean(START_NANOS, 0, 0), 0.0,
            "an empty average without a prior");
    }

    @Test
    public void addsNoElapsedTimeBeforeTheFirstCall() {
        DecayingAverage elapsed = new DecayingAverage(Long.MAX_VALUE);
        elapsed.addElapsedTime(START_NANOS);
        assertEquals(elapsed.weight(START_NANOS), 0.0);
        elapsed.addElapsedTime(START_NANOS + 100);
        assertEquals(elapsed.weight(START_NANOS + 100), 100, 1e-6);
    }
}
