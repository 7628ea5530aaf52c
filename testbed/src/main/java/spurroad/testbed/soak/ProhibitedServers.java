package spurroad.testbed.soak;

import java.util.HashMap;
import java.util.Map;

/**
 * The servers that each proxy may send nothing new to, for one reason, with when the proxy learned it. Times
 * are of {@link System#nanoTime}. Guarded by the lock of the {@link InvariantChecker}.
 */
final class ProhibitedServers {
    private record ProxyServer(int proxy, String server) {}

    private final Map<ProxyServer, Long> sinceNanos = new HashMap<>();

    /** Prohibits a server from now on; one that is prohibited already keeps its earlier time. */
    void prohibit(int proxy, String server) {
        sinceNanos.putIfAbsent(new ProxyServer(proxy, server), System.nanoTime());
    }

    void allow(int proxy, String server) {
        sinceNanos.remove(new ProxyServer(proxy, server));
    }

    void allowAll(int proxy) {
        sinceNanos.keySet().removeIf(key -> key.proxy == proxy);
    }

    /** Returns for how long a server has been prohibited; -1 if it is allowed. */
    long prohibitedForNanos(int proxy, String server, long nowNanos) {
        Long since = sinceNanos.get(new ProxyServer(proxy, server));
        return since == null ? -1 : nowNanos - since;
    }

    /** Returns a server that has been prohibited for longer than a time; null if there is none. */
    String prohibitedForLongerThan(int proxy, long minNanos) {
        long now = System.nanoTime();
        return sinceNanos.entrySet().stream()
            .filter(entry -> entry.getKey().proxy == proxy && now - entry.getValue() > minNanos)
            .map(entry -> entry.getKey().server).findFirst().orElse(null);
    }
}
