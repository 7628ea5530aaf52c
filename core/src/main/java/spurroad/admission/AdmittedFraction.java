package spurroad.admission;

/**
 * The fraction of requests that is admitted, which keeps the utilization of the scarcest resource just below
 * its limit by additive increase and multiplicative decrease (Chiu and Jain, 1989).
 *
 * <p>It decreases immediately, in proportion to the excess, but increases only while the recent utilization
 * is low, and by small steps. Invariant: it lies between {@link #MIN_FRACTION} and 1.
 */
final class AdmittedFraction {
    // the requests that are always admitted show the capacity
    private static final double MIN_FRACTION = 0.01;
    private static final double TARGET = 0.97; // at full utilization the host throttles the process
    private static final double RAISE_BELOW = 0.9;
    private static final double MAX_STEP = 0.05; // per interval; from half to all requests within a second
    // increases are proportionally smaller below a fraction of 1/6, where the largest one may use up the
    // whole capacity
    private static final double STEP_PER_FRACTION = 6;
    // a single bad interval must not reject nearly everything
    private static final double MIN_CUT_FACTOR = 0.5;
    // utilization does not exceed the capacity however high the demand, so a decrease by the excess alone
    // would be too small
    private static final double MAX_CUT_FACTOR = 0.92;

    private double fraction = 1;
    private double recentlyUsed;

    double fraction() {
        return fraction;
    }

    /** Returns the recent utilization of the scarcest resource, which rises immediately and falls slowly. */
    double recentlyUsed() {
        return recentlyUsed;
    }

    /**
     * Updates the fraction by the utilization of the scarcest resource over the last interval; 1 is full
     * utilization.
     */
    void adjust(double used) {
        recentlyUsed = Math.max(used, (recentlyUsed + used) / 2);
        if (used > TARGET) {
            double factor = Math.max(MIN_CUT_FACTOR, Math.min(MAX_CUT_FACTOR, TARGET / used));
            fraction = Math.max(MIN_FRACTION, fraction * factor);
        } else if (recentlyUsed < RAISE_BELOW) {
            fraction = Math.min(1, fraction + MAX_STEP * Math.min(1, STEP_PER_FRACTION * fraction));
        }
    }
}
