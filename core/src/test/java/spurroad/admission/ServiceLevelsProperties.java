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
    private static final long INTERVAL_NANOS = AdmissionPolicy.INTERVAL_NANOS;
    private static final long SECOND_NANOS = 1_000_000_000L;

    /** A constant pressure for a number of intervals. */
    record PressurePhase(int intervals, double pressure, boolean warmingUp) {}

    @Provide
    Arbitrary<List<PressurePhase>> pressurePhases() {
        Arbitrary<Double> pressure = Arbitraries.oneOf(Arbitraries.doubles().between(0, 40),
            Arbitraries.of(0.0, 0.84, 1.05, 1.12, 1.4, 6.4, 8.0, 16.0, 20.0));
        return Combinators
            .combine(Arbitraries.integers().between(1, 60), pressure, Arbitraries.of(true, false))
            .as(PressurePhase::new).list().ofMinSize(1).ofMaxSize(40);
    }

    /**
     * The level changes by one step at a time, to a better one only after the minimum stay and to a worse one
     * only after three intervals.
     */
    @Property(tries = 500, seed = "20261201")
    void changesAtMostOneLevelPerMinimumStay(@ForAll("pressurePhases") List<PressurePhase> phases) {
        ServiceLevels levels = new ServiceLevels();
        long now = 50 * SECOND_NANOS;
        long changedAtNanos = Long.MIN_VALUE / 2;
        for (PressurePhase phase : phases) {
            for (int i = 0; i < phase.intervals; i++, now += INTERVAL_NANOS) {
                int before = levels.level().ordinal();
                long minStayNanos = levels.minimumStayNanos();
                boolean changed = levels.onPressure(now, phase.pressure, phase.warmingUp);
                int step = levels.level().ordinal() - before;
                assertTrue(changed == (step != 0), "returns whether the level changed");
                assertTrue(Math.abs(step) <= 1, "one step at a time");
                assertTrue(step >= 0 || now - changedAtNanos >= minStayNanos,
                    "no better level before the minimum stay");
                assertTrue(step <= 0 || now - changedAtNanos >= 3 * INTERVAL_NANOS,
                    "no worse level within three intervals");
                assertTrue(step <= 0 || phase.pressure >= 1.05,
                    "no worse level below the lowest entering pressure");
                changedAtNanos = changed ? now : changedAtNanos;
            }
        }
    }

    /** After any sequence, full service returns within a bounded time once there is no pressure. */
    @Property(tries = 300, seed = "20261202")
    void returnsToFullServiceWithoutDemand(@ForAll("pressurePhases") List<PressurePhase> phases) {
        ServiceLevels levels = new ServiceLevels();
        long now = 50 * SECOND_NANOS;
        for (PressurePhase phase : phases) {
            for (int i = 0; i < phase.intervals; i++, now += INTERVAL_NANOS) {
                levels.onPressure(now, phase.pressure, phase.warmingUp);
            }
        }
        for (long end = now + 4 * 16 * SECOND_NANOS + SECOND_NANOS; now < end; now += INTERVAL_NANOS) {
            levels.onPressure(now, 0, false);
        }
        assertTrue(levels.level() == ServiceLevel.FULL, "still " + levels.level());
    }
}
