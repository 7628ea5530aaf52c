package spurroad.control.decide;

import java.util.Arrays;

/**
 * A staged rollout of a policy. Some proxies, the canary, receive the policy first; the others follow stage
 * by stage as long as the canary performs no worse. Each stage lasts for a minimum time and a minimum number
 * of canary requests. The policy is rolled back everywhere when the canary's failure rate exceeds that of the
 * other proxies, the baseline, by more than a margin plus the variation that is expected by chance.
 *
 * <p>The proxies of a canary are chosen by a hash of their names and the version, so that every control
 * service chooses the same proxies, and each version uses different ones. The comparison is a one-sided
 * two-proportion z-test against the margin, which is repeated with every evaluation.
 *
 * <p>Not thread-safe. Times are nanoseconds of a monotonic clock.
 */
public final class Rollout {
    /** The progress of a rollout. */
    public enum Status {
        /** A stage is in progress. */
        IN_PROGRESS,
        /** All proxies have the policy; final. */
        COMPLETED,
        /** The policy was withdrawn from all proxies; final. */
        ROLLED_BACK
    }

    /** Significance threshold in standard deviations; 3 gives one false alarm in 740 evaluations. */
    private static final double SIGNIFICANT_DEVIATIONS = 3;

    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long SPLIT_MIX_FIRST_FACTOR = 0xbf58476d1ce4e5b9L;
    private static final long SPLIT_MIX_SECOND_FACTOR = 0x94d049bb133111ebL;
    /** Low bits of a hash to drop, as the mantissa of a double has only 53 bits. */
    private static final int EXCESS_BITS = 11;
    /** Scales a 53-bit integer to the range from 0 to below 1. */
    private static final double MANTISSA_UNIT = 0x1p-53;

    /** Counts the requests of a group of proxies in one stage. */
    private static final class RequestCounts {
        private long served; // answered in time
        private long total;

        private void add(long moreServed, long moreTotal) {
            served += moreServed;
            total += moreTotal;
        }

        private double failureRate() {
            return 1 - (double) served / total;
        }
    }

    private final String version;
    private final double[] stageFractions;
    private final long minStageNanos;
    private final long minCanaryRequests;
    private final double margin;
    private int stage;
    private long stageStartNanos;
    private RequestCounts canary = new RequestCounts(); // in this stage
    private RequestCounts baseline = new RequestCounts(); // in this stage
    private Status status = Status.IN_PROGRESS;

    /**
     * Begins the first stage.
     *
     * @param nowNanos the current time
     * @param version version of the policy
     * @param stageFractions fraction of the proxies that have the policy in each stage, ascending; the last
     *     one must be 1
     * @param minStageNanos minimum duration of a stage
     * @param minCanaryRequests minimum number of requests that the canary must report in a stage
     * @param margin by which the canary's failure rate may exceed the baseline's, as a fraction of all
     *     requests
     * @throws IllegalArgumentException if the last stage does not include all proxies
     */
    public Rollout(long nowNanos, String version, double[] stageFractions, long minStageNanos,
                   long minCanaryRequests, double margin) {
        if (stageFractions.length == 0 || stageFractions[stageFractions.length - 1] != 1) {
            throw new IllegalArgumentException(
                "stage fractions " + Arrays.toString(stageFractions)
                    + ": expected the last fraction to be 1");
        }
        this.version = version;
        this.stageFractions = stageFractions.clone();
        this.minStageNanos = minStageNanos;
        this.minCanaryRequests = minCanaryRequests;
        this.margin = margin;
        stageStartNanos = nowNanos;
    }

    /** Returns whether the policy applies to a proxy now. */
    public boolean includes(String proxy) {
        return status != Status.ROLLED_BACK && position(proxy) < stageFractions[stage];
    }

    /**
     * Returns a proxy's position in the order of the rollout, from 0 to below 1: an FNV-1a hash that is mixed
     * with the finalizer of SplitMix64.
     */
    private double position(String proxy) {
        long hash = FNV_OFFSET_BASIS;
        for (char letter : (version + '/' + proxy).toCharArray()) {
            hash = (hash ^ letter) * FNV_PRIME;
        }
        hash = (hash ^ hash >>> 30) * SPLIT_MIX_FIRST_FACTOR;
        hash = (hash ^ hash >>> 27) * SPLIT_MIX_SECOND_FACTOR;
        return ((hash ^ hash >>> 31) >>> EXCESS_BITS) * MANTISSA_UNIT;
    }

    /**
     * Adds a proxy's report to the counts of the current stage.
     *
     * @param served requests since the previous report that the proxy served in time
     * @param total all requests since the previous report
     */
    public void onReport(String proxy, long served, long total) {
        (includes(proxy) ? canary : baseline).add(served, total);
    }

    /**
     * Compares canary and baseline, and then advances to the next stage, completes the rollout or rolls it
     * back if that is due. Returns the resulting status.
     */
    public Status evaluate(long nowNanos) {
        if (status != Status.IN_PROGRESS || canary.total < minCanaryRequests) {
            return status;
        }
        if (isCanaryWorse()) {
            status = Status.ROLLED_BACK;
        } else if (nowNanos - stageStartNanos >= minStageNanos) {
            endStage(nowNanos);
        }
        return status;
    }

    private void endStage(long nowNanos) {
        canary = new RequestCounts();
        baseline = new RequestCounts();
        stageStartNanos = nowNanos;
        if (stage == stageFractions.length - 1) {
            status = Status.COMPLETED;
        } else {
            stage++;
        }
    }

    /** Returns false without a baseline, as in the last stage, because there is nothing to compare with. */
    private boolean isCanaryWorse() {
        if (baseline.total == 0) {
            return false;
        }
        double pooledRate = (canary.total + baseline.total - canary.served - baseline.served)
            / (double) (canary.total + baseline.total);
        double deviation = Math
            .sqrt(pooledRate * (1 - pooledRate) * (1.0 / canary.total + 1.0 / baseline.total));
        return canary.failureRate() - baseline.failureRate() > margin + SIGNIFICANT_DEVIATIONS * deviation;
    }

    /** Returns the fraction of the proxies that have the policy now. */
    public double includedFraction() {
        return status == Status.ROLLED_BACK ? 0 : stageFractions[stage];
    }
}
