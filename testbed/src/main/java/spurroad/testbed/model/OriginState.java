package spurroad.testbed.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What the origin and the cache nodes know together, beside the proxies: the version of each key, and which
 * nodes missed for which attempt. A node that missed stores the value when the origin has served the attempt;
 * a write removes all copies of its key.
 */
public final class OriginState {
    /** More misses than are ever in flight; the oldest are forgotten. */
    private static final int MAX_MISSES = 1 << 16;
    private static final int FIRST_VERSION = 1;

    private final Map<Integer, Integer> versionsByKey = new HashMap<>();
    private final List<CacheNode> nodes = new ArrayList<>();
    private final Map<String, List<CacheNode>> missedNodesById = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, List<CacheNode>> eldest) {
            return size() > MAX_MISSES;
        }
    };

    void addNode(CacheNode node) {
        nodes.add(node);
    }

    void removeNode(CacheNode node) {
        nodes.remove(node);
    }

    /** Returns the newest version of a key, from 1. */
    public int version(int key) {
        return versionsByKey.getOrDefault(key, FIRST_VERSION);
    }

    /** A node holds no valid copy for an attempt. */
    void onMiss(String attemptId, CacheNode node) {
        missedNodesById.computeIfAbsent(attemptId, id -> new ArrayList<>(2)).add(node);
    }

    /** The origin has read a key for an attempt. */
    void onRead(String attemptId, int key) {
        List<CacheNode> missedNodes = missedNodesById.remove(attemptId);
        if (missedNodes != null) {
            missedNodes.forEach(node -> node.store(key, version(key)));
        }
    }

    /** The origin has written a key. */
    void onWrite(int key) {
        versionsByKey.put(key, version(key) + 1);
        nodes.forEach(node -> node.removeCopy(key));
    }
}
