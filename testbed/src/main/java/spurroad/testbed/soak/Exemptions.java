package spurroad.testbed.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import spurroad.testbed.soak.SoakRequest.ConnectionUse;

/**
 * The time spans in which the soak itself kept a proxy from doing its duty. Times are of
 * {@link System#nanoTime}. Guarded by the lock of the {@link InvariantChecker}.
 */
final class Exemptions {
    private record TimeSpan(long startNanos, long endNanos) {
        boolean overlaps(long otherStartNanos, long otherEndNanos) {
            return startNanos < otherEndNanos && otherStartNanos < endNanos;
        }
    }

    private final Map<Integer, List<TimeSpan>> killsByProxy = new HashMap<>();
    private final Map<Integer, List<TimeSpan>> notAcceptingByProxy = new HashMap<>();
    private final Map<Integer, List<TimeSpan>> pausesByProxy = new HashMap<>();

    void addKill(int proxy, long startNanos, long endNanos) {
        add(killsByProxy, proxy, startNanos, endNanos);
    }

    void addNotAccepting(int proxy, long startNanos, long endNanos) {
        add(notAcceptingByProxy, proxy, startNanos, endNanos);
    }

    void addPause(int proxy, long startNanos, long endNanos) {
        add(pausesByProxy, proxy, startNanos, endNanos);
    }

    private static void add(Map<Integer, List<TimeSpan>> spans, int proxy, long startNanos, long endNanos) {
        spans.computeIfAbsent(proxy, p -> new ArrayList<>()).add(new TimeSpan(startNanos, endNanos));
    }

    boolean wasKilled(int proxy, long startNanos, long endNanos) {
        return overlaps(killsByProxy, proxy, startNanos, endNanos);
    }

    boolean wasPaused(int proxy, long startNanos, long endNanos) {
        return overlaps(pausesByProxy, proxy, startNanos, endNanos);
    }

    private static boolean overlaps(Map<Integer, List<TimeSpan>> spans, int proxy, long startNanos,
                                    long endNanos) {
        return spans.getOrDefault(proxy, List.of()).stream()
            .anyMatch(span -> span.overlaps(startNanos, endNanos));
    }

    /** Returns whether the connection was made and the request sent while no process had to accept any. */
    boolean wasNeverAccepted(SoakRequest request) {
        if (request.connectionUse == ConnectionUse.USED) {
            return false;
        }
        return notAcceptingByProxy.getOrDefault(request.proxy, List.of()).stream()
            .anyMatch(span -> span.startNanos <= request.connectedAtNanos
                && request.sentAtNanos < span.endNanos);
    }
}
