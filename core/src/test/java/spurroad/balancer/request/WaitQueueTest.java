package spurroad.balancer.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertSame;

import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import spurroad.balancer.context.EventContext;
import spurroad.model.Decisions;
import spurroad.model.Fleet;

public class WaitQueueTest {
    private static final long TICK_NANOS = 5;
    private static final long START_NANOS = 1_000;
    private static final long TIMEOUT_NANOS = 500;

    private EventContext event;
    private WaitQueue queue;

    @BeforeMethod
    void create() {
        event = new EventContext();
        event.begin(START_NANOS, new Decisions());
        queue = new WaitQueue(RequestFixture.activeDeployment(TICK_NANOS, Fleet.STANDALONE), event);
    }

    private static PendingRequest request(long id) {
        return RequestFixture.read(id, id, START_NANOS, TIMEOUT_NANOS);
    }

    private void advanceTo(long now) {
        event.begin(now, new Decisions());
    }

    @Test
    public void returnsRequestsInDueTimeOrder() {
        PendingRequest dueLater = request(1);
        PendingRequest dueSooner = request(2);
        queue.add(dueLater, WaitReason.ORIGIN_CAPACITY, START_NANOS + 200);
        queue.add(dueSooner, WaitReason.ORIGIN_CAPACITY, START_NANOS + 100);
        assertEquals(queue.nextDueNanos(), START_NANOS + 100);
        assertNull(queue.pollDue());
        advanceTo(START_NANOS + 200);
        assertSame(queue.pollDue(), dueSooner);
        assertSame(queue.pollDue(), dueLater);
        assertNull(queue.pollDue());
        assertEquals(queue.nextDueNanos(), Long.MAX_VALUE);
    }

    @Test
    public void skipsEarlierWaitsOfReleasedRequests() {
        PendingRequest released = request(1);
        PendingRequest queuedAgain = request(2);
        queue.add(released, WaitReason.LOAD_REPLIES, START_NANOS + 100);
        queue.add(queuedAgain, WaitReason.LOAD_REPLIES, START_NANOS + 100);
        queue.release(released);
        queue.release(queuedAgain);
        queue.add(queuedAgain, WaitReason.ORIGIN_CAPACITY, START_NANOS + 300);
        advanceTo(START_NANOS + 100);
        assertNull(queue.pollDue());
        advanceTo(START_NANOS + 300);
        assertSame(queue.pollDue(), queuedAgain);
    }

    @Test
    public void endsWaitsOneTickBeforeDeadlineButNotBeforeNextTick() {
        queue.add(request(1), WaitReason.SHARED_FETCH, Long.MAX_VALUE);
        assertEquals(queue.nextDueNanos(), START_NANOS + TIMEOUT_NANOS - TICK_NANOS);
        queue.add(request(2), WaitReason.SHARED_FETCH, START_NANOS - 100);
        assertEquals(queue.nextDueNanos(), START_NANOS + TICK_NANOS);
    }

    @Test
    public void listsRequestsAwaitingRepliesUntilReleased() {
        PendingRequest first = request(1);
        PendingRequest second = request(2);
        queue.add(first, WaitReason.LOAD_REPLIES, START_NANOS + 100);
        queue.add(second, WaitReason.LOAD_REPLIES, START_NANOS + 50);
        queue.add(request(3), WaitReason.SHARED_FETCH, START_NANOS + 50);
        assertEquals(queue.awaitingReplies(), List.of(first, second));
        queue.release(first);
        assertEquals(queue.awaitingReplies(), List.of(second));
    }
}
