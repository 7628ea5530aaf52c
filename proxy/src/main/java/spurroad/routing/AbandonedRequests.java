package spurroad.routing;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The ids of requests that must not run twice, whose clients left without a response, and that may still run
 * or have run. A request with such an id is not begun again for a minute, far longer than an endpoint works
 * on a request whose client has left. Used on the event loop only.
 */
final class AbandonedRequests {
    /** Beyond this number the oldest ids are forgotten: 1.4 MB with the longest ids. */
    static final int MAX_IDS = 8_192;
    static final long RETENTION_NANOS = 60_000_000_000L;

    private final Map<String, Long> expiryNanosById = new LinkedHashMap<>(); // the earliest expiry first

    /** Remembers an id from the given time on, in Unix nanoseconds. */
    void add(String id, long nowNanos) {
        expiryNanosById.remove(id);
        expiryNanosById.put(id, nowNanos + RETENTION_NANOS);
        Iterator<Long> expiries = expiryNanosById.values().iterator();
        while (expiries.next() <= nowNanos || expiryNanosById.size() > MAX_IDS) {
            expiries.remove();
        }
    }

    /** Returns whether an id is remembered at the given time, in Unix nanoseconds. */
    boolean contains(String id, long nowNanos) {
        Long expiryNanos = expiryNanosById.get(id);
        return expiryNanos != null && nowNanos < expiryNanos;
    }
}
