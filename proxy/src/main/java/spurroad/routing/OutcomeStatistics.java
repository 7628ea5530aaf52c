package spurroad.routing;

import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;

/**
 * Counts how requests ended, by request class, since the start of the process. Requests in flight are not
 * counted themselves: they are the difference between the received and the ended requests. A class that is
 * removed from the settings keeps its counts. Written by the event loop only; any thread may read, without a
 * lock.
 */
public final class OutcomeStatistics {
    /** How a request ended. */
    enum End {
        SUCCEEDED,
        /** The request was rejected. */
        DECLINED,
        /** The request failed. */
        ABORTED,
        /** The client disconnected before it had its response. */
        DISCONNECTED
    }

    /** Counts of one request class. */
    public static final class ClassCounts {
        private volatile long received;
        private volatile long succeeded;
        private volatile long declined;
        private volatile long aborted;
        private volatile long disconnected;

        private ClassCounts() {}

        /** Counts a received request; its end must be counted exactly once. */
        @SuppressWarnings("NonAtomicOperationOnVolatileField") // written by the loop only
        void onRequest() {
            received++;
        }

        @SuppressWarnings("NonAtomicOperationOnVolatileField")
        void onEnd(End end) {
            switch (end) {
                case SUCCEEDED -> succeeded++;
                case DECLINED -> declined++;
                case ABORTED -> aborted++;
                default -> disconnected++;
            }
        }

        /** Returns the number of requests that succeeded. */
        public long succeeded() {
            return succeeded;
        }

        /** Returns the number of requests that were rejected. */
        public long declined() {
            return declined;
        }

        /** Returns the number of requests that failed. */
        public long aborted() {
            return aborted;
        }

        /**
         * Returns the number of requests in flight; never negative, as the ended ones are read before the
         * received ones.
         */
        long outstanding() {
            long ended = succeeded + declined + aborted + disconnected;
            return received - ended;
        }
    }

    private final Map<String, ClassCounts> classes = new ConcurrentSkipListMap<>();
    private volatile long forwards;

    /** Returns the counts of a request class; counting begins when the class is first requested here. */
    ClassCounts ofClass(String name) {
        return classes.computeIfAbsent(name, key -> new ClassCounts());
    }

    /** Counts an attempt that was fully sent to a cache node or the origin. */
    @SuppressWarnings("NonAtomicOperationOnVolatileField") // written by the loop only
    void onForwarded() {
        forwards++;
    }

    /** Returns the counts by class name, sorted. */
    public Map<String, ClassCounts> byClass() {
        return classes;
    }

    /** Returns the number of attempts that were fully sent. */
    public long forwards() {
        return forwards;
    }

    /** Returns the number of requests that were received and have not ended. */
    public long outstanding() {
        return classes.values().stream().mapToLong(ClassCounts::outstanding).sum();
    }
}
