package spurroad.control.decide;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Limits the share of the fleet that may disappear from discovery at once. Without the limit, a faulty
 * discovery that reports no endpoints would remove all endpoints from the proxies. When the missing active
 * endpoints exceed a fraction of the weight, the excess ones are retained for a limited time and removed if
 * they are still missing afterwards. Draining is never delayed, because it is always reported deliberately.
 *
 * <p>The fraction refers to the weight that was active when the first endpoint went missing, so that a fleet
 * that disappears step by step is protected as well. Not thread-safe. Times are nanoseconds of a monotonic
 * clock.
 */
public final class MassRemovalGuard {
    /**
     * The endpoints that pass the guard, including retained ones.
     *
     * @param endpoints the endpoints to send to proxies, by uid
     * @param retained uids of the endpoints that are missing from discovery but not removed yet
     */
    public record FilteredEndpoints(SortedMap<String, Endpoint> endpoints, SortedSet<String> retained) {}

    private record MissingEndpoint(Endpoint endpoint, long sinceNanos) {
        private boolean isExpired(long nowNanos, long retentionNanos) {
            return nowNanos - sinceNanos >= retentionNanos;
        }
    }

    private final double maxRemovedFraction;
    private final long retentionNanos;
    private final Map<String, MissingEndpoint> missing = new LinkedHashMap<>(); // by uid, oldest first
    private SortedMap<String, Endpoint> lastEndpoints = new TreeMap<>();
    private double activeWeightBefore; // active weight at the last time when no endpoint was missing

    /**
     * Creates a guard that has seen no endpoints.
     *
     * @param maxRemovedFraction fraction of the active weight that may be removed at once, from 0 to 1
     * @param retentionNanos how long the endpoints beyond that fraction are retained
     */
    public MassRemovalGuard(double maxRemovedFraction, long retentionNanos) {
        this.maxRemovedFraction = maxRemovedFraction;
        this.retentionNanos = retentionNanos;
    }

    /** Filters the endpoints that discovery reports; the first list passes unchanged. */
    public FilteredEndpoints filter(long nowNanos, SortedMap<String, Endpoint> reported) {
        updateMissing(nowNanos, reported);
        FilteredEndpoints filtered = new FilteredEndpoints(new TreeMap<>(reported), new TreeSet<>());
        retainExcessRemovals(nowNanos, filtered);
        missing.values().removeIf(absent -> absent.isExpired(nowNanos, retentionNanos));
        lastEndpoints = filtered.endpoints();
        return filtered;
    }

    private void updateMissing(long nowNanos, SortedMap<String, Endpoint> reported) {
        missing.keySet().removeIf(reported::containsKey);
        if (missing.isEmpty()) {
            activeWeightBefore = activeWeight(lastEndpoints);
        }
        for (Endpoint endpoint : lastEndpoints.values()) {
            if (!reported.containsKey(endpoint.uid()) && endpoint.isIn(EndpointState.ACTIVE)) {
                missing.putIfAbsent(endpoint.uid(), new MissingEndpoint(endpoint, nowNanos));
            }
        }
    }

    private void retainExcessRemovals(long nowNanos, FilteredEndpoints filtered) {
        double missingWeight = 0;
        for (MissingEndpoint absent : missing.values()) {
            missingWeight += absent.endpoint.weight();
            boolean exceedsFraction = missingWeight > maxRemovedFraction * activeWeightBefore;
            if (exceedsFraction && !absent.isExpired(nowNanos, retentionNanos)) {
                filtered.endpoints().put(absent.endpoint.uid(), absent.endpoint);
                filtered.retained().add(absent.endpoint.uid());
            }
        }
    }

    private static double activeWeight(Map<String, Endpoint> endpoints) {
        return endpoints.values().stream().filter(endpoint -> endpoint.isIn(EndpointState.ACTIVE))
            .mapToDouble(Endpoint::weight).sum();
    }
}
