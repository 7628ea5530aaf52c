package spurroad.admin;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import spurroad.admin.AdminResponse.Status;

/**
 * What each admin request does: the one place that knows the paths. The platform decides who may reach the
 * second address, so no route asks who calls.
 */
public final class AdminRoutes {
    /** Drains cache nodes for the operators. */
    public interface DrainControl {
        /**
         * Drains a cache node, or gives it back.
         *
         * @param id the name of the cache node in the endpoint list
         * @param onApplied called, from any thread, once this process does so, if not all do yet
         * @param onResult called once, from any thread, with whether such an endpoint has ever been listed;
         *     once all processes do so, if it has
         */
        void setDrained(String id, boolean drained, Runnable onApplied, Consumer<Boolean> onResult);
    }

    private static final String HEALTH_PATH = "/healthcheck";
    private static final String STATS_PATH = "/stats";
    private static final String CACHE_NODES_PREFIX = "/cache-nodes/";
    private static final String DRAIN_SUFFIX = "/maint";
    private static final String UNDRAIN_SUFFIX = "/ready";
    private static final String EXPECTED_PATHS = "expected /healthcheck, /stats, /cache-nodes/ID/maint or "
        + "/cache-nodes/ID/ready";
    private static final String EXPECTED_ID = "expected the id of a cache node between /cache-nodes/ and "
        + "the last /";

    private final BooleanSupplier serving;
    private final StatsdExport metrics;
    private final DrainControl drainControl;

    /**
     * Makes the routes of one proxy; each argument may be called from the thread of the admin server.
     *
     * @param serving whether the proxy accepts clients
     */
    public AdminRoutes(BooleanSupplier serving, StatsdExport metrics, DrainControl drainControl) {
        this.serving = serving;
        this.metrics = metrics;
        this.drainControl = drainControl;
    }

    /** Handles a request; responds later and from any thread where it drains. */
    void handle(AdminRequest request, AdminResponder responder) {
        String path = request.path();
        if (path.equals(HEALTH_PATH)) {
            responder.respond(isGet(request) ? health() : expectedMethod("GET", path));
        } else if (path.equals(STATS_PATH)) {
            responder.respond(isGet(request) ? AdminResponse.ok(metrics.format())
                : expectedMethod("GET", path));
        } else if (path.startsWith(CACHE_NODES_PREFIX) && path.endsWith(DRAIN_SUFFIX)) {
            setDrained(request, true, responder);
        } else if (path.startsWith(CACHE_NODES_PREFIX) && path.endsWith(UNDRAIN_SUFFIX)) {
            setDrained(request, false, responder);
        } else {
            responder.respond(AdminResponse.rejected(Status.NOT_FOUND, EXPECTED_PATHS));
        }
    }

    private static boolean isGet(AdminRequest request) {
        return request.method().equals("GET");
    }

    private static AdminResponse expectedMethod(String method, String path) {
        return AdminResponse.rejected(Status.METHOD_NOT_ALLOWED, "expected " + method + " " + path);
    }

    /** Rejects a request that comes before the proxy accepts clients. */
    static AdminResponse notServingYet() {
        return AdminResponse.rejected(Status.UNAVAILABLE, "not serving yet");
    }

    private AdminResponse health() {
        return serving.getAsBoolean() ? AdminResponse.ok("serving\n") : notServingYet();
    }

    private void setDrained(AdminRequest request, boolean drained, AdminResponder responder) {
        String id = cacheNodeId(request.path());
        if (!request.method().equals("POST")) {
            responder.respond(expectedMethod("POST", request.path()));
        } else if (id == null) {
            responder.respond(AdminResponse.rejected(Status.BAD_REQUEST, EXPECTED_ID));
        } else if (!serving.getAsBoolean()) {
            responder.respond(notServingYet());
        } else {
            drainControl.setDrained(id, drained,
                () -> responder.setTimeoutResponse(appliedHere(id, drained)),
                known -> responder.respond(known ? done(id, drained) : unknownCacheNode(id)));
        }
    }

    /** Returns the id between the prefix and the last slash; null where it is no id of a cache node. */
    private static String cacheNodeId(String path) {
        int end = path.lastIndexOf('/');
        if (end < CACHE_NODES_PREFIX.length()) {
            return null;
        }
        String id = AdminRequest.percentDecoded(path.substring(CACHE_NODES_PREFIX.length(), end));
        boolean valid = id != null && !id.isEmpty() && id.chars().noneMatch(c -> c <= ' ' || c == '/');
        return valid ? id : null;
    }

    private static AdminResponse done(String id, boolean drained) {
        return AdminResponse.ok(id + (drained ? " gets nothing new\n" : " is used again\n"));
    }

    /** Says what holds where a call is not confirmed in time: the caller may count on it, or undo it. */
    private static AdminResponse appliedHere(String id, boolean drained) {
        String state = drained ? " gets nothing new from this process" : " is used again by this process";
        return AdminResponse.rejected(Status.UNAVAILABLE, id + state + ", but that is not written or not "
            + "confirmed by all processes yet; it is tried until it is, call again");
    }

    private static AdminResponse unknownCacheNode(String id) {
        return AdminResponse.rejected(Status.NOT_FOUND,
            "expected the id of a cache node that the list has named, not " + id);
    }
}
