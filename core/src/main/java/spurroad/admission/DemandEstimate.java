package spurroad.admission;

/**
 * Estimates the ratio of offered load to capacity. Unlike the utilization, this ratio does not fall as
 * requests are rejected, so a service level that follows it does not remove its own cause.
 */
final class DemandEstimate {
    /** Factor by which counts decay per interval, so that they cover about half a second. */
    static final double DECAY_FACTOR = 0.8;

    private static final double REJECTION_COST = 0.1; // relative to an admitted request
    // below this utilization the demand of rejected requests is not extrapolated: otherwise the background
    // work of the process is attributed to the few admitted requests, and a degraded service level sustains
    // itself
    private static final double MIN_EXTRAPOLATION_UTILIZATION = 0.6;

    private double admitted;
    private double rejected;
    private double pressure;

    void countRequest(boolean isAdmitted) {
        if (isAdmitted) {
            admitted++;
        } else {
            rejected++;
        }
    }

    /** Returns the last estimate; at 1 the offered load equals the capacity. */
    double pressure() {
        return pressure;
    }

    /**
     * Updates the estimate at the end of an interval.
     *
     * @param utilization utilization of the scarcest resource in the interval
     * @param recentUtilization utilization of the scarcest resource over the last intervals
     */
    void measure(double utilization, double recentUtilization) {
        double work = admitted + REJECTION_COST * rejected;
        boolean extrapolates = recentUtilization >= MIN_EXTRAPOLATION_UTILIZATION && work >= 1;
        pressure = extrapolates ? utilization * (admitted + rejected) / work : utilization;
        admitted *= DECAY_FACTOR;
        rejected *= DECAY_FACTOR;
    }
}
