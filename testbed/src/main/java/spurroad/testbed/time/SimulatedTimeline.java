package spurroad.testbed.time;

import java.util.PriorityQueue;

/**
 * Simulated time, which jumps from one event to the next. Deterministic: events at the same time run in the
 * order in which they were scheduled. Not thread-safe.
 */
public final class SimulatedTimeline implements Timeline {
    private static final class Event implements Alarm, Comparable<Event> {
        private final long atNanos;
        private final long number;
        private Runnable action; // null once it has run or was cancelled

        private Event(long atNanos, long number, Runnable action) {
            this.atNanos = atNanos;
            this.number = number;
            this.action = action;
        }

        @Override
        public void cancel() {
            action = null; // the event stays in the queue until its time, as removing it would need a search
        }

        @Override
        public int compareTo(Event other) {
            return atNanos != other.atNanos ? Long.compare(atNanos, other.atNanos)
                : Long.compare(number, other.number);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long now;
    private long nextNumber;
    private long ranCount;

    @Override
    public long now() {
        return now;
    }

    @Override
    public Alarm at(long timeNs, Runnable work) {
        Event event = new Event(Math.max(now, timeNs), nextNumber++, work);
        events.add(event);
        return event;
    }

    /** Runs all events up to a time, that time included, and leaves the clock there. */
    public void runUntil(long timeNanos) {
        while (!events.isEmpty() && events.peek().atNanos <= timeNanos) {
            run(events.poll());
        }
        now = Math.max(now, timeNanos);
    }

    private void run(Event event) {
        Runnable action = event.action;
        if (action == null) {
            return; // cancelled
        }
        now = event.atNanos;
        event.action = null;
        ranCount++;
        action.run();
    }

    /** Returns how many events have run so far. */
    public long ran() {
        return ranCount;
    }
}
