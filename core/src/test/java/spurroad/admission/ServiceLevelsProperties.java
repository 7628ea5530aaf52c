package spurroad.admission;

import static org.testng.Assert.assertTrue;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/**
 * Properties of the service level under any sequence of pressures; a failing sequence is shrunk to the
 * shortest one.
 */
class ServiceLevelsProperties {
    private static final long STEP = AdmissionPolicy.INTERVAL_NANOS;
    private static final long S = 1_000_000_000L;

    /** A constant pressure for a number of intervals. */
    record Stretch(int intervals, double pressure, boolean cold) {}

    @Provide
    Arbitrary<List<Stretch>> courses() {
        Arbitrary<Double> pressure = Arbitraries.oneOf(Arbitraries.doubles().between(0, 40),
            Arbitraries.of(0.0, 0.84, 1.05, 1.12, 1.4, 6.4, 8.0, 16.0, 20.0));
        return Combinators
            .combine(Arbitraries.integers().between(1, 60), pressure, Arbitraries.of(true, false))
            .as(Stretch::new).list().ofMinSize(1).ofMaxSize(40);
    }

    /**
     * The level changes by one step at a time, to a better one only after the minimum stay and to a worse one
     * only after three intervals.
     */
    @Property(tries = 500, seed = "20261201")
    void changesOneLevelWithinAMinimumStay(@ForAll("courses") List<Stretch> course) {
        ServiceLevels levels = new ServiceLevels();
        long now = 50 * S;
        long changedAt = Long.MIN_VALUE / 2;
        for (Stretch s : course) {
            for (int i = 0; i < s.intervals; i++, now += STEP) {
                int before = levels.level().ordinal();
                long stay = levels.minimumStayNanos();
                boolean changed = levels.onPressure(now, s.pressure, s.cold);
                int step = levels.level().ordinal() - before;
                assertTrue(changed == (step != 0), "returns whether the level changed");
                assertTrue(Math.abs(step) <= 1, "one step at a time");
                assertTrue(step >= 0 || now - changedAt >= stay, "no better level before the minimum stay");
                assertTrue(step <= 0 || now - changedAt >= 3 * STEP, "no worse level within three intervals");
                assertTrue(step <= 0 || s.pressure >= 1.05,
                    "no worse level below the lowest entering pressure");
                changedAt = changed ? now : changedAt;
            }
        }
    }

    /** After any sequence, full service returns within a bounded time once there is no pressure. */
    @Property(tries = 300, seed = "20261202")
    void returnsToFullServiceWithoutDemand(@ForAll("courses") List<Stretch> course) {
        ServiceLevels levels = new ServiceLevels();
        long now = 50 * S;
        for (Stretch s : course) {
            for (int i = 0; i < s.intervals; i++, now += STEP) {
                levels.onPressure(now, s.pressure, s.cold);
            }
        }
        for (long until = now + 4 * 16 * S + S; now < until; now += STEP) {
            levels.onPressure(now, 0, false);
        }
        assertTrue(levels.level() == ServiceLevel.FULL, "still " + levels.level());
    }
}
