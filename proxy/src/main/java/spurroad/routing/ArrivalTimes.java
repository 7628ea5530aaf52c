package spurroad.routing;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * When the bytes arrived that were read and not taken yet: commands wait for the answers before them, and a
 * request's time counts from its last byte. Times are Unix nanoseconds. Of one connection, the loop's.
 */
final class ArrivalTimes {
    /**
     * Arrivals so close together count as one, the earliest, so that a peer that sends byte by byte takes no
     * memory.
     */
    static final long JOINED_NS = 5_000_000L;

    /** Some bytes that arrived together. */
    private static final class Arrival {
        private final long at;
        private int bytes;

        private Arrival(long at, int bytes) {
            this.at = at;
            this.bytes = bytes;
        }
    }

    private final Deque<Arrival> arrivals = new ArrayDeque<>(2);

    /** So many more bytes have been read, which arrived then or, as far as is known, later. */
    void read(int bytes, long at) {
        Arrival last = arrivals.peekLast();
        if (last != null && at - last.at < JOINED_NS) {
            last.bytes += bytes;
        } else if (bytes > 0) {
            arrivals.add(new Arrival(at, bytes));
        }
    }

    /** So many bytes are taken, in order; when the last of them arrived. */
    long take(int bytes) {
        int left = bytes;
        while (arrivals.size() > 1 && arrivals.peek().bytes < left) {
            left -= arrivals.poll().bytes;
        }
        Arrival last = arrivals.peek();
        last.bytes -= left;
        if (last.bytes == 0) {
            arrivals.poll();
        }
        return last.at;
    }

    /** When the first byte that was not taken arrived. */
    long earliest() {
        return arrivals.peek().at;
    }
}
