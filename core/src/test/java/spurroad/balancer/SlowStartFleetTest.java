package spurroad.balancer;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.balancer.ColdEndpointSimulation.Traffic;
import spurroad.balancer.ColdEndpointSimulation.WorstWindow;

/** Tests the total load that proxies without gossip send to one cold endpoint. */
public class SlowStartFleetTest {
    private static final int DEFAULT_SIMULATIONS = 40;

    /** Traffic, number of proxies, and requests per second that a warm endpoint can serve. */
    @DataProvider
    Object[][] fleets() {
        List<Object[]> cases = new ArrayList<>();
        for (Traffic traffic : Traffic.values()) {
            for (int proxyCount : new int[] {30, 20}) {
                for (double capacityPerSecond : new double[] {3, 30}) {
                    cases.add(new Object[] {traffic, proxyCount, capacityPerSecond});
                }
            }
        }
        return cases.toArray(Object[][]::new);
    }

    @Test(dataProvider = "fleets")
    public void keepsTheLoadOfAColdEndpointBelowItsFailureThreshold(Traffic traffic, int proxyCount,
                                                                    double capacityPerSecond) {
        WorstWindow worst = new WorstWindow();
        int simulations = Integer.getInteger("spurroad.coldPlays", DEFAULT_SIMULATIONS);
        for (long seed = 1; seed <= simulations; seed++) {
            new ColdEndpointSimulation(traffic, proxyCount, capacityPerSecond, seed, worst).run();
        }
        System.out.printf(
            "cold endpoint, %s, %d proxies, %.0f per second: worst window %d of %.1f, %d of %d runs over%n",
            traffic, proxyCount, capacityPerSecond, worst.attempts(), worst.allowed(), worst.failures(),
            simulations);
        assertEquals(worst.failures(), 0,
            worst.attempts() + " attempts in the worst window, " + worst.allowed() + " were allowed");
    }
}
