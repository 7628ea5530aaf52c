package spurroad.routing;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Records the arrival times of bytes that were read from one connection and not consumed yet: commands wait
 * for the responses before them, and a request's time counts from the arrival of its last byte. Times are
 * Unix nanoseconds. Used on the event loop only.
 */
final class ArrivalTimes {
    /**
     * Arrivals within this time are merged into the earliest, so that a peer that sends byte by byte uses
     * little memory.
     */
    static final long MERGE_WINDOW_NANOS = 5_000_000L;
    /** Beyond this number arrivals are merged in pairs, however far apart. */
    static final int MAX_ARRIVALS = 64;

    /** Bytes that arrived together, with the time of arrival. */
    private static final class Arrival {
        private final long atNanos;
        private int bytes;

        private Arrival(long atNanos, int bytes) {
            this.atNanos = atNanos;
            this.bytes = bytes;
        }
    }

    private final Deque<Arrival> arrivals = new ArrayDeque<>(2);

    /** Adds bytes that were read, which arrived at the given time or possibly later. */
    void onRead(int bytes, long atNanos) {
        Arrival last = arrivals.peekLast();
        if (last != null && atNanos - last.atNanos < MERGE_WINDOW_NANOS) {
            last.bytes += bytes;
        } else if (bytes > 0) {
            arrivals.add(new Arrival(atNanos, bytes));
        }
        if (arrivals.size() > MAX_ARRIVALS) {
            mergePairs();
        }
    }

    /** Merges each two arrivals into the earlier one. */
    private void mergePairs() {
        for (int remaining = arrivals.size(); remaining > 0; remaining -= 2) {
            Arrival earlier = arrivals.poll();
            if (remaining > 1) {
                earlier.bytes += arrivals.poll().bytes;
            }
            arrivals.add(earlier);
        }
    }

    /** Notes that the first bytes, a positive number, will be consumed together. */
    void mergeFirst(int bytes) {
        long lastAtNanos = take(bytes);
        arrivals.addFirst(new Arrival(lastAtNanos, bytes));
    }

    /** Consumes the given number of bytes, oldest first, and returns the arrival time of the last of them. */
    long take(int bytes) {
        int remaining = bytes;
        while (arrivals.size() > 1 && arrivals.peek().bytes < remaining) {
            remaining -= arrivals.poll().bytes;
        }
        Arrival last = arrivals.peek();
        last.bytes -= remaining;
        if (last.bytes == 0) {
            arrivals.poll();
        }
        return last.atNanos;
    }

    /** Returns how many arrivals are kept. */
    int count() {
        return arrivals.size();
    }
}
