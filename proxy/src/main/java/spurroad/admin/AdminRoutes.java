package spurroad.admin;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import spurroad.admin.AdminResponse.Status;

/**
 * Maps admin requests to their handlers, by path and method. Routes do not authenticate callers: access to
 * the admin address is restricted outside of the proxy.
 */
public final class AdminRoutes {
    /** Drains cache nodes on the operators' request. */
    public interface DrainControl {
        /**
         * Drains a cache node, or returns it to use.
         *
         * @param id the name of the cache node in the endpoint list
         * @param onApplied called, from any thread, when this process has applied the change but not all
         *     processes have
         * @param onResult called once, from any thread: with true when all processes have applied the change,
         *     with false if no such endpoint has ever been listed
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
     * Creates the routes of a proxy. The thread of the admin server calls the arguments.
     *
     * @param serving returns whether the proxy accepts clients
     */
    public AdminRoutes(BooleanSupplier serving, StatsdExport metrics, DrainControl drainControl) {
        this.serving = serving;
        this.metrics = metrics;
        this.drainControl = drainControl;
    }

    /** Handles a request. The response to a drain request comes later and from any thread. */
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

    /** Returns the response to requests that arrive before the proxy accepts clients. */
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
                () -> responder.setTimeoutResponse(appliedLocally(id, drained)),
                listed -> responder.respond(listed ? confirmed(id, drained) : unknownCacheNode(id)));
        }
    }

    /** Returns the id between the prefix and the last slash; null if it is not a valid id of a cache node. */
    private static String cacheNodeId(String path) {
        int end = path.lastIndexOf('/');
        if (end < CACHE_NODES_PREFIX.length()) {
            return null;
        }
        String id = AdminRequest.percentDecoded(path.substring(CACHE_NODES_PREFIX.length(), end));
        boolean valid = id != null && !id.isEmpty() && id.chars().noneMatch(c -> c <= ' ' || c == '/');
        return valid ? id : null;
    }

    private static AdminResponse confirmed(String id, boolean drained) {
        return AdminResponse.ok(id + (drained ? " gets nothing new\n" : " is used again\n"));
    }

    /**
     * Returns the response to a request that is not confirmed in time. It says what this process has applied,
     * so that the caller can rely on that or undo it.
     */
    private static AdminResponse appliedLocally(String id, boolean drained) {
        String state = drained ? " gets nothing new from this process" : " is used again by this process";
        return AdminResponse.rejected(Status.UNAVAILABLE, id + state + ", but that is not written or not "
            + "confirmed by all processes yet; it is tried until it is, call again");
    }

    private static AdminResponse unknownCacheNode(String id) {
        return AdminResponse.rejected(Status.NOT_FOUND,
            "expected the id of a cache node that the list has named, not " + id);
    }
}
