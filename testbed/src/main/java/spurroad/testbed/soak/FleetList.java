package spurroad.testbed.soak;

import java.util.ArrayList;
import java.util.List;

/**
 * The endpoint list of discovery: cache nodes and the origin, with a revision for each change. Thread-safe.
 */
final class FleetList {
    private static final long FIRST_REVISION = 1;
    private static final long NOT_DRAINING = 0;

    /** One cache node, or the origin. */
    private static final class Entry {
        private final String name;
        private final int number;
        private final boolean isOrigin;
        private String state = "active";
        private long bootMillis;
        private long revision = FIRST_REVISION;
        private long drainingSinceRevision = NOT_DRAINING;

        private Entry(String name, int number, boolean isOrigin) {
            this.name = name;
            this.number = number;
            this.isOrigin = isOrigin;
        }

        private boolean isDraining() {
            return drainingSinceRevision != NOT_DRAINING;
        }
    }

    /** Maps the number of a server to the port at which one proxy reaches it. */
    interface PortMapping {
        int port(int server);
    }

    private final List<Entry> entries = new ArrayList<>();
    private long revision = FIRST_REVISION;

    /** Creates the list of a number of cache nodes, followed by the origin. */
    FleetList(int nodes) {
        this(nodes, nodes);
    }

    /**
     * Does the same for a list with more entries than there are cache nodes: they share the nodes' addresses.
     */
    FleetList(int nodes, int listedNodes) {
        for (int i = 0; i < listedNodes; i++) {
            entries.add(new Entry(nodeName(i), i % nodes, false));
        }
        entries.add(new Entry(FakeServer.ORIGIN, nodes, true));
    }

    static String nodeName(int number) {
        return "s-" + number;
    }

    synchronized long revision() {
        return revision;
    }

    /** Starts to drain a cache node. */
    synchronized void drain(int node) {
        Entry entry = entries.get(node);
        entry.state = "leaving";
        entry.revision = ++revision;
        entry.drainingSinceRevision = revision;
    }

    /** A cache node serves again, as a new process. */
    synchronized void restarted(int node, long bootMillis) {
        Entry entry = entries.get(node);
        entry.state = "active";
        entry.bootMillis = bootMillis;
        entry.revision = ++revision;
        entry.drainingSinceRevision = NOT_DRAINING;
    }

    /** Returns the names of the nodes that have been draining since a revision or before it. */
    synchronized List<String> drainingSince(long knownRevision) {
        return entries.stream()
            .filter(entry -> entry.isDraining() && entry.drainingSinceRevision <= knownRevision)
            .map(entry -> entry.name).toList();
    }

    synchronized boolean isDraining(int node) {
        return entries.get(node).isDraining();
    }

    /** Returns the watch event with the changes after a revision; with all entries for revision 0. */
    synchronized String json(long sinceRevision, PortMapping ports) {
        boolean all = sinceRevision == 0;
        List<String> targets = entries.stream().filter(entry -> all || entry.revision > sinceRevision)
            .map(entry -> targetJson(entry, ports)).toList();
        return "{\"rev\":" + revision + ",\"all\":" + all + ",\"targets\":["
            + String.join(",", targets) + "]}";
    }

    private static String targetJson(Entry entry, PortMapping ports) {
        return ("{'uid':'" + entry.name + "','endpoint':'127.0.0.1:" + ports.port(entry.number)
            + "','az':'a','model':'" + (entry.isOrigin ? FakeServer.ORIGIN : "m1")
            + "','pod_group':1,'state':'" + entry.state + "','capacity_hint':1.0,'boot_ms':"
            + entry.bootMillis + "}").replace('\'', '"');
    }
}
