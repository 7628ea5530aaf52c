package spurroad.balancer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;
import spurroad.model.CacheKey;
import spurroad.model.EndpointId;
import spurroad.model.EndpointPhase;

public class KeyCandidatesTest {
    /** The candidates shown to operators must agree with the load balancer's decisions. */
    @Test
    public void listsTheEndpointThatTheLoadBalancerSelectsFirst() {
        for (long key = 1; key < 200; key++) {
            KeyCandidates candidates = KeyCandidates.of(BalancerFixture.endpoints(7, true),
                BalancerFixture.ORIGIN,
                new CacheKey(key));
            assertEquals(candidates.candidates().size(), 3);
            assertEquals(candidates.candidates().get(0).endpoint().value(),
                BalancerFixture.of(7, true).targetOf(1, BalancerFixture.READ, key));
            assertTrue(
                candidates.candidates().get(0).ringDistance() <= candidates.candidates().get(1).ringDistance()
                    && candidates.candidates().get(2).ringDistance() < 1);
        }
    }

    @Test
    public void omitsTheOriginAndEndpointsThatAreNotReady() {
        List<EndpointId> endpoints = KeyCandidates
            .of(List.of(BalancerFixture.endpoint(1, EndpointPhase.READY, 0),
                BalancerFixture.endpoint(2, EndpointPhase.DRAINING, 0),
                BalancerFixture.endpoint(3, EndpointPhase.REMOVED, 0)), BalancerFixture.ORIGIN,
                new CacheKey(5))
            .candidates().stream().map(KeyCandidates.Candidate::endpoint).toList();
        assertEquals(endpoints, List.of(new EndpointId(1)));
        assertEquals(KeyCandidates.of(List.of(), BalancerFixture.ORIGIN, new CacheKey(5)).candidates(),
            List.of());
    }
}
