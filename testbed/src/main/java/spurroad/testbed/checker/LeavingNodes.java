package spurroad.testbed.checker;

import java.util.HashMap;
import java.util.Map;

/** Which nodes each proxy was told, by discovery, to send nothing new to. */
final class LeavingNodes {
    /**
     * What a proxy was told first of a node that is leaving.
     *
     * @param timeNanos when the proxy was told
     * @param state the word for the node's state, such as "draining"
     */
    record Notice(long timeNanos, String state) {}

    private final Map<Integer, Map<String, Notice>> noticesByProxy = new HashMap<>();

    /** A proxy was told that a node is leaving; a later notice doesn't extend the grace period. */
    void add(long timeNanos, int proxy, String uid, String state) {
        notices(proxy).putIfAbsent(uid, new Notice(timeNanos, state));
    }

    /** A proxy was told that a node is ready again. */
    void remove(int proxy, String uid) {
        notices(proxy).remove(uid);
    }

    /** A proxy has lost what it was told. */
    void forget(int proxy) {
        noticesByProxy.remove(proxy);
    }

    /** Returns what a proxy was told of a node; null if the node is not leaving as far as the proxy knows. */
    Notice notice(int proxy, String uid) {
        return noticesByProxy.getOrDefault(proxy, Map.of()).get(uid);
    }

    private Map<String, Notice> notices(int proxy) {
        return noticesByProxy.computeIfAbsent(proxy, p -> new HashMap<>());
    }
}
