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
    // at full utilization the operating system throttles the process
    private static final double TARGET_UTILIZATION = 0.97;
    private static final double INCREASE_BELOW_UTILIZATION = 0.9;
    // of the fraction, per interval: it grows from half to all requests within a second
    private static final double MAX_INCREASE = 0.05;
    // increases are proportionally smaller below a fraction of 1/6, where the largest one may use up the
    // whole capacity
    private static final double INCREASE_SCALE = 6;
    // a single bad interval must not reject nearly everything
    private static final double MIN_DECREASE_FACTOR = 0.5;
    // utilization does not exceed the capacity however high the demand, so a decrease by the excess alone
    // would be too small
    private static final double MAX_DECREASE_FACTOR = 0.92;

    private double fraction = 1;
    private double recentUtilization;

    double fraction() {
        return fraction;
    }

    /** Returns the recent utilization of the scarcest resource, which rises immediately and falls slowly. */
    double recentUtilization() {
        return recentUtilization;
    }

    /**
     * Updates the fraction by the utilization of the scarcest resource over the last interval; 1 is full
     * utilization.
     */
    void adjust(double utilization) {
        recentUtilization = Math.max(utilization, (recentUtilization + utilization) / 2);
        if (utilization > TARGET_UTILIZATION) {
            double factor = Math.max(MIN_DECREASE_FACTOR,
                Math.min(MAX_DECREASE_FACTOR, TARGET_UTILIZATION / utilization));
            fraction = Math.max(MIN_FRACTION, fraction * factor);
        } else if (recentUtilization < INCREASE_BELOW_UTILIZATION) {
            fraction = Math.min(1, fraction + MAX_INCREASE * Math.min(1, INCREASE_SCALE * fraction));
        }
    }
}
