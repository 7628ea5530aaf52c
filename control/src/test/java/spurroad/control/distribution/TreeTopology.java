package spurroad.control.distribution;

import java.util.List;
import java.util.stream.IntStream;
import spurroad.control.distribution.relay.Relay;

/**
 * The tree of processes in simulations: five control machines, and two regions of two sites. Each region has
 * three candidates for its two relays. Each site has three candidates for its two relays and three other
 * proxies. In total there are 35 processes, 18 of which may act as relays.
 */
final class TreeTopology {
    static final List<ProcessId> CONTROL_MACHINES = ids(0, 5);
    static final List<String> REGIONS = List.of("east", "west");
    static final int LEASES_PER_GROUP = 2;
    private static final int SITES_PER_REGION = 2;
    private static final int RELAY_CANDIDATES = 3; // per region or site
    private static final int PROXIES_PER_SITE = 3; // without relay candidates

    /** Called for each process below the control machines, parents before children. */
    interface Visitor {
        void addRelay(ProcessId id, String region, Relay.TreePosition position);

        void addProxy(ProcessId id, String region, List<ProcessId> preferredParents,
                      List<ProcessId> otherParents);
    }

    private TreeTopology() {}

    static void visit(Visitor visitor) {
        for (int i = 0; i < REGIONS.size(); i++) {
            visitRegion(REGIONS.get(i), 100 * (i + 1), visitor);
        }
    }

    private static void visitRegion(String region, int firstId, Visitor visitor) {
        List<ProcessId> regionRelays = ids(firstId, RELAY_CANDIDATES);
        regionRelays.forEach(id -> visitor.addRelay(id, region, new Relay.TreePosition(region,
            CONTROL_MACHINES, CONTROL_MACHINES, without(regionRelays, id), LEASES_PER_GROUP)));
        for (int site = 0; site < SITES_PER_REGION; site++) {
            int first = firstId + 10 * (site + 1);
            String group = region + site;
            List<ProcessId> siteRelays = ids(first, RELAY_CANDIDATES);
            siteRelays.forEach(id -> visitor.addRelay(id, region,
                new Relay.TreePosition(group, regionRelays, regionRelays, without(siteRelays, id), 0)));
            ids(first + RELAY_CANDIDATES, PROXIES_PER_SITE)
                .forEach(id -> visitor.addProxy(id, region, siteRelays, regionRelays));
        }
    }

    private static List<ProcessId> ids(int first, int count) {
        return IntStream.range(first, first + count).mapToObj(ProcessId::new).toList();
    }

    private static List<ProcessId> without(List<ProcessId> ids, ProcessId excluded) {
        return ids.stream().filter(id -> !id.equals(excluded)).toList();
    }
}
