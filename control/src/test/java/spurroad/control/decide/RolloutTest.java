package spurroad.control.decide;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/** Tests a staged rollout with simulated proxies. */
public class RolloutTest {
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final double[] STAGES = {0.1, 0.5, 1};
    private final List<String> proxies = IntStream.range(0, 200).mapToObj(i -> "p-" + i).toList();

    private static Rollout newRollout(String version) {
        return new Rollout(0, version, STAGES, 30 * SECOND_NANOS, 1000, 0.005);
    }

    /**
     * Simulates proxies with different success rates in baseline and canary; returns the last status.
     */
    private Rollout.Status simulate(Rollout rollout, double baselineRate, double canaryRate, int seconds) {
        Random random = new Random(4);
        Rollout.Status status = Rollout.Status.IN_PROGRESS;
        for (int second = 1; second <= seconds && status == Rollout.Status.IN_PROGRESS; second++) {
            for (String proxy : proxies) {
                double rate = rollout.includes(proxy) ? canaryRate : baselineRate;
                rollout.onReport(proxy,
                    IntStream.range(0, 20).filter(i -> random.nextDouble() < rate).count(), 20);
            }
            status = rollout.evaluate(second * SECOND_NANOS);
        }
        return status;
    }

    @Test
    public void canaryDependsOnlyOnVersion() {
        List<String> canary = proxies.stream().filter(newRollout("v1")::includes).toList();
        assertEquals(proxies.stream().filter(newRollout("v1")::includes).toList(), canary);
        assertNotEquals(proxies.stream().filter(newRollout("v2")::includes).toList(), canary);
        assertTrue(canary.size() > 8 && canary.size() < 36,
            canary.size() + " of 200 proxies in the first stage, which includes a tenth");
    }

    @Test
    public void harmlessPolicyReachesAllProxiesInStages() {
        Rollout rollout = newRollout("v1");
        assertEquals(simulate(rollout, 0.97, 0.97, 29), Rollout.Status.IN_PROGRESS);
        assertEquals(rollout.includedFraction(), 0.1);
        assertEquals(simulate(newRollout("v1"), 0.97, 0.97, 200), Rollout.Status.COMPLETED);
    }

    @Test
    public void harmfulPolicyIsRolledBackEverywhere() {
        Rollout rollout = newRollout("v1");
        assertEquals(simulate(rollout, 0.97, 0.90, 200), Rollout.Status.ROLLED_BACK);
        assertEquals(rollout.includedFraction(), 0.0);
        assertTrue(proxies.stream().noneMatch(rollout::includes));
        assertEquals(rollout.evaluate(1000 * SECOND_NANOS), Rollout.Status.ROLLED_BACK, "rollback is final");
    }

    @Test
    public void failuresSharedWithTheBaselineDoNotRollBack() {
        assertEquals(simulate(newRollout("v1"), 0.4, 0.4, 200), Rollout.Status.COMPLETED);
    }

    @Test
    public void firstStageContinuesWithoutReports() {
        Rollout rollout = newRollout("v1");
        assertEquals(rollout.evaluate(1000 * SECOND_NANOS), Rollout.Status.IN_PROGRESS);
        assertEquals(rollout.includedFraction(), 0.1);
    }

    @Test
    public void lastStageMustIncludeAllProxies() {
        assertThrows(IllegalArgumentException.class,
            () -> new Rollout(0, "v", new double[] {0.5}, SECOND_NANOS, 1, 0));
    }
}
