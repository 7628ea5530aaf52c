package spurroad.balancer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static spurroad.balancer.BalancerFixture.MS;
import static spurroad.balancer.BalancerFixture.READ;
import static spurroad.balancer.GossipFixture.ENDPOINTS;
import static spurroad.balancer.GossipFixture.PROXIES;
import static spurroad.balancer.GossipFixture.fleet;
import static spurroad.balancer.GossipFixture.keysOf;
import static spurroad.balancer.GossipFixture.ownerOf;
import static spurroad.balancer.GossipFixture.targetOfSuccessfulRead;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.model.DeduplicationScope;
import spurroad.model.Endpoint;
import spurroad.model.EndpointPhase;
import spurroad.model.Fleet;
import spurroad.model.Outcome;
import spurroad.model.PeerUpdate;
import spurroad.model.PeerUpdate.Topic;

/** Tests how many requests are sent to endpoints that are warming up. */
public class SlowStartTest {
    private static final long KEY = 42;

    /** Regression: retries of rejected requests were also sent to endpoints that had just started. */
    @Test
    public void sendsAColdEndpointFewerRequestsThanAWarmOne() {
        BalancerFixture fixture = BalancerFixture.of(4, false);
        fixture.updateEndpoint(0, EndpointPhase.READY, fixture.nowNanos);
        int cold = 0;
        int sent = 0;
        for (long id = 1; id <= 400; id++) {
            long endpoint = fixture.targetOf(id, READ, id);
            cold += endpoint == 0 ? 1 : 0;
            sent += endpoint >= 0 ? 1 : 0;
            fixture.nowNanos += 2 * MS;
            fixture.endAttempt(id, 0, endpoint == 0 ? Outcome.SUCCEEDED : Outcome.REJECTED);
            fixture.endAttempt(id, 1, Outcome.SUCCEEDED);
        }
        assertTrue(cold > 0 && cold < sent / 8, cold + " of " + sent);
    }

    /** Number of proxies, and requests at each of them. */
    @DataProvider
    Object[][] fleetSizes() {
        return new Object[][] {{1, 600}, {4, 150}, {100, 6}, {600, 1}};
    }

    @Test(dataProvider = "fleetSizes")
    public void limitsTheRequestsToAColdEndpointForAnyNumberOfProxies(int proxyCount, int requestsPerProxy) {
        int cold = 0;
        int warm = 0;
        for (int proxy = 0; proxy < proxyCount; proxy++) {
            BalancerFixture fixture = new BalancerFixture(false, DeduplicationScope.ALL, proxy,
                Fleet.STANDALONE);
            fixture.updateEndpoints(true, BalancerFixture.endpoints(8, false));
            fixture.updateEndpoint(0, EndpointPhase.READY, fixture.nowNanos);
            for (int i = 0; i < requestsPerProxy; i++) {
                long key = (long) proxy * requestsPerProxy + i;
                long endpoint = fixture.targetOf(key, READ, key);
                cold += endpoint == 0 ? 1 : 0;
                warm += endpoint == 1 ? 1 : 0;
                fixture.endAttempt(key, 0, Outcome.SUCCEEDED);
            }
        }
        assertTrue(cold > 0 && cold < 0.6 * warm,
            cold + " requests to the cold endpoint, to a warm one " + warm);
    }

    /** Regression: retries of requests that full endpoints rejected overloaded cold ones. */
    @Test
    public void sendsNoRetriesToColdEndpoints() {
        for (long id = 1; id <= 200; id++) {
            BalancerFixture fixture = new BalancerFixture(false, DeduplicationScope.ALL, id,
                Fleet.STANDALONE);
            fixture.updateEndpoints(true,
                List.of(BalancerFixture.endpoint(0, EndpointPhase.READY, 0),
                    BalancerFixture.endpoint(1, EndpointPhase.READY, fixture.nowNanos)));
            if (fixture.targetOf(id, READ, id) == 0) {
                fixture.endAttempt(id, 0, Outcome.REJECTED);
                assertTrue(
                    fixture.decisions.attemptsToStart.stream()
                        .noneMatch(start -> start.endpoint().value() == 1));
            }
        }
    }

    /** Regression: every proxy sent its fraction of a hot key to the same cold endpoint. */
    @Test
    public void sendsFewRequestsForAHotKeyToItsColdFirstCandidate() {
        int cold = 0;
        long firstCandidate = BalancerFixture.candidatesOf(KEY).get(0);
        for (int proxy = 0; proxy < 100; proxy++) {
            BalancerFixture fixture = new BalancerFixture(false, DeduplicationScope.ALL, proxy,
                Fleet.STANDALONE);
            fixture.updateEndpoints(true, BalancerFixture.endpoints(8, false));
            fixture.updateEndpoint(firstCandidate, EndpointPhase.READY, fixture.nowNanos);
            for (long id = 1; id <= 20; id++) {
                cold += fixture.targetOf(id, READ, KEY) == firstCandidate ? 1 : 0;
                fixture.endAttempt(id, 0, Outcome.SUCCEEDED);
            }
        }
        assertTrue(cold > 0 && cold < 0.1 * 2000, "cold " + cold);
    }

    /**
     * Incident ica88e8: a hot key migrated from its full endpoint to one that had just started, and
     * overloaded it.
     */
    @Test
    public void migratesNoKeysToColdEndpoints() {
        List<BalancerFixture> fixtures = fleet(null);
        BalancerFixture fixture = fixtures.get((ownerOf(3) + 1) % PROXIES);
        List<Endpoint> entries = BalancerFixture.endpoints(ENDPOINTS, false);
        for (int cold : new int[] {1, 5}) {
            entries.set(cold,
                BalancerFixture.endpoint(cold, EndpointPhase.READY, fixture.nowNanos - 1000 * MS));
        }
        long[] keys = keysOf(3);
        int sentToCold = 0;
        for (int id = 0; id < keys.length; id++) {
            fixture.updateEndpoints(true, entries);
            fixture.receive(new PeerUpdate(Topic.LOAD, 3, 0, 20 * MS, 0.05));
            long target = targetOfSuccessfulRead(fixture, id, keys[id]);
            sentToCold += target == 1 || target == 5 ? 1 : 0;
            fixture.nowNanos += 20 * MS;
        }
        assertEquals(sentToCold, 0, "requests to cold endpoints, of " + keys.length);
    }
}
