package spurroad.testbed.capacity;

import java.util.ArrayList;
import java.util.List;

/** What a proxy spends by how much of the fleet it knows, and what it and its like do to a node. */
final class ProxyTables {
    // messages to all that a request earns at the most: Balance.WORDS_EACH
    private static final double TO_ALL_MOST = 24;
    // of a node that comes back cold, as in the measurements
    private static final double START_CAPACITY = 0.3;

    private final CapacityModel model;
    private final List<Section> sections = new ArrayList<>();

    ProxyTables(CapacityModel model) {
        this.model = model;
    }

    List<Section> sections() {
        proxyByScope();
        node();
        proxyAmongPeers();
        return sections;
    }

    private void proxyByScope() {
        MarkdownTable cost = new MarkdownTable(
            List.of("a proxy knows", "nodes", "state (MB)", "of 64 MB", "garbage of a rebuilt ring (MB)",
                "whole list (KB)", "connections", "of 1,024", "requests/s of a node", "proxies at a node",
                "beyond measured"));
        MarkdownTable cpu = new MarkdownTable(
            List.of("a proxy knows", "a change (ms)", "day, mean (% of a core)", "of 5%",
                "release (% of a core)",
                "of 5%", "joined every 250 ms, at most (% of a core)", "of 5%", "changes/s at 5%"));
        MarkdownTable network = new MarkdownTable(
            List.of("a proxy knows", "whole lists, day (KB/s)", "of 17 KB/s", "whole lists, release (KB/s)",
                "of 17 KB/s", "changes alone, day (KB/s)", "changes alone, release (KB/s)", "of 17 KB/s"));
        for (CapacityModel.Scope scope : model.scopes()) {
            double nodes = Math.max(1, model.plan.nodes() * scope.part());
            cost.row(stateRow(scope, nodes));
            cpu.row(changesCpuRow(scope, nodes));
            network.row(changesNetworkRow(scope, nodes));
        }
        sections.add(new Section("A proxy, by which nodes it knows: state", cost));
        sections.add(new Section(
            "A proxy, by which nodes it knows: processor time of changes, the ring rebuilt after each",
            cpu));
        sections.add(new Section("A proxy, by which nodes it knows: bytes of changes", network));
    }

    private List<String> stateRow(CapacityModel.Scope scope, double nodes) {
        double state = model.requests.at(nodes, RequestDecisions.STATE) / CapacityModel.KILO;
        double connections = model.requests.at(nodes, RequestDecisions.CONNECTIONS);
        return List.of(scope.name(), MarkdownTable.count(nodes), MarkdownTable.figure(state),
            Allowance.PROXY_MEMORY.verdict(state),
            MarkdownTable.figure(model.changes.at(nodes, ListChanges.ALLOCATED) / CapacityModel.KILO),
            MarkdownTable.figure(model.list.at(nodes, ListReading.BYTES))
                + (isListTaken(nodes) ? "" : " **refused**"),
            MarkdownTable.count(connections), Allowance.PROXY_DESCRIPTORS.verdict(connections),
            MarkdownTable.figure(model.plan.requestsPerProxy() / nodes),
            MarkdownTable.count(model.plan.proxies() * scope.part()),
            CapacityModel.beyond(model.requests, nodes));
    }

    private boolean isListTaken(double nodes) {
        return model.list.at(nodes, ListReading.TAKEN) > 0.5;
    }

    private List<String> changesCpuRow(CapacityModel.Scope scope, double nodes) {
        double changeMillis = model.changes.at(nodes, ListChanges.REBUILT)
            + model.list.at(nodes, ListReading.CHANGE_CPU) / CapacityModel.KILO;
        double percentOfOne = changeMillis / CapacityModel.KILO * 100; // with one a second
        double day = model.plan.listChangesPerSecond() * scope.part() * percentOfOne;
        double release = model.releaseChanges() * scope.part() * percentOfOne;
        double joined = CapacityModel.FLUSHES_PER_SECOND * percentOfOne;
        return List.of(scope.name(), MarkdownTable.figure(changeMillis), MarkdownTable.figure(day),
            Allowance.PROXY_CPU.verdict(day), MarkdownTable.figure(release),
            Allowance.PROXY_CPU.verdict(release),
            MarkdownTable.figure(joined), Allowance.PROXY_CPU.verdict(joined),
            MarkdownTable.figure(Allowance.PROXY_CPU.value() / percentOfOne));
    }

