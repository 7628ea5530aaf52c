package spurroad.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ServiceLevelsTest {
    private static final long INTERVAL_NANOS = AdmissionPolicy.INTERVAL_NANOS;
    private static final long SECOND_NANOS = 1_000_000_000L;
    private long now = 50 * SECOND_NANOS;

    private void simulate(ServiceLevels levels, double seconds, double pressure, boolean warmingUp) {
        for (long endNanos = now + (long) (seconds * SECOND_NANOS); now < endNanos; now += INTERVAL_NANOS) {
            levels.onPressure(now, pressure, warmingUp);
        }
    }

    @DataProvider
    Object[][] pressures() {
        return new Object[][] {{0.0, ServiceLevel.FULL}, {1.0, ServiceLevel.FULL},
            {1.04, ServiceLevel.FULL},
            {1.06, ServiceLevel.WITHIN_QUOTAS}, {1.5, ServiceLevel.NO_RETRIES},
            {7.9, ServiceLevel.NO_RETRIES},
            {8.1, ServiceLevel.HIGHEST_PRIORITY_ONLY},
            {21.0, ServiceLevel.IN_FLIGHT_ONLY}};
    }

    @Test(dataProvider = "pressures")
    public void entersAndLeavesLevelsOneStepAtATime(double pressure, ServiceLevel level) {
        ServiceLevels levels = new ServiceLevels();
        simulate(levels, 4, pressure, false);
        assertEquals(levels.level(), level);
        assertEquals(levels.changes(), level.ordinal());
        simulate(levels, 8, 0, false);
        assertEquals(levels.level(), ServiceLevel.FULL);
        assertEquals(levels.changes(), 2L * level.ordinal());
    }

    @Test
    public void ignoresABurstShorterThanThreeIntervals() {
        ServiceLevels levels = new ServiceLevels();
        for (int i = 0; i < 50; i++) {
            simulate(levels, 0.2, 30, false);
            simulate(levels, 0.1, 0, false);
        }
        assertEquals(levels.changes(), 0);
    }

    /** The pressure alternates by a tenth around the boundary, with a period of 2 s, for 5 minutes. */
    @Test(dataProvider = "boundaries")
    public void doesNotOscillateAtABoundary(double entryPressure) {
        ServiceLevels levels = new ServiceLevels();
        for (int i = 0; i < 150; i++) {
            simulate(levels, 1, 1.1 * entryPressure, false);
            simulate(levels, 1, 0.9 * entryPressure, false);
        }
        assertTrue(levels.changes() <= 4, levels.changes() + " changes");
    }

    @DataProvider
    Object[][] boundaries() {
        return new Object[][] {{1.05}, {1.4}, {8.0}, {20.0}};
    }

    /** Under widely alternating pressure changes become rarer, as the minimum stay doubles up to 16 s. */
    @Test
    public void extendsMinimumStayOfLevelEnteredAgainSoon() {
        ServiceLevels levels = new ServiceLevels();
        for (int i = 0; i < 60; i++) {
            simulate(levels, 1, 1.2, false);
            simulate(levels, 1, 0.5, false);
        }
        assertTrue(levels.changes() <= 20, levels.changes() + " changes in 2 minutes of 60 swings");
        assertTrue(levels.minimumStayNanos() >= 1 * SECOND_NANOS);
    }

    @Test
    public void leavesLevelsHalfAsFastWhileEndpointsWarmUp() {
        long[] durationNanos = new long[2];
        for (int warmingUp = 0; warmingUp < 2; warmingUp++) {
            ServiceLevels levels = new ServiceLevels();
            simulate(levels, 4, 9, false);
            long startNanos = now;
            while (levels.level() != ServiceLevel.FULL) {
                simulate(levels, 0.1, 0, warmingUp == 1);
            }
            durationNanos[warmingUp] = now - startNanos;
        }
        assertTrue(durationNanos[1] > 1.8 * durationNanos[0],
            durationNanos[0] + " and " + durationNanos[1] + " ns");
    }

    /**
     * For a thousand random sequences of pressures, the level changes by one step at a time, and never by two
     * within one minimum stay on the way to full service.
     */
    @Test
    public void changesAtMostOneLevelPerMinimumStay() {
        for (int seed = 0; seed < 1000; seed++) {
            Random random = new Random(seed);
            ServiceLevels levels = new ServiceLevels();
            long changedAtNanos = Long.MIN_VALUE / 2;
            double pressure = 0;
            ServiceLevel before = ServiceLevel.FULL;
            for (int i = 0; i < 600; i++, now += INTERVAL_NANOS) {
                pressure = random.nextInt(8) == 0 ? 40 * random.nextDouble() * random.nextDouble() : pressure;
                long minStayNanos = levels.minimumStayNanos();
                boolean changed = levels.onPressure(now, pressure, random.nextBoolean());
                int step = levels.level().ordinal() - before.ordinal();
                assertEquals(changed, step != 0);
                assertTrue(Math.abs(step) <= 1, "seed " + seed);
                if (step < 0) {
                    assertTrue(now - changedAtNanos >= minStayNanos, "seed " + seed);
                } else if (step > 0) {
                    assertTrue(now - changedAtNanos >= 3 * INTERVAL_NANOS, "seed " + seed);
                }
                changedAtNanos = changed ? now : changedAtNanos;
                before = levels.level();
            }
        }
    }
}
