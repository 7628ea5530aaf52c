package spurroad.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.OptionalInt;
import org.testng.annotations.Test;

/** The bound for when the next connection was queued, from lengths and emptiness of the queue. */
public class AcceptQueueTrackerTest {
    private static final long LONG_AGO = -1_000;

    @Test
    public void boundsConnectionsBehindSampledLengthBySampleTime() {
        AcceptQueueTracker tracker = new AcceptQueueTracker(LONG_AGO);
        tracker.onLength(OptionalInt.of(2), 10);
        tracker.onReady(5);
        assertEquals(tracker.queuedSinceNanos(), LONG_AGO, "first sampled connection");
        tracker.onAccepted();
        assertEquals(tracker.queuedSinceNanos(), LONG_AGO, "second sampled connection");
        tracker.onAccepted();
        assertEquals(tracker.queuedSinceNanos(), 10, "first connection after the sample");
        tracker.onReady(20);
        tracker.onAccepted();
        assertEquals(tracker.queuedSinceNanos(), 10, "no newer sample is known");
    }

    @Test
    public void replacesPendingSampleOnlyIfReachedNoLater() {
        AcceptQueueTracker tracker = new AcceptQueueTracker(LONG_AGO);
        tracker.onLength(OptionalInt.of(3), 10);
        tracker.onLength(OptionalInt.of(4), 20);
        tracker.onAccepted();
        tracker.onAccepted();
        tracker.onAccepted();
        assertEquals(tracker.queuedSinceNanos(), 10, "bound by the first sample");
        tracker.onLength(OptionalInt.of(3), 30);
        tracker.onAccepted();
        tracker.onLength(OptionalInt.of(2), 40);
        tracker.onAccepted();
        tracker.onAccepted();
        assertEquals(tracker.queuedSinceNanos(), 40, "bound by the last sample");
    }

    @Test
    public void boundsArrivalByReadinessAfterEmptyQueue() {
        AcceptQueueTracker tracker = new AcceptQueueTracker(LONG_AGO);
        tracker.onLength(OptionalInt.of(9), 10);
        tracker.onEmpty();
        assertTrue(tracker.wasEmpty());
        tracker.onReady(50);
        assertEquals(tracker.queuedSinceNanos(), 50);
        tracker.onAccepted();
        assertEquals(tracker.queuedSinceNanos(), 50, "the earlier sample is discarded");
        AcceptQueueTracker sampledEmpty = new AcceptQueueTracker(LONG_AGO);
        sampledEmpty.onLength(OptionalInt.of(0), 10);
        sampledEmpty.onReady(5);
        assertEquals(sampledEmpty.queuedSinceNanos(), 5, "the connection may have arrived before the sample");
    }

    @Test
    public void tightensBoundOnlyAfterEmptyQueueIfLengthIsUnknown() {
        AcceptQueueTracker tracker = new AcceptQueueTracker(LONG_AGO);
        tracker.onLength(OptionalInt.empty(), 10);
        tracker.onAccepted();
        assertEquals(tracker.queuedSinceNanos(), LONG_AGO);
        tracker.onEmpty();
        tracker.onReady(20);
        assertEquals(tracker.queuedSinceNanos(), 20);
    }
}
