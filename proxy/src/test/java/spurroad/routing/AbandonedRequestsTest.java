package spurroad.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Guards against ids that are forgotten while their request may run, and against ids without a bound. */
public class AbandonedRequestsTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    @Test
    public void remembersIdsUntilTheyExpire() {
        AbandonedRequests requests = new AbandonedRequests();
        requests.add("a", 0);
        requests.add("b", AbandonedRequests.RETENTION_NANOS / 2);
        assertTrue(requests.contains("a", AbandonedRequests.RETENTION_NANOS - 1));
        assertFalse(requests.contains("a", AbandonedRequests.RETENTION_NANOS));
        assertTrue(requests.contains("b", AbandonedRequests.RETENTION_NANOS));
        requests.add("b", AbandonedRequests.RETENTION_NANOS);
        assertTrue(requests.contains("b", 2 * AbandonedRequests.RETENTION_NANOS - 1), "the last time counts");
        assertFalse(requests.contains("c", 0));
    }

    @Test
    public void forgetsTheOldestIdsBeyondTheBound() {
        AbandonedRequests requests = new AbandonedRequests();
        int count = 2 * AbandonedRequests.MAX_IDS;
        for (int i = 0; i < count; i++) {
            requests.add("id" + i, i * NANOS_PER_MILLI / 1000);
        }
        long now = count * NANOS_PER_MILLI / 1000;
        int remembered = 0;
        for (int i = 0; i < count; i++) {
            remembered += requests.contains("id" + i, now) ? 1 : 0;
        }
        assertEquals(remembered, AbandonedRequests.MAX_IDS);
        assertTrue(requests.contains("id" + (count - 1), now));
    }
}
