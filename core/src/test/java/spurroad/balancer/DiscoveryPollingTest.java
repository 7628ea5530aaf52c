package spurroad.balancer;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static spurroad.balancer.BalancerFixture.MS;

import org.testng.annotations.Test;
import spurroad.model.DeduplicationScope;
import spurroad.model.Fleet;

/** Tests how long the load balancer waits before it polls discovery again. */
public class DiscoveryPollingTest {
    // a change counts as announced this long after discovery became reachable
    private static final long ANNOUNCEMENT_MILLIS = 6000;
    private static final long MAX_CALL_MILLIS = 3100; // longest duration of an answered call

    /**
     * However often discovery has failed, a backoff and a call end before a change counts as announced.
     * Backoffs differ between proxies.
     */
    @Test
    public void endsBackoffAndCallBeforeChangeCountsAsAnnounced() {
        long shortestMillis = Long.MAX_VALUE;
        long longestMillis = 0;
        for (int instance = 0; instance < 200; instance++) {
            BalancerFixture fixture = new BalancerFixture(false, DeduplicationScope.ALL, instance,
                Fleet.STANDALONE);
            for (int failures = 1; failures <= 12; failures++) {
                fixture.failDiscovery();
                long backoffMillis = (fixture.decisions.wakeAtNanos - fixture.nowNanos) / MS;
                assertTrue(backoffMillis + MAX_CALL_MILLIS <= ANNOUNCEMENT_MILLIS,
                    backoffMillis + " ms after " + failures + " failures");
                shortestMillis = failures == 12 ? Math.min(shortestMillis, backoffMillis) : shortestMillis;
                longestMillis = failures == 12 ? Math.max(longestMillis, backoffMillis) : longestMillis;
                fixture.advance(backoffMillis + 1);
            }
        }
        assertTrue(longestMillis > 2.5 * shortestMillis, shortestMillis + " to " + longestMillis + " ms");
    }

    @Test
    public void pollsOnFirstListAndAfterGrowingBackoffs() {
        BalancerFixture fixture = new BalancerFixture(false, DeduplicationScope.ALL);
        assertTrue(fixture.updateEndpoints(true, BalancerFixture.endpoints(3, false)).pollDiscovery);
        assertFalse(fixture.updateEndpoints(false, BalancerFixture.endpoints(3, false)).pollDiscovery);
        long minNextNanos = 0;
        for (int i = 0; i < 3; i++) {
            fixture.failDiscovery();
            assertFalse(fixture.decisions.pollDiscovery);
            long backoffNanos = fixture.decisions.wakeAtNanos - fixture.nowNanos;
            assertTrue(backoffNanos >= minNextNanos);
            minNextNanos = backoffNanos / 3;
            fixture.nowNanos += backoffNanos;
            assertTrue(fixture.advance(0).pollDiscovery);
        }
    }
}
