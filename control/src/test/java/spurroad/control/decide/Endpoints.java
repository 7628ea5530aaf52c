package spurroad.control.decide;

import java.util.SortedMap;
import java.util.TreeMap;

/** Creates endpoints for tests. */
final class Endpoints {
    private Endpoints() {}

    static Endpoint endpoint(String uid, long startedAtMillis, EndpointState state) {
        return new Endpoint(uid, "127.0.0.1:" + (1000 + uid.hashCode() % 1000), "east", "m1", 1,
            new EndpointStatus(startedAtMillis, state));
    }

    static Endpoint active(String uid) {
        return endpoint(uid, 0, EndpointState.ACTIVE);
    }

    /** Returns active endpoints with these uids. */
    static SortedMap<String, Endpoint> activeEndpoints(String... uids) {
        SortedMap<String, Endpoint> endpoints = new TreeMap<>();
        for (String uid : uids) {
            endpoints.put(uid, active(uid));
        }
        return endpoints;
    }

    /** Returns the given number of active endpoints. */
    static SortedMap<String, Endpoint> activeEndpoints(int count) {
        SortedMap<String, Endpoint> endpoints = new TreeMap<>();
        for (int i = 0; i < count; i++) {
            endpoints.put("n" + i, active("n" + i));
        }
        return endpoints;
    }
}
