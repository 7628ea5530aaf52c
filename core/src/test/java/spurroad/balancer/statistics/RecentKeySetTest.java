package spurroad.balancer.statistics;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;
import spurroad.model.CacheKey;

public class RecentKeySetTest {
    private static final long MAX_AGE_NANOS = 100;
    private final RecentKeySet keys = new RecentKeySet(3);

    private static CacheKey key(long value) {
        return new CacheKey(value);
    }

    @Test
    public void evictsTheFirstAddedKeyBeyondItsCapacity() {
        RecentKeySet full = new RecentKeySet(3);
        for (long value = 1; value <= 3; value++) {
            full.add(key(value), 0);
        }
        full.add(key(1), 50);
        full.add(key(4), 60);
        assertFalse(full.contains(key(1), 60, MAX_AGE_NANOS),
            "adding a key again does not change its position");
        assertTrue(full.contains(key(2), 60, MAX_AGE_NANOS));
        assertTrue(full.contains(key(4), 60, MAX_AGE_NANOS));
    }

    @Test
    public void containsAKeyUntilItExpires() {
        RecentKeySet aging = new RecentKeySet(3);
        aging.add(key(7), 1000);
        assertTrue(aging.contains(key(7), 1099, MAX_AGE_NANOS));
        assertFalse(aging.contains(key(7), 1100, MAX_AGE_NANOS));
    }

    @Test
    public void removesARecentKeyOnce() {
        RecentKeySet recent = new RecentKeySet(3);
        recent.add(key(7), 0);
        assertTrue(recent.removeIfRecent(key(7), 10, MAX_AGE_NANOS));
        assertFalse(recent.removeIfRecent(key(7), 10, MAX_AGE_NANOS));
    }

    @Test
    public void neverContainsTheNoneKey() {
        keys.add(CacheKey.NONE, 0);
        assertEquals(keys.contains(CacheKey.NONE, 0, MAX_AGE_NANOS), false);
    }
}
