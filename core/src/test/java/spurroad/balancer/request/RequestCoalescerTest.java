package spurroad.balancer.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

public class RequestCoalescerTest {
    private static PendingRequest request(long id, long key) {
        return RequestFixture.read(id, key, 0, 1);
    }

    @Test
    public void releasesFollowersInArrivalOrder() {
        RequestCoalescer coalescer = new RequestCoalescer();
        PendingRequest leader = request(1, 7);
        PendingRequest firstFollower = request(2, 7);
        PendingRequest secondFollower = request(3, 7);
        assertFalse(coalescer.joinOrLead(leader));
        assertFalse(coalescer.joinOrLead(leader), "the leader does not follow itself");
        assertTrue(coalescer.joinOrLead(firstFollower));
        assertTrue(coalescer.joinOrLead(secondFollower));
        assertFalse(coalescer.joinOrLead(request(4, 8)), "the first request of another key leads");
        assertEquals(coalescer.end(leader), List.of(firstFollower, secondFollower));
        assertEquals(coalescer.end(leader), List.of());
    }

    @Test
    public void keepsLeaderWhenFollowerEnds() {
        RequestCoalescer coalescer = new RequestCoalescer();
        PendingRequest leader = request(1, 7);
        PendingRequest follower = request(2, 7);
        coalescer.joinOrLead(leader);
        coalescer.joinOrLead(follower);
        assertEquals(coalescer.end(follower), List.of());
        assertTrue(coalescer.joinOrLead(request(3, 7)), "the first request still leads");
    }
}
