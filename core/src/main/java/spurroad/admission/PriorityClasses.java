package spurroad.admission;

import java.util.Arrays;

/**
 * Sorts requests into classes by priority, and computes which fraction of each class fits into the admitted
 * fraction of all requests. A class gets only what the classes of higher priority leave.
 *
 * <p>Requests within their tenant's quota come first, ordered by priority weight; requests over quota follow
 * in the same order. Counts decay exponentially, once per interval.
 */
final class PriorityClasses {
    private double[] weights = {}; // indexed by request class
    private int[] ranks = {}; // rank of each request class by weight; 0 is the highest
    private double highestWeight;
    private double[] counts = {}; // exponentially decayed, by priority class, highest first

    void configure(double[] priorityWeights) {
        weights = priorityWeights.clone();
        highestWeight = Arrays.stream(weights).max().orElse(0);
        double[] ascending = Arrays.stream(weights).distinct().sorted().toArray();
        ranks = Arrays.stream(weights).mapToInt(weight -> rank(ascending, weight)).toArray();
        int classCount = 2 * Math.max(1, ascending.length);
        counts = counts.length == classCount ? counts : new double[classCount];
    }

    private static int rank(double[] ascending, double weight) {
        return ascending.length - 1 - Arrays.binarySearch(ascending, weight);
    }

    boolean hasHighestWeight(int requestClass) {
        return weights[requestClass] >= highestWeight;
    }

    /** Counts a request and returns its priority class. */
    int countRequest(int requestClass, boolean overQuota) {
        int firstClass = overQuota ? counts.length / 2 : 0;
        int priorityClass = firstClass + ranks[requestClass];
        counts[priorityClass]++;
        return priorityClass;
    }

    /**
     * Returns the fraction of a class that fits; at most 0 if classes of higher priority take up everything,
     * and 1 or more if the whole class fits.
     */
    double admissibleFraction(int priorityClass, double admittedFraction) {
        double total = 0;
        double higherPriority = 0;
        for (int i = 0; i < counts.length; i++) {
            total += counts[i];
            higherPriority += i < priorityClass ? counts[i] : 0;
        }
        return (admittedFraction * total - higherPriority) / counts[priorityClass];
    }

    /** Decays the counts at the end of an interval. */
    void decay() {
        for (int i = 0; i < counts.length; i++) {
            counts[i] *= DemandEstimate.DECAY_FACTOR;
        }
    }
}
