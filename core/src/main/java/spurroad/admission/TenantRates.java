package spurroad.admission;

import java.util.Arrays;

/**
 * Detects tenants that exceed this proxy's share of their quota over about a second, with a margin for random
 * variation.
 */
final class TenantRates {
    private static final long AVERAGING_INTERVALS = 10; // over which request rates are averaged
    // multiple of the quota; a smaller excess may be random variation
    private static final double OVER_QUOTA_FACTOR = 1.2;
    private static final double MARGIN_STANDARD_DEVIATIONS = 3; // tolerated in addition to the factor
    private static final double MARGIN_REQUESTS = 3; // tolerated in addition to both

    private double[] quotasPerSecond = {};
    private double[] counts = {}; // exponentially decayed, indexed by tenant

    /** Replaces the quotas; the counts of remaining tenants are retained. */
    void configure(double[] quotas) {
        quotasPerSecond = quotas.clone();
        counts = Arrays.copyOf(counts, quotas.length);
    }

    /** Counts a request and returns whether its tenant is over quota; an unknown tenant never is. */
    boolean countRequest(int tenant) {
        if (tenant < 0 || tenant >= counts.length) {
            return false;
        }
        counts[tenant]++;
        double seconds = AVERAGING_INTERVALS * AdmissionPolicy.INTERVAL_NANOS / 1e9;
        double allowedRequests = quotasPerSecond[tenant] * seconds;
        return counts[tenant]
            > OVER_QUOTA_FACTOR * allowedRequests + MARGIN_STANDARD_DEVIATIONS * Math.sqrt(allowedRequests)
                + MARGIN_REQUESTS;
    }

    /** Decays the counts at the end of an interval. */
    void decay() {
        for (int i = 0; i < counts.length; i++) {
            counts[i] *= 1 - 1.0 / AVERAGING_INTERVALS;
        }
    }
}
