package spurroad.transport;

import java.util.TreeSet;

/** Scheduled tasks, ordered by their deadlines. Event loop thread only. */
final class TimerQueue {
    private record ScheduledTask(TreeSet<ScheduledTask> queue, long deadlineNanos, long sequenceNumber,
                                 Runnable task)
        implements
            Comparable<ScheduledTask>,
            EventLoop.Timer {
        @Override
        public void cancel() {
            queue.remove(this);
        }

        @Override
        public int compareTo(ScheduledTask other) {
            return deadlineNanos != other.deadlineNanos ? Long.compare(deadlineNanos, other.deadlineNanos)
                : Long.compare(sequenceNumber, other.sequenceNumber);
        }
    }

    private final TreeSet<ScheduledTask> queue = new TreeSet<>();
    private long nextSequenceNumber;

    /** Adds a task. Tasks with equal deadlines run in the order in which they were added. */
    EventLoop.Timer add(long deadlineNanos, Runnable task) {
        ScheduledTask scheduled = new ScheduledTask(queue, deadlineNanos, nextSequenceNumber++, task);
        queue.add(scheduled);
        return scheduled;
    }

    /** Returns the time until the first task is due: zero or less if it is, MAX_VALUE if none exists. */
    long nanosUntilFirst(long nowNanos) {
        return queue.isEmpty() ? Long.MAX_VALUE : queue.first().deadlineNanos - nowNanos;
    }

    /** Removes and returns the first task if it is due; returns null if it is not or there is none. */
    Runnable pollDue(long nowNanos) {
        boolean isDue = !queue.isEmpty() && queue.first().deadlineNanos <= nowNanos;
        return isDue ? queue.pollFirst().task : null;
    }
}
