package spurroad.control.decide;

import java.util.Arrays;

/**
 * Brings a new policy to some proxies first and to the rest when it has done them no harm. Which proxies are
 * first goes by a hash of their names and the new version, so that every control service chooses the same,
 * and not always the same ones. Each stage lasts for a least time and a least number of queries; a stage in
 * which the part of queries not served in time is larger than among the others by more than chance and a
 * margin ends the roll-out, and all go back.
 *
 * <p>The comparison is a two-proportion z-test, one-sided, against the margin. No clock: it is told the time.
 * Not for several threads.
 */
public final class Rollout {
    /** What becomes of it. */
    public enum Step { GOES_ON, DONE, TAKEN_BACK }

    private static final double DEVIATIONS = 3; // of chance; one false alarm in 740 looks

    private final String version;
    private final double[] stages;
    private final long leastNs;
    private final long leastQueries;
    private final double margin;
    private int stage;
    private long since;
    // in this stage
    private long firstServed;
    private long firstAll;
    private long restServed;
    private long restAll;
    private Step step = Step.GOES_ON;

    /**
     * Begins one.
     *
     * @param version of the policy that is rolled out
     * @param stages parts of the proxies that have it, rising, the last one 1
     * @param leastNs that a stage lasts, in nanoseconds
     * @param leastQueries that those who have it must have reported in a stage
     * @param margin by which more may be served late or not at all, as a part of all
     */
    public Rollout(long now, String version, double[] stages, long leastNs, long leastQueries,
                   double margin) {
        if (stages.length == 0 || stages[stages.length - 1] != 1) {
            throw new IllegalArgumentException(
                "stages " + Arrays.toString(stages) + ": expected the last one to be 1");
        }
        this.version = version;
        this.stages = stages.clone();
        this.leastNs = leastNs;
        this.leastQueries = leastQueries;
        this.margin = margin;
        since = now;
    }

    /** Whether a proxy is to have the new policy now. */
    public boolean has(String proxy) {
        return step != Step.TAKEN_BACK && place(proxy) < stages[stage];
    }

    /** From 0 up to 1, the same wherever it is asked. */
    private double place(String proxy) {
        // FNV-1a, then the finisher of SplitMix64: names that differ little lie apart
        long z = 0xcbf29ce484222325L;
        for (char c : (version + '/' + proxy).toCharArray()) {
            z = (z ^ c) * 0x100000001b3L;
        }
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return ((z ^ z >>> 31) >>> 11) * 0x1p-53;
    }

    /** A proxy's report: of so many queries since its last one so many were served in time. */
    public void reported(String proxy, long served, long all) {
        if (has(proxy)) {
            firstServed += served;
            firstAll += all;
        } else {
            restServed += served;
            restAll += all;
        }
    }

    /** Looks at what was reported, at a time that never goes back; to be called now and then. */
    public Step look(long now) {
        if (step != Step.GOES_ON || firstAll < leastQueries) {
            return step;
        }
        if (isWorse()) {
            step = Step.TAKEN_BACK;
        } else if (now - since >= leastNs) {
            firstServed = firstAll = restServed = restAll = 0;
            since = now;
            if (stage == stages.length - 1) {
                step = Step.DONE;
            } else {
                stage++;
            }
        }
        return step;
    }

    /** Where nobody is without it any more there is nothing to compare with: it was compared before. */
    private boolean isWorse() {
        if (restAll == 0) {
            return false;
        }
        double first = 1 - (double) firstServed / firstAll;
        double rest = 1 - (double) restServed / restAll;
        double pooled = (firstAll + restAll - firstServed - restServed) / (double) (firstAll + restAll);
        double deviation = Math.sqrt(pooled * (1 - pooled) * (1.0 / firstAll + 1.0 / restAll));
        return first - rest > margin + DEVIATIONS * deviation;
    }

    /** The part of proxies that have it now. */
    public double part() {
        return step == Step.TAKEN_BACK ? 0 : stages[stage];
    }
}
