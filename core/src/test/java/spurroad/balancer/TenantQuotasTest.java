package spurroad.balancer;

import static org.testng.Assert.assertEquals;
import static spurroad.balancer.BalancerFixture.MS;
import static spurroad.balancer.BalancerFixture.READ;
import static spurroad.balancer.GossipFixture.PROXIES;
import static spurroad.balancer.GossipFixture.advanceClocks;
import static spurroad.balancer.GossipFixture.deliver;
import static spurroad.balancer.GossipFixture.fleet;
import static spurroad.balancer.GossipFixture.ownerOf;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.balancer.GossipFixture.Delivery;
import spurroad.model.Outcome;
import spurroad.model.PeerUpdate.Topic;

/** Tests which requests count towards their tenant's quota. */
public class TenantQuotasTest {
    /** Regression: retries by clients were counted again, so tenants within their quotas were shed. */
    @Test
    public void countsRejectedRequestAndItsRetryOnce() {
        List<BalancerFixture> fixtures = fleet(null);
        BalancerFixture busy = fixtures.get((ownerOf(0) + 1) % PROXIES);
        long counted = 0;
        for (int id = 0; id < 20; id++) {
            for (int retry = 0; retry < 2; retry++) {
                busy.request(2 * id + retry, READ, id + 1, 0, 4000 * MS);
                counted += busy.decisions.peerUpdates.stream()
                    .filter(sent -> sent.update().topic() == Topic.TENANT_REQUEST)
                    .count();
                for (int i = 0; i < 4 && busy.decisions.responses.isEmpty(); i++) {
                    busy.endAttempt(2 * id + retry, i, Outcome.REJECTED);
                }
                busy.advance(retry == 0 ? 300 : 5000);
            }
        }
        assertEquals(counted, 20);
    }

    /**
     * Requests per second at one proxy, with a quota of 20 for all four proxies together, and whether more
     * than a third of them is rejected.
     */
    @DataProvider
    Object[][] rates() {
        return new Object[][] {{15, false}, {80, true}};
    }

    /**
     * Regression: a third of all requests was rejected, because busy proxies were limited to an equal share
     * of the quota.
     */
    @Test(dataProvider = "rates")
    public void comparesTenantRateAcrossProxiesWithWholeQuota(int rate, boolean manyRejected) {
        List<BalancerFixture> fixtures = fleet(null);
        BalancerFixture busy = fixtures.get(1);
        int rejected = 0;
        for (int id = 0; id < 10 * rate; id++) {
            busy.request(id, READ, id, 0, 4000 * MS);
            rejected += busy.decisions.responses.size();
            deliver(fixtures, busy, Delivery.DELIVERED);
            advanceClocks(fixtures, 1000 * MS / rate);
            // a tenth of the requests is rejected: enough overload to shed all requests over quota
            busy.endAttempt(id, 0, id % 10 == 0 ? Outcome.REJECTED : Outcome.SUCCEEDED);
            busy.endAttempt(id, 1, Outcome.REJECTED);
            deliver(fixtures, busy, Delivery.DELIVERED);
        }
        // that overload also sheds a few requests within the quota; two thirds would exceed an equal share
        assertEquals(3 * rejected > 10 * rate, manyRejected, rejected + " rejected");
    }
}
