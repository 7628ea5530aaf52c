package spurroad.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.OptionalInt;
import org.testng.annotations.Test;

/** Since when connections may be queued, by what is known of the queue. */
public class AcceptQueueTrackerTest {
    private static final long LONG_AGO = -1_000;

    @Test
    public void whoComesBehindTheLengthHasComeSinceItWasRead() {
        AcceptQueueTracker queue = new AcceptQueueTracker(LONG_AGO);
        queue.onLength(OptionalInt.of(2), 10);
        queue.onReady(5);
        assertEquals(queue.queuedSinceNanos(), LONG_AGO, "the first");
        queue.onAccepted();
        assertEquals(queue.queuedSinceNanos(), LONG_AGO, "the second");
        queue.onAccepted();
        assertEquals(queue.queuedSinceNanos(), 10, "the one behind them");
        queue.onReady(20);
        queue.onAccepted();
        assertEquals(queue.queuedSinceNanos(), 10, "nothing newer is known");
    }

    @Test
    public void aLaterLookCountsOnlyWhereItIsPassedNoLater() {
        AcceptQueueTracker queue = new AcceptQueueTracker(LONG_AGO);
        queue.onLength(OptionalInt.of(3), 10);
        queue.onLength(OptionalInt.of(4), 20);
        queue.onAccepted();
        queue.onAccepted();
        queue.onAccepted();
        assertEquals(queue.queuedSinceNanos(), 10, "by the first look");
        queue.onLength(OptionalInt.of(3), 30);
        queue.onAccepted();
        queue.onLength(OptionalInt.of(2), 40);
        queue.onAccepted();
        queue.onAccepted();
        assertEquals(queue.queuedSinceNanos(), 40, "by the last look");
    }

    @Test
    public void anEmptyQueueTellsByItself() {
        AcceptQueueTracker queue = new AcceptQueueTracker(LONG_AGO);
        queue.onLength(OptionalInt.of(9), 10);
        queue.onEmpty();
        assertTrue(queue.wasEmpty());
        queue.onReady(50);
        assertEquals(queue.queuedSinceNanos(), 50);
        queue.onAccepted();
        assertEquals(queue.queuedSinceNanos(), 50, "the mark of before is void");
        AcceptQueueTracker emptyAtTheLook = new AcceptQueueTracker(LONG_AGO);
        emptyAtTheLook.onLength(OptionalInt.of(0), 10);
        emptyAtTheLook.onReady(5);
        assertEquals(emptyAtTheLook.queuedSinceNanos(), 5, "who comes may have come before the look");
    }

    @Test
    public void withoutALengthOnlyAnEmptyQueueTells() {
        AcceptQueueTracker clock = new AcceptQueueTracker(LONG_AGO);
        clock.onLength(OptionalInt.empty(), 10);
        clock.onAccepted();
        assertEquals(clock.queuedSinceNanos(), LONG_AGO);
        clock.onEmpty();
        clock.onReady(20);
        assertEquals(clock.queuedSinceNanos(), 20);
    }
}
