package spurroad.testbed.capacity;

import java.util.List;

/** What watches cost the discovery that serves them, by how many there are, on loopback sockets. */
final class DiscoveryWatches implements Measure {
    // columns
    static final int EMPTY_CPU = 0;
    static final int EMPTY_BYTES = 1;
    static final int CHANGE_CPU = 2;
    static final int CHANGE_BYTES = 3;
    static final int RETURN_CPU = 4;
    static final int RETURN_BYTES = 5;
    static final int NODES = 151; // those of a region in the mean
    private static final int EMPTY_LINES = 5; // of which the mean is taken
    private static final double HEARTBEAT_SECONDS = 2; // between empty lines of a watch
    private static final int HEADER_BYTES = 52; // of TCP with timestamps and IPv4 in front of each segment

    @Override
    public String name() {
        return "watches";
    }

    @Override
    public String title() {
        return "Watches on a discovery on loopback (a stand-in; lists of 151 nodes)";
    }

    @Override
    public String sizeName() {
        return "watches";
    }

    @Override
    public List<Column> columns() {
        return List.of(new Column("processor time, an empty line to all", "ms"),
            new Column("empty lines, with headers", "KB/s"),
            new Column("processor time, a change to all", "ms"),
            new Column("a change to all", "KB"), new Column("processor time, all return at once", "ms"),
            new Column("all return at once", "KB"));
    }

    @Override
    public List<Integer> sizes(MeasurementBudget budget) {
        return budget == MeasurementBudget.FULL ? List.of(250, 500, 1_000, 2_000, 4_000)
            : List.of(20, 40, 80, 160, 320);
    }

    @Override
    public List<Double> run(int count, MeasurementBudget budget) throws Exception {
        try (WatchServer discovery = new WatchServer(SyntheticFleet.listLine(0, NODES, 1, true));
            HollowWatches watches = new HollowWatches()) {
            watches.open(discovery.address(), count);
            Sent empty = send(discovery, watches, "", count, EMPTY_LINES);
            Sent change = send(discovery, watches, SyntheticFleet.listLine(0, 1, 2, false), count, 1);
            watches.drop();
            discovery.dropAll();
            Sent returned = reconnectAll(discovery, watches, count);
            return List.of(empty.cpuMillis,
                (empty.bytes + (double) count * HEADER_BYTES) / HEARTBEAT_SECONDS / 1e3,
                change.cpuMillis, change.bytes / 1e3, returned.cpuMillis, returned.bytes / 1e3);
        }
    }

    private record Sent(double cpuMillis, double bytes) {}

    private static Sent send(WatchServer discovery, HollowWatches watches, String text, int count, int times)
        throws Exception {
        long cpu = discovery.cpuNanos();
        long bytes = watches.bytes();
        for (int i = 0; i < times; i++) {
            long expected = watches.lines() + count;
            discovery.sendToAll(text);
            watches.awaitLines(expected);
        }
        return new Sent((discovery.cpuNanos() - cpu) / 1e6 / times,
            (double) (watches.bytes() - bytes) / times);
    }

    private static Sent reconnectAll(WatchServer discovery, HollowWatches watches, int count)
        throws Exception {
        long cpu = discovery.cpuNanos();
        long bytes = watches.bytes();
        watches.open(discovery.address(), count);
        return new Sent((discovery.cpuNanos() - cpu) / 1e6, watches.bytes() - bytes);
    }
}
