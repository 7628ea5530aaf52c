package spurroad.testbed.model;

import java.util.HashMap;
import java.util.Map;

/** The idempotency keys that the origin has seen, each for the deduplication window of its write. */
final class IdempotencyKeys {
    private static final long CLEANUP_INTERVAL_NANOS = 1_000_000_000L;

    private final Map<String, Long> expiryNanosByKey = new HashMap<>();
    private long cleanedUpAtNanos;

    /** Removes expired keys, at most once a second. */
    void cleanUp(long nowNanos) {
        if (nowNanos - cleanedUpAtNanos > CLEANUP_INTERVAL_NANOS) {
            cleanedUpAtNanos = nowNanos;
            expiryNanosByKey.values().removeIf(expiry -> expiry < nowNanos);
        }
    }

    /** Remembers a key for a window; returns false if it was remembered already. */
    boolean add(String key, long nowNanos, long windowNanos) {
        Long expiry = expiryNanosByKey.get(key);
        if (expiry != null && expiry >= nowNanos) {
            return false;
        }
        expiryNanosByKey.put(key, nowNanos + windowNanos);
        return true;
    }
}
