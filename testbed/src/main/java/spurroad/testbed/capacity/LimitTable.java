package spurroad.testbed.capacity;

import java.util.List;
import java.util.function.DoubleUnaryOperator;

/** At which size each allowance is spent. */
final class LimitTable {
    private static final double MOST_SIZE = 1e7; // up to which an allowance's end is looked for
    private static final int HALVINGS = 60;

    private final CapacityModel model;
    private final MarkdownTable table = new MarkdownTable(
        List.of("what", "allowance", "spent at", "the plan has", "of the plan"));

    LimitTable(CapacityModel model) {
        this.model = model;
    }

    /** At which size each allowance is spent, everything else growing in proportion. */
    Section section() {
        double nodesPerProxy = (double) model.plan.nodes() / model.plan.proxies();
        addRequestLimits();
        addListLimits();
        return new Section(
            "Where each allowance is spent (" + MarkdownTable.figure(nodesPerProxy) + " nodes a proxy)",
            table);
    }

    /** What grows with requests, and with the nodes that they go to. */
    private void addRequestLimits() {
        limit("messages among proxies, each to one other", Allowance.PROXY_NETWORK,
            "requests/s of a proxy",
            model.plan.requestsPerProxy(),
            rate -> rate * model.peers.at(model.peers.largest(), PeerMessages.TO_ONE_BYTES)
                / CapacityModel.KILO);
        limit("purges one by one, lines on watches of 24 machines", Allowance.CONTROL_CORE, "proxies",
            model.plan.proxies(), proxies -> model.plan.purgesPerSecond() * proxies / model.plan.proxies()
                * model.watches.at(proxies / model.plan.controlMachines(), DiscoveryWatches.EMPTY_CPU)
                / CapacityModel.KILO * 100);
        limit("connections to all nodes known", Allowance.PROXY_DESCRIPTORS, "nodes known",
            model.plan.nodes(),
            nodes -> model.requests.at(nodes, RequestDecisions.CONNECTIONS));
        limit("rings rebuilt in a release", Allowance.PROXY_CPU, "nodes known", model.plan.nodes(),
            nodes -> model.releaseChanges() * nodes / model.plan.nodes()
                * model.changes.at(nodes, ListChanges.REBUILT) / CapacityModel.KILO
                * 100);
        limit("rings rebuilt every 250 ms (a burst, joined)", Allowance.PROXY_CPU, "nodes known",
            model.plan.nodes(), nodes -> CapacityModel.FLUSHES_PER_SECOND
                * model.changes.at(nodes, ListChanges.REBUILT) / CapacityModel.KILO * 100);
        limit("two requests in 4 s to judge a node by", new Allowance(1, "(what it takes)"),
            "nodes known",
            model.plan.nodes(), nodes -> CapacityModel.LEAST_ENDS * nodes
                / (model.plan.requestsPerProxy() * CapacityModel.MEMORY_SECONDS));
    }

    /** What grows with the list of nodes and its changes. */
    private void addListLimits() {
        limit("whole lists for each change, mean day", Allowance.PROXY_NETWORK, "nodes known",
            model.plan.nodes(),
            nodes -> model.plan.listChangesPerSecond() * nodes / model.plan.nodes()
                * model.list.at(nodes, ListReading.BYTES));
        limit("one whole list as a line", Allowance.LIST_LINE, "nodes known", model.plan.nodes(),
            nodes -> model.list.at(nodes, ListReading.BYTES));
        limit("views, guard, snapshot and difference of each change in a release",
            Allowance.CONTROL_CORE,
            "nodes", model.plan.nodes(),
            nodes -> model.releaseChanges() * nodes / model.plan.nodes() * model.controlMillis(nodes)
                / CapacityModel.KILO * 100);
        limit("state of a proxy", Allowance.PROXY_MEMORY, "nodes known", model.plan.nodes(),
            nodes -> model.requests.at(nodes, RequestDecisions.STATE) / CapacityModel.KILO);
        limit("list changes of a release to all watches of 24 machines", Allowance.CONTROL_CORE,
            "proxies",
            model.plan.proxies(), proxies -> model.releaseChanges() * proxies / model.plan.proxies()
                * model.watches.at(proxies / model.plan.controlMachines(), DiscoveryWatches.CHANGE_CPU)
                / CapacityModel.KILO * 100);
    }

    private void limit(String what, Allowance allowance, String size,
                       double planned,
                       DoubleUnaryOperator spent) {
        double low = 0;
        double high = MOST_SIZE;
        for (int i = 0; i < HALVINGS; i++) {
            double middle = (low + high) / 2;
            boolean isOver = spent.applyAsDouble(middle) > allowance.value();
            high = isOver ? middle : high;
            low = isOver ? low : middle;
        }
        table.row(what, allowance.text(), MarkdownTable.figure(high) + " " + size,
            MarkdownTable.figure(planned),
            high < planned ? "**" + MarkdownTable.percent(high / planned) + "**"
                : MarkdownTable.figure(high / planned) + " times");
    }
}
