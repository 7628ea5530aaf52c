package spurroad.admission;

import java.util.Arrays;

/**
 * Changes the service level, one step at a time, by the pressure: the ratio of offered load to capacity. The
 * pressure does not fall as requests are rejected, so a level does not remove its own cause.
 *
 * <p>To prevent flapping, each level is entered at a higher pressure than it is left at, and the next better
 * level follows only after a minimum stay, which doubles each time the level is entered again soon after it
 * was left. Invariant: a call changes the level by at most one step. Performs no I/O and reads no clock:
 * callers pass the time.
 */
public final class ServiceLevels {
    // pressure at which each level is entered. The last two are for the case that rejections alone use up the
    // resources: below that, the admitted fraction, which is filled by priority, has more total weight than
    // the highest class alone
    private static final double[] ENTRY_PRESSURES = {0, 1.05, 1.4, 8, 20};
    // a level is left below this fraction of its entry pressure; measurements fluctuate by less
    private static final double EXIT_PRESSURE_FACTOR = 0.8;
    // the pressure must last for three measurements in a row, so that a single burst has no effect
    private static final long MIN_OVERLOAD_NANOS = 300_000_000L;
    private static final long MIN_STAY_NANOS = 1_000_000_000L; // at a level before the next better one
    private static final long MAX_STAY_NANOS = 16_000_000_000L; // the minimum stay is not doubled beyond this
    // a level that is entered again within this time was left too early
    private static final long REENTRY_NANOS = 10_000_000_000L;
    private static final int WARM_UP_STAY_FACTOR = 2; // lets endpoints warm up meanwhile

    private static final long NEVER_NANOS = Long.MIN_VALUE / 2;
    private static final long UNSET_NANOS = Long.MAX_VALUE;

    private final long[] stayNanos = new long[ServiceLevel.values().length];
    private final long[] leftNanos = new long[ServiceLevel.values().length];
    private ServiceLevel level = ServiceLevel.FULL;
    private long enteredNanos = NEVER_NANOS;
    private long worseDueSinceNanos = UNSET_NANOS;
    private long betterDueSinceNanos = UNSET_NANOS;
    private long changes;

    /** Creates the levels with full service and the shortest minimum stay at each level. */
    public ServiceLevels() {
        Arrays.fill(stayNanos, MIN_STAY_NANOS);
        Arrays.fill(leftNanos, NEVER_NANOS);
    }

    /** Returns the current service level. */
    public ServiceLevel level() {
        return level;
    }

    /** Returns the number of changes of the level since the start. */
    public long changes() {
        return changes;
    }

    /** Returns the minimum stay at the current level before the next better one, in nanoseconds. */
    public long minimumStayNanos() {
        return stayNanos[level.ordinal()];
    }

    /**
     * Updates the level by the pressure. Must be called about ten times a second, with times that never
     * decrease.
     *
     * @param warmingUp whether endpoints are still warming up and so sustain less load than was measured
     * @return whether the level has changed
     */
    public boolean onPressure(long now, double pressure, boolean warmingUp) {
        worseDueSinceNanos = isWorseDue(pressure) ? Math.min(worseDueSinceNanos, now) : UNSET_NANOS;
        betterDueSinceNanos = isBetterDue(pressure) ? Math.min(betterDueSinceNanos, now) : UNSET_NANOS;
        if (lasted(worseDueSinceNanos, MIN_OVERLOAD_NANOS, now) && now - enteredNanos >= MIN_OVERLOAD_NANOS) {
            enterWorse(now);
            return true;
        }
        long minStayNanos = warmingUp ? WARM_UP_STAY_FACTOR * minimumStayNanos() : minimumStayNanos();
        if (lasted(betterDueSinceNanos, minStayNanos / 2, now) && now - enteredNanos >= minStayNanos) {
            enterBetter(now);
            return true;
        }
        return false;
    }

    private boolean isWorseDue(double pressure) {
        int next = level.ordinal() + 1;
        return next < ENTRY_PRESSURES.length && pressure >= ENTRY_PRESSURES[next];
    }

    private boolean isBetterDue(double pressure) {
        return level != ServiceLevel.FULL
            && pressure < EXIT_PRESSURE_FACTOR * ENTRY_PRESSURES[level.ordinal()];
    }

    private static boolean lasted(long sinceNanos, long durationNanos, long now) {
        return sinceNanos != UNSET_NANOS && now - sinceNanos >= durationNanos;
    }

    private void enterWorse(long now) {
        int worse = level.ordinal() + 1;
        boolean reenteredSoon = now - leftNanos[worse] < REENTRY_NANOS;
        stayNanos[worse] = reenteredSoon ? Math.min(MAX_STAY_NANOS, 2 * stayNanos[worse]) : MIN_STAY_NANOS;
        change(now, ServiceLevel.values()[worse]);
    }

    private void enterBetter(long now) {
        leftNanos[level.ordinal()] = now;
        change(now, ServiceLevel.values()[level.ordinal() - 1]);
    }

    private void change(long now, ServiceLevel newLevel) {
        level = newLevel;
        enteredNanos = now;
        worseDueSinceNanos = UNSET_NANOS;
        betterDueSinceNanos = UNSET_NANOS;
        changes++;
    }
}
