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

/** Tests which updates owners send about their endpoints, and how the other proxies use them. */
public class OwnershipTest {
    /** Delivery of peer updates, and the minimum percentage of keys that migrate; 0 expects none. */
    @DataProvider
    Object[][] deliveries() {
        return new Object[][] {{Delivery.DELIVERED, 40}, {Delivery.DUPLICATED, 40}, {Delivery.LOST, 0}};
    }

    /**
     * Regression: a proxy with only two requests per second continued to send to an endpoint that all other
     * proxies had found unresponsive.
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
     * Regression: keys migrated away and back with each change of the queue length, and caused cache misses
     * both times.
     */
    @Test
    public void migratesTheSameKeysAtAllProxiesUntilTheFractionExpires() {
        long[] keys = keysOf(3);
        List<BalancerFixture> fixtures = fleet(null);
        fixtures.remove(ownerOf(3)); // the owner uses its own measurements
        for (int id = 0; id < keys.length; id++) {
            long[] targets = new long[2];
            for (int i = 0; i < targets.length; i++) {
                fixtures.get(i).receive(new PeerUpdate(Topic.LOAD, 3, 9, 20 * MS, 0.5));
                targets[i] = targetOfSuccessfulRead(fixtures.get(i), id, keys[id]);
            }
            assertEquals(targets[0], targets[1], "the same endpoint at both proxies");
            advanceClocks(fixtures, 3000 * MS);
            assertEquals(targetOfSuccessfulRead(fixtures.get(0), 1000 + id, keys[id]), targets[0],
                "the target does not depend on the current queue length");
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
     * Number of attempts in flight at the owner's endpoint for each one at any other endpoint, which equals
     * the attempts that begin there in each step; bounds of the cached fraction after 6 s.
     */
    @DataProvider
    Object[][] loads() {
        return new Object[][] {{1, 0.9, 1.0}, {6, 0.05, 0.7}};
    }

    @Test(dataProvider = "loads")
    public void lowersTheCachedFractionIfTheQueueExceedsTheMean(int attemptsPerStep, double minFraction,
                                                                double maxFraction) {
        BalancerFixture owner = fleet(null).get(ownerOf(3));
        double cachedFraction = 1;
        for (int i = 0; i < 300; i++) {
            for (long endpoint : new long[] {0, 1, 2, 4, 5, 6, 7}) {
                owner.receive(new PeerUpdate(Topic.LOAD, endpoint, 50, 33 * MS, 1));
            }
            for (int j = 0; j < attemptsPerStep; j++) {
                owner.receive(new PeerUpdate(Topic.IN_FLIGHT, 3, 1));
                cachedFraction = owner.decisions.peerUpdates.stream()
                    .filter(sent -> sent.update().topic() == Topic.LOAD)
                    .mapToDouble(sent -> sent.update().cachedFraction()).findFirst().orElse(cachedFraction);
            }
            owner.nowNanos += 20 * MS;
        }
        assertTrue(cachedFraction >= minFraction && cachedFraction <= maxFraction,
            "cached fraction " + cachedFraction);
    }

    /**
     * Whether ten attempts at an endpoint succeed, their duration in milliseconds, and bounds of the service
     * time in milliseconds that the owner publishes.
     */
    @DataProvider
    Object[][] attemptEnds() {
        return new Object[][] {{true, 100, 5, 40}, {false, 900, 50, 200}, {false, 1, 5, 40}};
    }

    /**
     * Incident i1e1366: the service time of an overloaded endpoint was computed only from the few requests
     * that it completed in time.
     */
    @Test(dataProvider = "attemptEnds")
    public void publishesAServiceTimeThatIncludesTimeouts(boolean succeeds, long elapsedMillis,
                                                          long minMillis, long maxMillis) {
        BalancerFixture owner = fleet(null).get(ownerOf(3));
        for (int i = 0; i < 10; i++) {
            owner.receive(new PeerUpdate(Topic.IN_FLIGHT, 3, 1));
        }
        owner.nowNanos += elapsedMillis * MS;
        for (int i = 0; i < 10; i++) {
            owner.receive(
                new PeerUpdate(Topic.IN_FLIGHT, 3, (succeeds ? -1 : 1) * Math.exp(-elapsedMillis / 1000.0),
                    new CacheKey(7)));
        }
        owner.nowNanos += 4001 * MS;
        int querying = (ownerOf(3) + 1) % PROXIES;
        PeerUpdate reply = owner
            .receive(new PeerUpdate(Topic.CACHE_QUERY, 3, querying, new CacheKey(7))).peerUpdates
            .get(0).update();
        assertEquals(reply.cachedFraction(), succeeds ? 1.0 : 0.0);
        assertTrue(reply.serviceTimeNanos() >= minMillis * MS && reply.serviceTimeNanos() <= maxMillis * MS,
            reply.serviceTimeNanos() / MS + " ms");
        assertTrue(
            owner.receive(new PeerUpdate(Topic.CACHE_QUERY, 3, PROXIES, new CacheKey(7))).peerUpdates
                .isEmpty(),
            "no reply to an index beyond the fleet");
    }
}
