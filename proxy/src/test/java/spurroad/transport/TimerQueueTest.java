package spurroad.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertSame;

import org.testng.annotations.Test;

/** The timers that are due, and their order. */
public class TimerQueueTest {
    private final TimerQueue timers = new TimerQueue();

    @Test
    public void keepsInsertionOrderOfEqualDeadlines() {
        Runnable last = () -> {};
        Runnable first = () -> {};
        Runnable second = () -> {};
        timers.add(30, last);
        timers.add(20, first);
        timers.add(20, second);
        assertEquals(timers.nanosUntilFirst(5), 15);
        assertNull(timers.pollDue(19));
        assertSame(timers.pollDue(20), first);
        assertSame(timers.pollDue(20), second);
        assertNull(timers.pollDue(20));
        assertSame(timers.pollDue(40), last);
    }

    @Test
    public void neverReturnsCancelledTimer() {
        TimerQueue queue = new TimerQueue();
        EventLoop.Timer timer = queue.add(20, () -> {});
        timer.cancel();
        timer.cancel();
        assertEquals(queue.nanosUntilFirst(0), Long.MAX_VALUE);
        assertNull(queue.pollDue(20));
    }
}
