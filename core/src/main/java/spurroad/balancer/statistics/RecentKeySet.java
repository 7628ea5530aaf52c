package spurroad.balancer.statistics;

import java.util.LinkedHashMap;
import java.util.Map;
import spurroad.model.CacheKey;

/**
 * A bounded set of cache keys, each with the time at which it was last added.
 *
 * <p>Above its capacity, the key that was first added is evicted; adding a key again does not change its
 * position. Age is checked on reading, so expired keys stay until they are evicted. {@link CacheKey#NONE} is
 * never contained. Called from the load balancer's thread only.
 */
public final class RecentKeySet {
    private final int capacity;
    private final Map<CacheKey, Long> addedNanos = new LinkedHashMap<>();

    /** Creates an empty set with the given capacity in keys. */
    public RecentKeySet(int capacity) {
        this.capacity = capacity;
    }

    /** Adds a key, or updates the time of one that is already contained. */
    public void add(CacheKey key, long now) {
        if (key.value() != 0) {
            addedNanos.put(key, now);
        }
        if (addedNanos.size() > capacity) {
            addedNanos.remove(addedNanos.keySet().iterator().next());
        }
    }

    /** Returns whether the key was added less than the given number of nanoseconds ago. */
    public boolean contains(CacheKey key, long now, long maxAgeNanos) {
        Long addedAtNanos = addedNanos.get(key);
        return addedAtNanos != null && now - addedAtNanos < maxAgeNanos;
    }

    /** Removes a key, if it is contained. */
    public void remove(CacheKey key) {
        addedNanos.remove(key);
    }

    /** Removes a key, and returns whether it was added less than the given number of nanoseconds ago. */
    public boolean removeIfRecent(CacheKey key, long now, long maxAgeNanos) {
        boolean recent = contains(key, now, maxAgeNanos);
        remove(key);
        return recent;
    }
}
