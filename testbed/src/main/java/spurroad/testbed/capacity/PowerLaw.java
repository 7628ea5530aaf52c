package spurroad.testbed.capacity;

/**
 * A value that grows as a power of a size: {@code factor * size^exponent}, fitted by least squares of the
 * logarithms.
 *
 * @param factor the value at size one
 * @param exponent 0 for what does not grow, 1 for what grows in proportion, 2 for what grows as the square
 */
public record PowerLaw(double factor, double exponent) {
    // of an exponent: noise of a busy machine is smaller over two decades
    private static final double NEAR = 0.15;
    // n log n looks like so much more than 1, at most, at these sizes
    private static final double LOGARITHM = 0.3;

    /** The law through points whose values are all above zero; two sizes at least. */
    public static PowerLaw fit(double[] sizes, double[] values) {
        double meanX = 0;
        double meanY = 0;
        for (int i = 0; i < sizes.length; i++) {
            meanX += Math.log(sizes[i]) / sizes.length;
            meanY += Math.log(values[i]) / sizes.length;
        }
        double covariance = 0;
        double variance = 0;
        for (int i = 0; i < sizes.length; i++) {
            double x = Math.log(sizes[i]) - meanX;
            covariance += x * (Math.log(values[i]) - meanY);
            variance += x * x;
        }
        double exponent = covariance / variance;
        return new PowerLaw(Math.exp(meanY - exponent * meanX), exponent);
    }

    /** The value at a size. */
    public double at(double size) {
        return factor * Math.pow(size, exponent);
    }

    /** The shape in words. */
    public String shape() {
        if (exponent < -NEAR) {
            return "falls";
        }
        if (exponent <= NEAR) {
            return "constant";
        }
        if (exponent < 1 - NEAR) {
            return "less than linear";
        }
        if (exponent <= 1 + NEAR) {
            return "linear";
        }
        if (exponent <= 1 + LOGARITHM) {
            return "n log n";
        }
        return exponent < 2 - NEAR ? "between linear and square"
            : exponent <= 2 + NEAR ? "square" : "over square";
    }
}