    private List<String> changesNetworkRow(CapacityModel.Scope scope, double nodes) {
        double day = model.plan.listChangesPerSecond() * scope.part();
        double release = model.releaseChanges() * scope.part();
        double whole = model.list.at(nodes, ListReading.BYTES);
        double alone = (model.list.at(nodes, ListReading.CHANGE_BYTES) + CapacityModel.HEADER_BYTES)
            / CapacityModel.KILO;
        return List.of(scope.name(), MarkdownTable.figure(day * whole),
            Allowance.PROXY_NETWORK.verdict(day * whole),
            MarkdownTable.figure(release * whole), Allowance.PROXY_NETWORK.verdict(release * whole),
            MarkdownTable.figure(day * alone), MarkdownTable.figure(release * alone),
            Allowance.PROXY_NETWORK.verdict(release * alone));
    }

    /** What proxies do to one node that they know, and what each of them sees of it. */
    private void node() {
        MarkdownTable table = new MarkdownTable(List.of("known within", "proxies", "connections open",
            "handshakes/s as it comes back, at start capacity", "until all are back (s)",
            "requests of one proxy in 4 s", "judged by one proxy"));
        for (CapacityModel.Scope scope : model.scopes()) {
            double nodes = Math.max(1, model.plan.nodes() * scope.part());
            double proxies = model.plan.proxies() * scope.part();
            double open = proxies
                * Math.min(1, model.requests.at(nodes, RequestDecisions.CONNECTIONS) / nodes);
            double handshakes = Math.min(proxies,
                START_CAPACITY * model.plan.requestsPerSecond() / model.plan.nodes());
            double seen = model.plan.requestsPerProxy() / nodes * CapacityModel.MEMORY_SECONDS;
            table.row(scope.name(), MarkdownTable.count(proxies), MarkdownTable.count(open),
                MarkdownTable.figure(handshakes), MarkdownTable.figure(proxies / handshakes),
                MarkdownTable.figure(seen), seen >= CapacityModel.LEAST_ENDS ? "yes" : "**no**");
        }
        sections.add(new Section("A node, by which proxies know it", table));
    }

    private void proxyAmongPeers() {
        MarkdownTable table = new MarkdownTable(
            List.of("proxies that talk", "messages/s to one", "sent (KB/s)", "of 17 KB/s",
                "messages/s to all, nodes full",
                "sent (KB/s)", "of 17 KB/s", "beyond measured"));
        for (CapacityModel.Scope scope : model.scopes()) {
            double proxies = Math.max(2, model.plan.proxies() * scope.part());
            double toOne = model.plan.requestsPerProxy() * model.peers.at(proxies, PeerMessages.TO_ONE);
            double toOneBytes = model.plan.requestsPerProxy()
                * model.peers.at(proxies, PeerMessages.TO_ONE_BYTES) / CapacityModel.KILO;
            double earned = model.peers.at(proxies, PeerMessages.TO_ALL);
            double toAll = model.plan.requestsPerProxy() * Math.min(TO_ALL_MOST, earned);
            double bytesEach = model.peers.at(model.peers.largest(), PeerMessages.TO_ALL_BYTES)
                / model.peers.at(model.peers.largest(), PeerMessages.TO_ALL);
            double toAllBytes = toAll * bytesEach / CapacityModel.KILO;
            table.row(scope.name() + ", " + MarkdownTable.count(proxies), MarkdownTable.figure(toOne),
                MarkdownTable.figure(toOneBytes), Allowance.PROXY_NETWORK.verdict(toOneBytes),
                MarkdownTable.figure(toAll), MarkdownTable.figure(toAllBytes),
                Allowance.PROXY_NETWORK.verdict(toAllBytes), CapacityModel.beyond(model.peers, proxies));
        }
        sections.add(new Section(
            "A proxy that talks to the others, at " + MarkdownTable.figure(model.plan.requestsPerProxy())
                + " requests/s; it receives as much",
            table));
    }
}
