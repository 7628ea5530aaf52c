package spurroad.balancer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static spurroad.balancer.BalancerFixture.MS;
import static spurroad.balancer.BalancerFixture.READ;
import static spurroad.balancer.GossipFixture.PROXIES;
import static spurroad.balancer.GossipFixture.advanceClocks;
import static spurroad.balancer.GossipFixture.deliver;
import static spurroad.balancer.GossipFixture.fleet;
import static spurroad.balancer.GossipFixture.keysOf;
import static spurroad.balancer.GossipFixture.ownerOf;
import static spurroad.balancer.GossipFixture.targetOfSuccessfulRead;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.balancer.GossipFixture.Delivery;
import spurroad.model.CacheKey;
import spurroad.model.PeerUpdate;
import spurroad.model.PeerUpdate.Topic;

/** Which updates owners send about their endpoints, and how the other proxies use them. */
public class OwnershipTest {
    @DataProvider
    Object[][] deliveries() {
        return new Object[][] {{Delivery.DELIVERED, 40}, {Delivery.DUPLICATED, 40}, {Delivery.LOST, 0}};
    }

    /**
     * Regression: a proxy with two requests a second continued to send to an endpoint that all others had
     * found unresponsive.
     */
    @Test(dataProvider = "deliveries")
    public void avoidsAnEndpointThatAnotherProxyFoundUnresponsive(Delivery delivery, int minMigratedPercent) {
        long[] keys = keysOf(3);
        List<BalancerFixture> fixtures = fleet(null);
        BalancerFixture busy = fixtures.get(0);
        BalancerFixture idle = fixtures.get(2);
        for (int id = 0; id < 120; id++) {
            busy.request(id, READ, keys[id % keys.length]);
            deliver(fixtures, busy, delivery);
            advanceClocks(fixtures, 4 * MS);
        }
        int migrated = 0;
        for (int id = 0; id < keys.length; id++) {
            migrated += targetOfSuccessfulRead(idle, 1000 + id, keys[id]) == 3 ? 0 : 1;
        }
        assertTrue(
            minMigratedPercent == 0 ? migrated == 0 : 100 * migrated >= minMigratedPercent * keys.length,
            migrated + " of " + keys.length);
        idle.nowNanos += 2000 * MS;
        assertEquals(idle.targetOf(2000, READ, keys[0]), 3, "an update expires");
    }

    /**
     * Regression: keys migrated with each change of the queue, and returned with it, and missed both times.
     */
    @Test
    public void migratesTheSameKeysAtAllProxiesUntilTheFractionExpires() {
        long[] keys = keysOf(3);
        List<BalancerFixture> fixtures = fleet(null);
        fixtures.remove(ownerOf(3)); // the owner uses its own measurements
        for (int id = 0; id < keys.length; id++) {
            long[] to = new long[2];
            for (int i = 0; i < to.length; i++) {
                fixtures.get(i).receive(new PeerUpdate(Topic.LOAD, 3, 9, 20 * MS, 0.5));
                to[i] = targetOfSuccessfulRead(fixtures.get(i), id, keys[id]);
            }
            assertEquals(to[0], to[1], "the same endpoint at both proxies");
            advanceClocks(fixtures, 3000 * MS);
            assertEquals(targetOfSuccessfulRead(fixtures.get(0), 1000 + id, keys[id]), to[0],
                "whatever the queue is now");
        }
        int migrated = 0;
        for (int id = 0; id < keys.length; id++) {
            fixtures.get(0).receive(new PeerUpdate(Topic.LOAD, 3, 0, 20 * MS, 0.5));
            migrated += targetOfSuccessfulRead(fixtures.get(0), 2000 + id, keys[id]) == 3 ? 0 : 1;
        }
        assertTrue(3 * migrated > keys.length && 3 * migrated < 2 * keys.length,
            migrated + " of " + keys.length);
        fixtures.get(0).nowNanos += 21_000 * MS;
        for (int id = 0; id < keys.length; id++) {
            assertEquals(targetOfSuccessfulRead(fixtures.get(0), 3000 + id, keys[id]), 3,
                "a cached fraction expires as well");
        }
    }

    /**
     * Attempts in flight at an endpoint for each one at the others; bounds of the cached fraction after 6 s.
     */
    @DataProvider
    Object[][] loads() {
        return new Object[][] {{1, 0.9, 1.0}, {6, 0.05, 0.7}};
    }

    @Test(dataProvider = "loads")
    public void ownerLowersTheCachedFractionAboveTheMeanQueue(int times, double least, double most) {
        BalancerFixture owner = fleet(null).get(ownerOf(3));
        double cachedFraction = 1;
        for (int i = 0; i < 300; i++) {
            for (long endpoint : new long[] {0, 1, 2, 4, 5, 6, 7}) {
                owner.receive(new PeerUpdate(Topic.LOAD, endpoint, 50, 33 * MS, 1));
            }
            for (int j = 0; j < times; j++) {
                owner.receive(new PeerUpdate(Topic.IN_FLIGHT, 3, 1));
                cachedFraction = owner.decisions.peerUpdates.stream()
                    .filter(t -> t.update().topic() == Topic.LOAD)
                    .mapToDouble(t -> t.update().cachedFraction()).findFirst().orElse(cachedFraction);
            }
            owner.nowNanos += 20 * MS;
        }
        assertTrue(cachedFraction >= least && cachedFraction <= most, "cached fraction " + cachedFraction);
    }

    /**
     * Whether ten attempts at an endpoint succeed, after how many milliseconds; bounds of the service time in
     * milliseconds that the owner sends.
     */
    @DataProvider
    Object[][] attemptEnds() {
        return new Object[][] {{true, 100, 5, 40}, {false, 900, 50, 200}, {false, 1, 5, 40}};
    }

    /**
     * Incident i1e1366: the service time of an overloaded endpoint was that of the few requests that it
     * completed in time.
     */
    @Test(dataProvider = "attemptEnds")
    public void ownerReportsAServiceTimeThatIncludesTimeOuts(boolean succeeds, long ms, long least,
                                                             long most) {
        BalancerFixture owner = fleet(null).get(ownerOf(3));
        for (int i = 0; i < 10; i++) {
            owner.receive(new PeerUpdate(Topic.IN_FLIGHT, 3, 1));
        }
        owner.nowNanos += ms * MS;
        for (int i = 0; i < 10; i++) {
            owner.receive(new PeerUpdate(Topic.IN_FLIGHT, 3, (succeeds ? -1 : 1) * Math.exp(-ms / 1000.0),
                new CacheKey(7)));
        }
        owner.nowNanos += 4001 * MS;
        int querying = (ownerOf(3) + 1) % PROXIES;
        PeerUpdate answer = owner
            .receive(new PeerUpdate(Topic.CACHE_QUERY, 3, querying, new CacheKey(7))).peerUpdates
            .get(0).update();
        assertEquals(answer.cachedFraction(), succeeds ? 1.0 : 0.0);
        assertTrue(answer.serviceTimeNanos() >= least * MS && answer.serviceTimeNanos() <= most * MS,
            answer.serviceTimeNanos() / MS + " ms");
        assertTrue(
            owner.receive(new PeerUpdate(Topic.CACHE_QUERY, 3, PROXIES, new CacheKey(7))).peerUpdates
                .isEmpty(),
            "no proxy has that index");
    }
}
