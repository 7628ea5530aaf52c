package spurroad.balancer;

import static org.testng.Assert.assertTrue;
import static spurroad.balancer.BalancerFixture.DEDUPLICATED;
import static spurroad.balancer.BalancerFixture.MS;
import static spurroad.balancer.BalancerFixture.NON_IDEMPOTENT;
import static spurroad.balancer.BalancerFixture.READ;
import static spurroad.balancer.GossipFixture.fleet;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.model.Outcome;

/** Tests which requests are rejected on arrival under overload. */
public class LoadShedderTest {
    /** Regression: requests of a tenant over its quota displaced those of tenants within theirs. */
    @Test
    public void shedsRequestsOverQuotaWhileEndpointsAreFull() {
        BalancerFixture fixture = BalancerFixture.of(6, false);
        int[] sent = new int[2];
        for (long id = 1; id <= 400; id++) {
            int tenant = (int) id % 2;
            sent[tenant] += fixture.request(id, READ, id, tenant, 4000 * MS).attemptsToStart.size();
            fixture.nowNanos += 20 * MS;
            for (int i = 0; i < 4; i++) {
                fixture.endAttempt(id, i, id % 4 < 2 ? Outcome.REJECTED : Outcome.SUCCEEDED);
            }
        }
        assertTrue(sent[0] < 100 && sent[1] > 190, sent[0] + " over quota, " + sent[1] + " within");
    }

    /** Regression: endpoints spent all their capacity on rejecting requests. */
    @Test
    public void shedsReadsWhileMostRequestsAreRejected() {
        BalancerFixture fixture = BalancerFixture.of(6, false);
        int reads = 0;
        int writes = 0;
        for (long id = 1; id <= 200; id++) {
            boolean write = id % 4 == 0;
            int sent = fixture.request(id, write ? NON_IDEMPOTENT : READ, id).attemptsToStart.size();
            reads += write ? 0 : sent;
            writes += write ? sent : 0;
            fixture.nowNanos += 20 * MS;
            for (int i = 0; i < 4; i++) {
                fixture.endAttempt(id, i, Outcome.REJECTED);
            }
        }
        assertTrue(reads > 5 && reads < 75 && writes == 50, reads + " reads, " + writes + " writes");
    }

    /** Number of writes out of ten that time out; bounds of how many reads out of twenty are rejected. */
    @DataProvider
    Object[][] lateReads() {
        return new Object[][] {{0, 0, 0}, {1, 0, 0}, {3, 1, 14}, {8, 20, 20}};
    }

    /**
     * Regression (incident i1e1366): reads of cached keys were forwarded to overloaded endpoints, and nearly
     * all ended late.
     */
    @Test(dataProvider = "lateReads")
    public void shedsReadsWhileMostRequestsAreLate(int timedOut, int minRejected, int maxRejected) {
        BalancerFixture fixture = fleet(null).get(0);
        for (int id = 0; id < 200; id++) {
            fixture.request(id, DEDUPLICATED, id);
            fixture.endAttempt(id, 0, id % 10 < timedOut ? Outcome.TIMED_OUT : Outcome.SUCCEEDED);
            fixture.nowNanos += 30 * MS;
        }
        int rejected = 0;
        for (int id = 1000; id < 1020; id++) {
            rejected += fixture.request(id, READ, id).responses.size();
        }
        assertTrue(rejected >= minRejected && rejected <= maxRejected, rejected + " rejected");
    }
}
