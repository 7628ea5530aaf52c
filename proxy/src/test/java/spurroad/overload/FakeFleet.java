package spurroad.overload;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import spurroad.fixture.ScriptedPeers;
import spurroad.transport.EventLog;
import spurroad.transport.EventLoop;

/** The cache nodes {@code s-0}, {@code s-1}… and the origin {@code s-o} that the load drivers use. */
final class FakeFleet {
    /** Number of cache nodes in a fleet. */
    static final int CACHE_NODES = 6;

    private static final long ORIGIN_SEED = 99; // those of the cache nodes are their indexes

    private final List<FakeEndpoint> cacheNodes = new ArrayList<>();
    private final FakeEndpoint origin;

    FakeFleet(EventLoop loop, EventLog log) throws IOException {
        for (int i = 0; i < CACHE_NODES; i++) {
            cacheNodes
                .add(new FakeEndpoint(loop, log, ServiceModel.cacheNode(), FakeEndpoint.Role.CACHE_NODE, i));
        }
        origin = new FakeEndpoint(loop, log, ServiceModel.origin(), FakeEndpoint.Role.ORIGIN, ORIGIN_SEED);
    }

    FakeEndpoint cacheNode(int index) {
        return cacheNodes.get(index);
    }

    /** Returns the identifier of a cache node in the endpoint list. */
    static String cacheNodeId(int index) {
        return "s-" + index;
    }

    /** Returns the entries of the endpoint list. */
    String[] targets() {
        List<String> targets = new ArrayList<>();
        for (int i = 0; i < CACHE_NODES; i++) {
            targets.add(ScriptedPeers.target(cacheNodeId(i), "m1", cacheNodes.get(i).port(), "active", 0));
        }
        targets.add(ScriptedPeers.target("s-o", "origin", origin.port(), "active", 0));
        return targets.toArray(String[]::new);
    }
}
