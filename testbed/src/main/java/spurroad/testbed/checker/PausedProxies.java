package spurroad.testbed.checker;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Which proxies the testbed itself has stopped or killed, and until when the others were. */
final class PausedProxies {
    private final Set<Integer> paused = new HashSet<>();
    private final Map<Integer, Long> resumedAtNanos = new HashMap<>();

    void pause(int proxy) {
        paused.add(proxy);
    }

    void resume(long timeNanos, int proxy) {
        paused.remove(proxy);
        resumedAtNanos.put(proxy, timeNanos);
    }

    /** Returns whether a proxy is paused now, or was at or after a time. */
    boolean wasPausedSince(long timeNanos, int proxy) {
        return paused.contains(proxy) || resumedAtNanos.getOrDefault(proxy, Long.MIN_VALUE) >= timeNanos;
    }
}
