package spurroad.admission;

import java.util.Random;

/**
 * Decides which requests a proxy admits by its own resources: its CPU share, its memory and its queueing
 * delay. The load balancer decides afterwards by the state of endpoints and by deadlines; a request rejected
 * here costs only the reading of the request and the writing of the response.
 *
 * <p>The admitted fraction of requests follows the utilization of the scarcest resource
 * ({@link AdmittedFraction}: additive increase, multiplicative decrease, Chiu and Jain, 1989). It is filled
 * by priority, as in DAGOR (Zhou et al., 2018): higher classes first; requests of the last class, which fits
 * in part only, are drawn at random ({@link PriorityClasses}). In addition the {@link ServiceLevel} may
 * exclude whole classes; it follows the pressure, which is the ratio of offered load to capacity.
 *
 * <p>Performs no I/O and reads no clock: callers pass the time. Not thread-safe.
 */
public final class AdmissionPolicy {
    /**
     * Interval between calls of {@link #onInterval}, in nanoseconds. It spans about ten of the pauses with
     * which the operating system enforces a CPU quota.
     */
    public static final long INTERVAL_NANOS = 100_000_000L;

    private final Random random;
    private final ServiceLevels levels = new ServiceLevels();
    private final AdmittedFraction admitted = new AdmittedFraction();
    private final DemandEstimate demand = new DemandEstimate();
    private final PriorityClasses classes = new PriorityClasses();
    private final TenantRates tenants = new TenantRates();
    private long maxQueueDelayNanos;
    private long retryAfterNanos;
    private long maxRetryAfterNanos;

    /**
     * Creates a policy that initially admits everything. The seed determines its random draws; the other
     * parameters are those of {@link #configure}.
     */
    public AdmissionPolicy(double[] priorityWeights, double[] quotasPerSecond, long maxQueueDelay,
                           long retryAfter, long maxRetryAfter, long seed) {
        random = new Random(seed);
        configure(priorityWeights, quotasPerSecond, maxQueueDelay, retryAfter, maxRetryAfter);
    }

    /**
     * Replaces the settings for subsequent requests; the admitted fraction and the service level are kept.
     *
     * @param priorityWeights priority weight of each request class
     * @param quotasPerSecond this proxy's share of each tenant's quota, in requests per second
     * @param maxQueueDelay longest acceptable queueing delay in the proxy, in nanoseconds: a fraction of the
     *     shortest latency objective
     * @param retryAfter mean Retry-After of rejections while the pressure is at most 1, in nanoseconds
     * @param maxRetryAfter longest Retry-After, in nanoseconds; zero if rejections carry none
     */
    public void configure(double[] priorityWeights, double[] quotasPerSecond, long maxQueueDelay,
                          long retryAfter, long maxRetryAfter) {
        classes.configure(priorityWeights);
        tenants.configure(quotasPerSecond);
        maxQueueDelayNanos = maxQueueDelay;
        retryAfterNanos = retryAfter;
        maxRetryAfterNanos = maxRetryAfter;
    }

    /** Returns the current service level. */
    public ServiceLevel level() {
        return levels.level();
    }

    /** Returns the fraction of requests that is currently admitted, from 0 to 1. */
    public double admittedFraction() {
        return admitted.fraction();
    }

    /** Returns the ratio of offered load to capacity, as of the last interval. */
    public double pressure() {
        return demand.pressure();
    }

    /**
     * Decides whether a request is admitted, and counts it.
     *
     * @param requestClass index of its class among the priority weights
     * @param tenant index of its tenant among the quotas; any other number denotes an unknown tenant
     */
    public boolean admits(int requestClass, int tenant) {
        boolean overQuota = tenants.countRequest(tenant);
        int priorityClass = classes.countRequest(requestClass, overQuota);
        boolean admits = levelAllows(requestClass, overQuota) && fitsAdmittedFraction(priorityClass);
        demand.countRequest(admits);
        return admits;
    }

    private boolean levelAllows(int requestClass, boolean overQuota) {
        return switch (levels.level()) {
            case FULL -> true;
            case WITHIN_QUOTAS, NO_RETRIES -> !overQuota;
            case HIGHEST_PRIORITY_ONLY -> !overQuota && classes.hasHighestWeight(requestClass);
            case IN_FLIGHT_ONLY -> false;
        };
    }

    private boolean fitsAdmittedFraction(int priorityClass) {
        double fraction = admitted.fraction();
        return fraction >= 1 || random.nextDouble() < classes.admissibleFraction(priorityClass, fraction);
    }

    /**
     * Updates the admitted fraction and the service level by the resource usage of the last interval. Must be
     * called once per interval, with times that never decrease.
     *
     * @param warmingUp whether endpoints are still warming up
     * @return whether the service level has changed
     */
    public boolean onInterval(long now, ResourceUsage usage, boolean warmingUp) {
        double utilization = usage.maxUtilization(maxQueueDelayNanos);
        admitted.adjust(utilization);
        demand.measure(utilization, admitted.recentUtilization());
        classes.decay();
        tenants.decay();
        return levels.onPressure(now, demand.pressure(), warmingUp);
    }

    /**
     * Returns the Retry-After of a rejection, in nanoseconds: it grows with the pressure, and jitter keeps
     * clients from returning together. Zero if rejections carry none.
     */
    public long retryAfterNanos() {
        double meanNanos = retryAfterNanos * Math.max(1, demand.pressure());
        return (long) Math.min((double) maxRetryAfterNanos, meanNanos * (0.5 + random.nextDouble()));
    }
}
