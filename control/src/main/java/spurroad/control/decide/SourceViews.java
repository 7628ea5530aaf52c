package spurroad.control.decide;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Merges the endpoints that several sources report, such as discovery, a second discovery and the endpoints
 * themselves. The status of an endpoint is the join of the reported statuses ({@link EndpointStatus}). An
 * endpoint that a source omits from its full list counts as gone, unless another source reports a later
 * incarnation of it. The reports of a lost source still count, as they can only be older or more restrictive.
 * Omissions of a lost source do not count, because it can't know of later endpoints.
 *
 * <p>Memory is bounded by the number of endpoints that at least one source does not report as gone. Not
 * thread-safe.
 */
public final class SourceViews {
    /** The endpoints that one source has reported. */
    private static final class SourceView {
        private final Map<String, Endpoint> endpoints = new HashMap<>();
        private boolean isLive;
        private boolean isComplete; // the source has sent a full list

        private boolean omits(String uid) {
            return isLive && isComplete && !endpoints.containsKey(uid);
        }

        private boolean omitsOrReportsGone(String uid) {
            Endpoint endpoint = endpoints.get(uid);
            return endpoint == null || endpoint.isIn(EndpointState.GONE);
        }
    }

    private final Map<String, SourceView> views = new LinkedHashMap<>(); // by source

    /** Replaces all earlier reports of a source with a full list of its endpoints. */
    public void onFullList(String source, Collection<Endpoint> endpoints) {
        SourceView view = liveView(source);
        view.isComplete = true;
        view.endpoints.clear();
        endpoints.forEach(endpoint -> view.endpoints.put(endpoint.uid(), endpoint));
    }

    /** Adds endpoints that are new at a source, and replaces those that have changed. */
    public void onChanges(String source, Collection<Endpoint> endpoints) {
        SourceView view = liveView(source);
        endpoints.forEach(endpoint -> view.endpoints.put(endpoint.uid(), endpoint));
    }

    private SourceView liveView(String source) {
        SourceView view = views.computeIfAbsent(source, key -> new SourceView());
        view.isLive = true;
        return view;
    }

    /** Marks a source as unreachable; its next report marks it as live again. */
    public void onSourceLost(String source) {
        SourceView view = views.get(source);
        if (view != null) {
            view.isLive = false;
        }
    }

    /** Returns whether at least one source is reachable. */
    public boolean isAnySourceLive() {
        return views.values().stream().anyMatch(view -> view.isLive);
    }

    /** Returns the endpoints that are not gone, by uid, with the joined status of all sources. */
    public SortedMap<String, Endpoint> mergedEndpoints() {
        SortedMap<String, Endpoint> merged = new TreeMap<>();
        for (SourceView view : views.values()) {
            view.endpoints.forEach((uid, endpoint) -> merged.merge(uid, endpoint, SourceViews::join));
        }
        merged.replaceAll((uid, endpoint) -> endpoint.withStatus(
            endpoint.status().join(statusByOmission(uid, endpoint.status()))));
        removeGone();
        merged.values().removeIf(endpoint -> endpoint.isIn(EndpointState.GONE));
        return merged;
    }

    /** Returns whichever endpoint has the joined status; the second one if both have it. */
    private static Endpoint join(Endpoint first, Endpoint second) {
        EndpointStatus joined = first.status().join(second.status());
        return joined.equals(second.status()) ? second : first;
    }

    private EndpointStatus statusByOmission(String uid, EndpointStatus reported) {
        boolean isOmitted = views.values().stream().anyMatch(view -> view.omits(uid));
        return isOmitted ? new EndpointStatus(reported.startedAtMillis(), EndpointState.GONE) : reported;
    }

    /** Removes the endpoints that every source omits or reports as gone. */
    private void removeGone() {
        for (SourceView view : views.values()) {
            view.endpoints.keySet().removeIf(this::isGoneEverywhere);
        }
    }

    private boolean isGoneEverywhere(String uid) {
        return views.values().stream().allMatch(view -> view.omitsOrReportsGone(uid));
    }
}
