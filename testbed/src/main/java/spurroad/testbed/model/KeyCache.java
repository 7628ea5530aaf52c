package spurroad.testbed.model;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalInt;

/** The copies of keys at one cache node: bounded, least recently used first out, each with an expiry. */
final class KeyCache {
    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;

    private record Copy(int version, long expiryNanos) {}

    private final long timeToLiveNanos;
    private final Map<Integer, Copy> copies;

    KeyCache(int maxKeys, long timeToLiveNanos) {
        this.timeToLiveNanos = timeToLiveNanos;
        copies = new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Integer, Copy> eldest) {
                return size() > maxKeys;
            }
        };
    }

    /** Returns the version of an unexpired copy, and marks the copy as recently used. */
    OptionalInt version(int key, long nowNanos) {
        Copy copy = copies.get(key);
        return copy == null || copy.expiryNanos < nowNanos ? OptionalInt.empty()
            : OptionalInt.of(copy.version);
    }

    void put(int key, int version, long nowNanos) {
        copies.put(key, new Copy(version, nowNanos + timeToLiveNanos));
    }

    void remove(int key) {
        copies.remove(key);
    }

    void clear() {
        copies.clear();
    }
}
