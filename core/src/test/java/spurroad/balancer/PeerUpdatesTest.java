package spurroad.balancer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static spurroad.balancer.BalancerFixture.DEDUPLICATED;
import static spurroad.balancer.BalancerFixture.MS;
import static spurroad.balancer.BalancerFixture.NON_IDEMPOTENT;
import static spurroad.balancer.BalancerFixture.READ;
import static spurroad.balancer.GossipFixture.ENDPOINTS;
import static spurroad.balancer.GossipFixture.fleet;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.model.Decisions;
import spurroad.model.DeduplicationScope;
import spurroad.model.Fleet;
import spurroad.model.Outcome;
import spurroad.model.PeerUpdate;
import spurroad.model.PeerUpdate.Topic;
import spurroad.model.RequestClassId;

/** Tests which updates proxies accept from one another, and which and how many they send. */
public class PeerUpdatesTest {
    /** Updates with invalid values or unknown subjects: an update may be anything that the codec accepts. */
    @DataProvider
    Object[][] invalidUpdates() {
        return new Object[][] {{Topic.IN_FLIGHT, 99L, 1.0}, {Topic.IN_FLIGHT, 3L, -1.0},
            {Topic.IN_FLIGHT, 3L, -1e-9},
            {Topic.LOAD, 99L, 5.0},
            {Topic.LOAD, 3L, 1e6}, {Topic.LOAD, 3L, 0.0}, {Topic.TENANT_REQUEST, -1L, 1.0},
            {Topic.TENANT_REQUEST, 77L, 1.0},
            {Topic.OVER_QUOTA, -1L, 1.0}, {Topic.OVER_QUOTA, 1L, 1.0}};
    }

    @Test(dataProvider = "invalidUpdates")
    public void invalidUpdatesBreakNoRuleAndExpire(Topic topic, long subject, double value) {
        for (BalancerFixture fixture : fleet(null)) {
            for (int id = 0; id < 20; id++) {
                fixture.receive(new PeerUpdate(topic, subject, value));
                RequestClassId requestClass = id % 2 == 0 ? NON_IDEMPOTENT : DEDUPLICATED;
                Decisions decisions = fixture.request(id, requestClass, id);
                assertEquals(decisions.attemptsToStart.size() + decisions.responses.size(), 1,
                    "sent or answered in the same call");
                decisions = fixture.endAttempt(id, 0, Outcome.TIMED_OUT);
                assertTrue(requestClass.equals(DEDUPLICATED) || decisions.attemptsToStart.isEmpty(),
                    "an attempt that may have run is not retried");
            }
            fixture.nowNanos += 30_000 * MS;
            assertEquals(fixture.request(100, READ, 42).attemptsToStart.size(), 1);
        }
    }

    /**
     * Duration of an attempt in seconds, and its outcome. The codec must accept the update in every case.
     */
    @DataProvider
    Object[][] attemptEnds() {
        return new Object[][] {{0, Outcome.SUCCEEDED}, {0, Outcome.FAILED}, {300, Outcome.SUCCEEDED},
            {300, Outcome.FAILED}};
    }

    @Test(dataProvider = "attemptEnds")
    public void sendsRemainingWeightBetweenZeroAndOne(int seconds, Outcome outcome) {
        BalancerFixture fixture = fleet(null).get(0);
        for (int id = 0; id < 20; id++) { // the proxy owns some of the endpoints itself and sends no update
            fixture.request(id, DEDUPLICATED, id, 0, 400_000 * MS);
            fixture.nowNanos += seconds * 1000L * MS;
            fixture.endAttempt(id, 0, outcome);
            fixture.decisions.peerUpdates.stream().filter(sent -> sent.update().topic() == Topic.IN_FLIGHT)
                .forEach(sent -> {
                    double remainingWeight = Math.abs((float) sent.update().value());
                    assertTrue(remainingWeight > 0 && remainingWeight < 1,
                        "remaining weight " + remainingWeight);
                });
        }
    }

    /** Regression: an unbounded number of updates to a thousand proxies exceeded the network's bandwidth. */
    @Test
    public void boundsBroadcastsByReceivedUpdates() {
        int proxies = 1000;
        int broadcasts = 0;
        BalancerFixture fixture = new BalancerFixture(false, DeduplicationScope.ALL, 7,
            new Fleet(null, 0, proxies, true));
        fixture.updateEndpoints(true, BalancerFixture.endpoints(ENDPOINTS, false));
        for (int id = 0; id < 1000; id++) {
            fixture.receive(new PeerUpdate(Topic.IN_FLIGHT, 3, 1));
            broadcasts += fixture.decisions.peerUpdates.size();
            fixture.nowNanos += 20 * MS;
        }
        assertTrue(broadcasts > 5 && broadcasts * proxies < 40 * 1000,
            broadcasts + " broadcasts for 1,000 received updates");
    }
}
