package spurroad.testbed.capacity;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * The results of a measurement.
 *
 * @param measure that gave them
 * @param sizes measured, rising
 * @param runs values by size, then run, then column
 */
public record Series(Measure measure, List<Integer> sizes, List<List<List<Double>>> runs) {
    /** The sizes at the upper end by which a slope is told: small ones are ruled by what does not grow. */
    private static final int END = 3;

    /**
     * Measures all sizes. Runs go through all sizes in turn, so a burst of other work meets not one size
     * alone.
     */
    public static Series of(Measure measure, MeasurementBudget budget) throws Exception {
        List<Integer> sizes = measure.sizes(budget);
        List<List<List<Double>>> runs = new ArrayList<>();
        sizes.forEach(size -> runs.add(new ArrayList<>()));
        warmUp(measure, sizes, budget);
        for (int run = 0; run < budget.runs(); run++) {
            for (int i = 0; i < sizes.size(); i++) {
                runs.get(i).add(measure.run(sizes.get(i), budget));
            }
        }
        return new Series(measure, sizes, runs);
    }

    /** The compiler is done with most of it afterwards. */
    private static void warmUp(Measure measure, List<Integer> sizes, MeasurementBudget budget)
        throws Exception {
        for (int run = 0; run < budget.runs(); run++) {
            measure.run(sizes.get(sizes.size() / 2), budget);
        }
    }

    /** The largest size that was measured. */
    public int largest() {
        return sizes.get(sizes.size() - 1);
    }

    /** The median of a column's runs, by the place of the size. */
    public double median(int place, int column) {
        double[] sorted = sorted(place, column);
        int half = sorted.length / 2;
        return sorted.length % 2 == 1 ? sorted[half] : (sorted[half - 1] + sorted[half]) / 2;
    }

    /** The largest run less the smallest, as a part of the median; 0 where all are zero. */
    public double spread(int place, int column) {
        double[] sorted = sorted(place, column);
        double median = median(place, column);
        return median == 0 ? 0 : (sorted[sorted.length - 1] - sorted[0]) / median;
    }

    private double[] sorted(int place, int column) {
        double[] values = runs.get(place).stream().mapToDouble(run -> run.get(column)).toArray();
        Arrays.sort(values);
        return values;
    }

    /** How a column grows over all sizes; empty where it is zero somewhere. */
    public Optional<PowerLaw> slope(int column) {
        return slope(column, 0);
    }

    /** How a column grows over the last three sizes; empty where it is zero somewhere. */
    public Optional<PowerLaw> slopeAtEnd(int column) {
        return slope(column, Math.max(0, sizes.size() - END));
    }

    private Optional<PowerLaw> slope(int column, int from) {
        int count = sizes.size() - from;
        double[] x = new double[count];
        double[] y = new double[count];
        for (int i = 0; i < count; i++) {
            x[i] = sizes.get(from + i);
            y[i] = median(from + i, column);
            if (y[i] <= 0) {
                return Optional.empty();
            }
        }
        return Optional.of(PowerLaw.fit(x, y));
    }

    /**
     * A column at a size. Between measured sizes it is taken on the power law through the two neighbours,
     * beyond the largest one on the law through the last three, from the largest one on.
     */
    public double at(double size, int column) {
        int last = sizes.size() - 1;
        if (size > sizes.get(last)) {
            double exponent = slopeAtEnd(column).map(PowerLaw::exponent).orElse(0.0);
            return median(last, column) * Math.pow(size / sizes.get(last), exponent);
        }
        int above = 0;
        while (above < last && sizes.get(above) < size) {
            above++;
        }
        if (above == 0 || sizes.get(above) == size) {
            return median(above, column);
        }
        double low = median(above - 1, column);
        double high = median(above, column);
        double part = Math.log(size / sizes.get(above - 1))
            / Math.log((double) sizes.get(above) / sizes.get(above - 1));
        return low <= 0 || high <= 0 ? low + (high - low) * part : low * Math.pow(high / low, part);
    }

    /**
     * How many times the largest measured size a size is; 1 at most where it was measured or lies between.
     */
    public double beyond(double size) {
        return Math.max(1, size / largest());
    }
}
