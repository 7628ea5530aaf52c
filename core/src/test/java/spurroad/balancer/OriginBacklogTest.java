package spurroad.balancer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static spurroad.balancer.BalancerFixture.DEDUPLICATED;
import static spurroad.balancer.BalancerFixture.MS;
import static spurroad.balancer.BalancerFixture.READ;
import static spurroad.balancer.GossipFixture.advanceClocks;
import static spurroad.balancer.GossipFixture.deliver;
import static spurroad.balancer.GossipFixture.fleet;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.balancer.GossipFixture.Delivery;
import spurroad.model.Outcome;
import spurroad.model.RequestClassId;

/** Tests which requests are limited while the origin behind the endpoints is slow. */
public class OriginBacklogTest {
    /**
     * Number of writes out of ten that time out; bounds of the number of reads of uncached keys, and of
     * writes, that are then sent out of twenty each.
     */
    @DataProvider
    Object[][] lateWrites() {
        return new Object[][] {{0, 20, 20, 20, 20}, {2, 20, 20, 20, 20}, {5, 0, 12, 18, 20},
            {10, 0, 4, 0, 6}};
    }

    /**
     * Regression: misses and writes overloaded a slow origin, and reads of cached keys were rejected together
     * with misses. Proxies now query an endpoint's owner for whether a key is cached, and send those reads.
     */
    @Test(dataProvider = "lateWrites")
    public void limitsMissesThenWritesButNoCachedReadsWhileOriginIsSlow(int timedOut, int minReads,
                                                                        int maxReads,
                                                                        int minWrites,
                                                                        int maxWrites) {
        List<BalancerFixture> fixtures = fleet(null);
        BalancerFixture busy = fixtures.get(0);
        BalancerFixture idle = fixtures.get(2);
        for (int id = 0; id < 20; id++) {
            assertEquals(sendSuccessfulRequest(fixtures, busy, id, READ, id + 1), 1);
        }
        for (int id = 100; id < 500; id++) {
            busy.request(id, DEDUPLICATED, id);
            deliver(fixtures, busy, Delivery.DELIVERED);
            busy.endAttempt(id, 0, id % 10 < timedOut ? Outcome.TIMED_OUT : Outcome.SUCCEEDED);
            deliver(fixtures, busy, Delivery.DELIVERED);
            advanceClocks(fixtures, 30 * MS);
        }
        advanceClocks(fixtures, 1500 * MS);
        int reads = 0;
        int writes = 0;
        for (int id = 1000; id < 1020; id++) {
            assertEquals(sendSuccessfulRequest(fixtures, idle, id, READ, id - 1000 + 1), 1,
                "a cached read does not use the origin");
            reads += sendSuccessfulRequest(fixtures, idle, id + 1000, READ, id);
            writes += sendSuccessfulRequest(fixtures, idle, id + 2000, DEDUPLICATED, id + 2000);
        }
        assertTrue(reads >= minReads && reads <= maxReads && writes >= minWrites && writes <= maxWrites,
            reads + " reads, " + writes + " writes");
        assertEquals(idle.request(4000, READ, 0).attemptsToStart.size(), 1,
            "without a key there is no cache query");
        idle.nowNanos += 4001 * MS;
        assertEquals(idle.request(5000, READ, 5000).attemptsToStart.size(), 1, "an update expires");
    }

    /**
     * Sends a request, delivers all updates that result from it, and lets its attempt succeed; returns how
     * many attempts were started.
     */
    private static int sendSuccessfulRequest(List<BalancerFixture> fixtures, BalancerFixture from,
                                             long request,
                                             RequestClassId requestClass, long key) {
        from.attemptsStarted = 0;
        int startedImmediately = from.request(request, requestClass, key).attemptsToStart.size();
        deliver(fixtures, from, Delivery.DELIVERED);
        int sent = startedImmediately + from.attemptsStarted;
        from.endAttempt(request, 0, Outcome.SUCCEEDED);
        deliver(fixtures, from, Delivery.DELIVERED);
        return sent;
    }
}
