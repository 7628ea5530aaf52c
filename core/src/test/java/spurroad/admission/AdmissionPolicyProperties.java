package spurroad.admission;

import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Properties of the admission policy under any mix of request classes and any demand. */
class AdmissionPolicyProperties {
    private static final long INTERVAL_NANOS = AdmissionPolicy.INTERVAL_NANOS;
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final long MAX_QUEUE_DELAY_NANOS = 75_000_000L;

    /**
     * Returns the admitted fraction of each class over the last ten of twenty seconds; the demand is a
     * multiple of the proxy's capacity.
     */
    private static double[] admittedFractions(AdmissionPolicy policy, List<Double> weights, double demand,
                                              int seed) {
        Random random = new Random(seed);
        double[] arrived = new double[weights.size()];
        double[] admitted = new double[weights.size()];
        long now = 50 * SECOND_NANOS;
        double requestsPerInterval = 100;
        for (int i = 0; i < 200; i++, now += INTERVAL_NANOS) {
            double work = 0;
            for (int request = 0; request < requestsPerInterval * demand; request++) {
                int requestClass = random.nextInt(weights.size());
                boolean admits = policy.admits(requestClass, -1);
                work += admits ? 1 : 0.05;
                arrived[requestClass] += i >= 100 ? 1 : 0;
                admitted[requestClass] += admits && i >= 100 ? 1 : 0;
            }
            policy.onInterval(now, new ResourceUsage(Math.min(1, work / requestsPerInterval), 0, 0), false);
        }
        for (int i = 0; i < admitted.length; i++) {
            admitted[i] = arrived[i] == 0 ? 1 : admitted[i] / arrived[i];
        }
        return admitted;
    }

    private static AdmissionPolicy createPolicy(List<Double> weights, int seed) {
        return new AdmissionPolicy(weights.stream().mapToDouble(Double::doubleValue).toArray(),
            new double[0],
            MAX_QUEUE_DELAY_NANOS,
            150_000_000L, 2 * SECOND_NANOS, seed);
    }

    /** While the demand is below the capacity, all requests of every class are admitted. */
    @Property(tries = 60, seed = "20261203")
    void admitsEveryClassFullyBelowCapacity(@ForAll @Size(min = 1,
        max = 5) List<@DoubleRange(min = 0.1, max = 9) Double> weights,
                                            @ForAll @DoubleRange(min = 0.05, max = 0.85) double demand,
                                            @ForAll @IntRange(max = 1000) int seed) {
        AdmissionPolicy policy = createPolicy(weights, seed);
        double[] admitted = admittedFractions(policy, weights, demand, seed);
        assertTrue(policy.level() == ServiceLevel.FULL, "level " + policy.level());
        for (double fraction : admitted) {
            assertTrue(fraction == 1, "admitted fraction " + fraction);
        }
    }

    /** The admitted fraction of a class is never less than that of one with a lower weight. */
    @Property(tries = 60, seed = "20261204")
    void admitsHigherWeightAtLeastAsMuchAsLower(@ForAll @Size(min = 2,
        max = 4) List<@DoubleRange(min = 0.1, max = 9) Double> weights,
                                                @ForAll @DoubleRange(min = 0.5, max = 6) double demand,
                                                @ForAll @IntRange(max = 1000) int seed) {
        double[] admitted = admittedFractions(createPolicy(weights, seed), weights, demand, seed);
        for (int i = 0; i < admitted.length; i++) {
            for (int j = 0; j < admitted.length; j++) {
                assertTrue(weights.get(i) <= weights.get(j) || admitted[i] >= admitted[j] - 0.05,
                    "weight " + weights.get(i) + " admitted to " + admitted[i] + ", weight " + weights.get(j)
                        + " to "
                        + admitted[j]);
            }
        }
    }

    /**
     * Retry-After times lie between zero and their maximum, and the admitted fraction between its minimum and
     * one.
     */
    @Property(tries = 200, seed = "20261205")
    void boundsRetryAfterAndAdmittedFraction(@ForAll @Size(min = 1,
        max = 60) List<@DoubleRange(max = 5) Double> utilizations,
                                             @ForAll @IntRange(max = 1000) int seed) {
        AdmissionPolicy policy = createPolicy(List.of(1.0, 2.0), seed);
        long now = 50 * SECOND_NANOS;
        for (double utilization : utilizations) {
            for (int request = 0; request < 20; request++) {
                policy.admits(request % 2, -1);
            }
            policy.onInterval(now += INTERVAL_NANOS, new ResourceUsage(utilization, 0, 0), false);
            assertTrue(policy.admittedFraction() >= 0.01 && policy.admittedFraction() <= 1,
                "admitted fraction " + policy.admittedFraction());
            long retryAfterNanos = policy.retryAfterNanos();
            assertTrue(retryAfterNanos >= 0 && retryAfterNanos <= 2 * SECOND_NANOS,
                "Retry-After in nanoseconds: " + retryAfterNanos);
        }
    }
}
