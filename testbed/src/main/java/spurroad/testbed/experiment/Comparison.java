package spurroad.testbed.experiment;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

/**
 * Two builds or policies on the same scenario, paired by seed. The interval of the mean difference is a
 * percentile bootstrap over the pairs (Efron, 1979), which assumes no distribution of the differences.
 *
 * @param pairs goodput of the first and the second, by seed
 * @param difference mean of second less first
 * @param from lower end of its 95% interval
 * @param to upper end
 */
public record Comparison(String first, String second, List<Pair> pairs, double difference, double from,
                         double to) {
    private static final int RESAMPLES = 10_000;
    private static final double TAIL = 0.025; // of the interval, at each end
    private static final long SEED = 20_261_201; // fixed, so that the same pairs give the same interval

    /** The goodput of both with one seed, and how often each broke a rule. */
    public record Pair(long seed, double first, double second, int firstBroken, int secondBroken) {}

    /** Compares two lists of results, which are paired by their positions; void runs are left out. */
    public static Comparison of(List<Result> first, List<Result> second) {
        List<Pair> pairs = pairs(first, second);
        double[] differences = pairs.stream().mapToDouble(pair -> pair.second - pair.first).toArray();
        double[] means = resampledMeans(differences);
        Arrays.sort(means);
        return new Comparison(build(first), build(second), pairs,
            Arrays.stream(differences).average().orElse(Double.NaN), means[(int) (TAIL * RESAMPLES)],
            means[(int) ((1 - TAIL) * RESAMPLES) - 1]);
    }

    private static String build(List<Result> results) {
        return results.isEmpty() ? "" : results.get(0).build();
    }

    private static List<Pair> pairs(List<Result> first, List<Result> second) {
        List<Pair> pairs = new ArrayList<>();
        for (int i = 0; i < first.size(); i++) {
            Result a = first.get(i);
            Result b = second.get(i);
            if (a.seed() != b.seed() || !a.scenario().equals(b.scenario())) {
                throw new IllegalArgumentException("results of different runs can't be paired: "
                    + a.scenario() + " seed " + a.seed() + " and " + b.scenario() + " seed " + b.seed());
            }
            if (a.voidFor().isEmpty() && b.voidFor().isEmpty()) {
                pairs.add(new Pair(a.seed(), a.goodput(), b.goodput(), a.broken(), b.broken()));
            }
        }
        return pairs;
    }

    private static double[] resampledMeans(double[] differences) {
        double[] means = new double[RESAMPLES];
        Random random = new Random(SEED);
        for (int resample = 0; resample < RESAMPLES; resample++) {
            double sum = 0;
            for (int i = 0; i < differences.length; i++) {
                sum += differences[random.nextInt(differences.length)];
            }
            means[resample] = sum / Math.max(1, differences.length);
        }
        return means;
    }
}
