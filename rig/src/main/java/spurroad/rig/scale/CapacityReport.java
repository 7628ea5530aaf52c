package spurroad.rig.scale;

import java.util.List;
import java.util.Locale;
import java.util.function.DoubleUnaryOperator;

/**
 * What a fleet would cost its proxies and its control machines, worked out from measured series, beside what
 * may be spent; as Markdown. A value beyond the largest measured size says how many times beyond.
 */
public final class CapacityReport {
    private static final double RELEASE_HOURS = 1; // in which all of a day's replacements fall, at the worst
    private static final double BURST = 100; // changes within a second
    // 64 bits in hexadecimal digits, and the framing of a chunk
    private static final double PURGE_LINE_BYTES = 20;
    private static final double HEADER_BYTES = 52; // of TCP with timestamps and IPv4
    private static final double EMPTY_LINES_PER_SECOND = 0.5; // of a watch
    // messages to all that a request earns at the most: Balance.WORDS_EACH
    private static final double TO_ALL_MOST = 24;
    private static final double CUT_SECONDS = 3_600;
    private static final double KILO = 1e3;
    private static final double MOST_SIZE = 1e7; // up to which an allowance's end is looked for
    private static final int HALVINGS = 60;
    // of a node that comes back cold, as in the measurements
    private static final double START_CAPACITY = 0.3;
    private static final double MEMORY_SECONDS = 4; // of a proxy for how a node did: Balance.MEMORY_NS
    private static final double LEAST_ENDS = 2; // that are needed to set a node aside: above Balance.BAD_ENDS

    private final FleetPlan plan;
    private final Series requests;
    private final Series changes;
    private final Series list;
    private final Series peers;
    private final Series control;
    private final Series subscribers;
    private final Series watches;
    private final StringBuilder text = new StringBuilder();

    private CapacityReport(FleetPlan plan, Results results) {
        this.plan = plan;
        requests = results.of("requests");
        changes = results.of("changes");
        list = results.of("list");
        peers = results.of("peers");
        control = results.of("control");
        subscribers = results.of("subscribers");
        watches = results.of("watches");
    }

    /** The whole report; all measurements must have been taken. */
    public static String markdown(FleetPlan plan, Results results) {
        CapacityReport report = new CapacityReport(plan, results);
        report.sizes();
        report.proxyByScope();
        report.node();
        report.proxyAmongPeers();
        report.controlMachine();
        report.controlDecisions();
        report.purges();
        report.limits();
        return report.text.toString();
    }

    private void section(String title, MarkdownTable table) {
        text.append("### ").append(title).append("\n\n").append(table).append('\n');
    }

    // ---- sizes

    private void sizes() {
        MarkdownTable table = new MarkdownTable(
            List.of("of", "whole", "mean region", "largest region", "mean zone", "largest zone", "mean site",
                "largest site"));
        sizeRow(table, "proxies", plan.proxies());
        sizeRow(table, "nodes", plan.nodes());
        sizeRow(table, "requests/s", plan.requestsPerSecond());
        sizeRow(table, "changes of the list/s, mean day", plan.listChangesPerSecond());
        sizeRow(table, "changes of the list/s, in a release", releaseChanges());
        section(String.format(Locale.ROOT, "Sizes (skew of regions and zones %.1f, of sites %.1f)",
            plan.regionSkew(),
            plan.siteSkew()), table);
        MarkdownTable each = new MarkdownTable(List.of("in the mean", "value"));
        each.row("requests/s of a proxy", MarkdownTable.figure(plan.requestsPerProxy()));
        each.row("Gbit/s of a proxy", MarkdownTable.figure(plan.bitsPerSecond() / plan.proxies() / 1e9));
        each.row("KB an answer",
            MarkdownTable.figure(plan.bitsPerSecond() / plan.requestsPerSecond() / 8 / KILO));
        each.row("objects a node, one copy each", MarkdownTable.figure(plan.objects() / plan.nodes()));
        each.row("objects a node of the mean site, a copy at each site",
            MarkdownTable.figure(plan.objects() / ((double) plan.nodes() / plan.sites())));
        each.row("changes of configuration/s", MarkdownTable.figure(plan.configurationChangesPerSecond()));
        each.row("changes of configuration and of the list/s",
            MarkdownTable.figure(plan.configurationChangesPerSecond() + plan.listChangesPerSecond()));
        section("Means", each);
    }

    private void sizeRow(MarkdownTable table, String of, double whole) {
        table.row(of, MarkdownTable.figure(whole), MarkdownTable.figure(whole / plan.regions()),
            MarkdownTable.figure(whole * plan.largestRegion()), MarkdownTable.figure(whole / plan.zones()),
            MarkdownTable.figure(whole * plan.largestZone()), MarkdownTable.figure(whole / plan.sites()),
            MarkdownTable.figure(whole * plan.largestSite()));
    }

    private double releaseChanges() {
        return plan.listChangesPerSecond() * 24 / RELEASE_HOURS;
    }

    // ---- a proxy

    /** A part of the fleet that a proxy knows. */
    private record Scope(String name, double part) {}

    private List<Scope> scopes() {
        return List.of(new Scope("mean site", 1.0 / plan.sites()),
            new Scope("largest site", plan.largestSite()),
            new Scope("mean region", 1.0 / plan.regions()), new Scope("largest region", plan.largestRegion()),
            new Scope("twice the largest region", 2 * plan.largestRegion()), new Scope("whole fleet", 1),
            new Scope("twice the fleet", 2));
    }

    private void proxyByScope() {
        MarkdownTable cost = new MarkdownTable(
            List.of("a proxy knows", "nodes", "state (MB)", "of 64 MB", "garbage of a rebuilt ring (MB)",
                "whole list (KB)", "connections", "of 1,024", "requests/s of a node", "proxies at a node",
                "beyond measured"));
        MarkdownTable rates = new MarkdownTable(
            List.of("a proxy knows", "a change (ms)", "day, mean (% of a core)", "of 5%",
                "release (% of a core)",
                "of 5%", "changes/s at 5%", "whole lists, day (KB/s)", "of 17 KB/s",
                "changes alone, day (KB/s)",
                "of 17 KB/s"));
        for (Scope scope : scopes()) {
            double nodes = Math.max(1, plan.nodes() * scope.part);
            cost.row(stateRow(scope, nodes));
            rates.row(ratesRow(scope, nodes));
        }
        section("A proxy, by which nodes it knows: state", cost);
        section("A proxy, by which nodes it knows: changes of the list, the ring rebuilt after each", rates);
    }

    private List<String> stateRow(Scope scope, double nodes) {
        double state = requests.at(nodes, RequestDecisions.STATE) / KILO;
        double connections = requests.at(nodes, RequestDecisions.CONNECTIONS);
        return List.of(scope.name, MarkdownTable.count(nodes), MarkdownTable.figure(state),
            Allowance.PROXY_MEMORY.verdict(state),
            MarkdownTable.figure(changes.at(nodes, ListChanges.ALLOCATED) / KILO),
            MarkdownTable.figure(list.at(nodes, ListReading.BYTES))
                + (isListTaken(nodes) ? "" : " **refused**"),
            MarkdownTable.count(connections), Allowance.PROXY_DESCRIPTORS.verdict(connections),
            MarkdownTable.figure(plan.requestsPerProxy() / nodes),
            MarkdownTable.count(plan.proxies() * scope.part), beyond(requests, nodes));
    }

    private boolean isListTaken(double nodes) {
        return list.at(nodes, ListReading.TAKEN) > 0.5;
    }

    private List<String> ratesRow(Scope scope, double nodes) {
        double changeMillis = changes.at(nodes, ListChanges.REBUILT)
            + list.at(nodes, ListReading.CHANGE_CPU) / KILO;
        double day = plan.listChangesPerSecond() * scope.part;
        double release = releaseChanges() * scope.part;
        double percentPerChange = changeMillis / KILO * 100;
        double wholeLists = day * list.at(nodes, ListReading.BYTES);
        double alone = day * (list.at(nodes, ListReading.CHANGE_BYTES) + HEADER_BYTES) / KILO;
        return List.of(scope.name, MarkdownTable.figure(changeMillis),
            MarkdownTable.figure(day * percentPerChange),
            Allowance.PROXY_CPU.verdict(day * percentPerChange),
            MarkdownTable.figure(release * percentPerChange),
            Allowance.PROXY_CPU.verdict(release * percentPerChange),
            MarkdownTable.figure(Allowance.PROXY_CPU.value() / percentPerChange),
            MarkdownTable.figure(wholeLists),
            Allowance.PROXY_NETWORK.verdict(wholeLists), MarkdownTable.figure(alone),
            Allowance.PROXY_NETWORK.verdict(alone));
    }

    /** What proxies do to one node that they know, and what each of them sees of it. */
    private void node() {
        MarkdownTable table = new MarkdownTable(List.of("known within", "proxies", "connections open",
            "handshakes/s as it comes back, at start capacity", "until all are back (s)",
            "requests of one proxy in 4 s", "judged by one proxy"));
        for (Scope scope : scopes()) {
            double nodes = Math.max(1, plan.nodes() * scope.part);
            double proxies = plan.proxies() * scope.part;
            double open = proxies * Math.min(1, requests.at(nodes, RequestDecisions.CONNECTIONS) / nodes);
            double handshakes = Math.min(proxies, START_CAPACITY * plan.requestsPerSecond() / plan.nodes());
            double seen = plan.requestsPerProxy() / nodes * MEMORY_SECONDS;
            table.row(scope.name, MarkdownTable.count(proxies), MarkdownTable.count(open),
                MarkdownTable.figure(handshakes), MarkdownTable.figure(proxies / handshakes),
                MarkdownTable.figure(seen), seen >= LEAST_ENDS ? "yes" : "**no**");
        }
        section("A node, by which proxies know it", table);
    }

    private void proxyAmongPeers() {
        MarkdownTable table = new MarkdownTable(
            List.of("proxies that talk", "messages/s to one", "sent (KB/s)", "of 17 KB/s",
                "messages/s to all, nodes full",
                "sent (KB/s)", "of 17 KB/s", "beyond measured"));
        for (Scope scope : scopes()) {
            double proxies = Math.max(2, plan.proxies() * scope.part);
            double toOne = plan.requestsPerProxy() * peers.at(proxies, PeerMessages.TO_ONE);
            double toOneBytes = plan.requestsPerProxy() * peers.at(proxies, PeerMessages.TO_ONE_BYTES) / KILO;
            double earned = peers.at(proxies, PeerMessages.TO_ALL);
            double toAll = plan.requestsPerProxy() * Math.min(TO_ALL_MOST, earned);
            double bytesEach = peers.at(peers.largest(), PeerMessages.TO_ALL_BYTES)
                / peers.at(peers.largest(), PeerMessages.TO_ALL);
            double toAllBytes = toAll * bytesEach / KILO;
            table.row(scope.name + ", " + MarkdownTable.count(proxies), MarkdownTable.figure(toOne),
                MarkdownTable.figure(toOneBytes), Allowance.PROXY_NETWORK.verdict(toOneBytes),
                MarkdownTable.figure(toAll), MarkdownTable.figure(toAllBytes),
                Allowance.PROXY_NETWORK.verdict(toAllBytes), beyond(peers, proxies));
        }
        section("A proxy that talks to the others, at " + MarkdownTable.figure(plan.requestsPerProxy())
            + " requests/s; it receives as much", table);
    }

    // ---- a control machine

    private void controlMachine() {
        MarkdownTable table = new MarkdownTable(
            List.of("machines left", "proxies each", "empty lines (% of a core)", "empty lines (KB/s)",
                "a change to all (ms)", "list changes of a release (% of a core)", "of 100%",
                "all return: processor time (s)", "all return, lists of 151 nodes (MB)",
                "all return, whole lists (MB)", "beyond measured"));
        int machines = plan.controlMachines();
        for (int left : new int[] {machines, machines * 2 / 3, machines / 2, machines / 3, 1}) {
            double watching = (double) plan.proxies() / left;
            double empty = watches.at(watching, DiscoveryWatches.EMPTY_CPU) * EMPTY_LINES_PER_SECOND / KILO
                * 100;
            double change = watches.at(watching, DiscoveryWatches.CHANGE_CPU);
            double release = change * releaseChanges() / KILO * 100;
            table.row(MarkdownTable.count(left), MarkdownTable.count(watching), MarkdownTable.figure(empty),
                MarkdownTable.figure(watches.at(watching, DiscoveryWatches.EMPTY_BYTES)),
                MarkdownTable.figure(change),
                MarkdownTable.figure(release), Allowance.CONTROL_CORE.verdict(release),
                MarkdownTable.figure(watches.at(watching, DiscoveryWatches.RETURN_CPU) / KILO),
                MarkdownTable.figure(watches.at(watching, DiscoveryWatches.RETURN_BYTES) / KILO),
                MarkdownTable.figure(watching * list.at(plan.nodes(), ListReading.BYTES) / KILO),
                beyond(watches, watching));
        }
        section("A control machine that serves each proxy's watch itself (no relays)", table);
    }

    private void controlDecisions() {
        MarkdownTable table = new MarkdownTable(
            List.of("fleet", "a change: views, guard, snapshot, difference (ms)", "day, mean (% of a core)",
                "release (% of a core)", "burst of 100, one by one (s)", "state, 8 snapshots (MB)",
                "subscriptions of all proxies: a version (ms)", "state (MB)", "beyond measured"));
        for (int times = 1; times <= 2; times++) {
            double nodes = (double) plan.nodes() * times;
            double proxies = (double) plan.proxies() * times;
            double change = controlMillis(nodes);
            table.row(MarkdownTable.count(nodes) + " nodes, " + MarkdownTable.count(proxies) + " proxies",
                MarkdownTable.figure(change),
                MarkdownTable.figure(plan.listChangesPerSecond() * times * change / KILO * 100),
                MarkdownTable.figure(releaseChanges() * times * change / KILO * 100),
                MarkdownTable.figure(BURST * change / KILO),
                MarkdownTable.figure(control.at(nodes, ControlDecisions.STATE) / KILO),
                MarkdownTable.figure(subscribers.at(proxies, Subscribers.TOLD)),
                MarkdownTable.figure(subscribers.at(proxies, Subscribers.STATE) / KILO),
                beyond(subscribers, proxies));
        }
        section("The control service's decisions, each replica for the whole fleet", table);
    }

    // ---- purges

    private void purges() {
        MarkdownTable table = new MarkdownTable(List.of("purges", "value", "of the allowance"));
        double each = Allowance.PROXY_NETWORK.value() * KILO / plan.purgesPerSecond();
        table.row("bytes a purge that 17 KB/s leave", MarkdownTable.figure(each), "");
        double single = plan.purgesPerSecond() * (PURGE_LINE_BYTES + HEADER_BYTES) / KILO;
        table.row("one by one to a proxy, 20 bytes and headers (KB/s)", MarkdownTable.figure(single),
            Allowance.PROXY_NETWORK.verdict(single));
        double batched = plan.purgesPerSecond() * 8 / KILO;
        table.row("batched, 8 bytes each (KB/s)", MarkdownTable.figure(batched),
            Allowance.PROXY_NETWORK.verdict(batched));
        table.row("deliveries to each node, all together (1/s)",
            MarkdownTable.figure(plan.purgesPerSecond() * plan.nodes()), "");
        double perMachine = plan.purgesPerSecond() * plan.proxies() / plan.controlMachines();
        table.row("deliveries to each proxy, of one control machine (1/s)", MarkdownTable.figure(perMachine),
            "");
        double lineMicros = watches.at(watches.largest(), DiscoveryWatches.EMPTY_CPU) * KILO
            / watches.largest();
        double cores = perMachine * lineMicros / 1e6 * 100;
        table.row("the same as lines on watches (% of a core)", MarkdownTable.figure(cores),
            Allowance.CONTROL_CORE.verdict(cores));
        double backlog = plan.purgesPerSecond() * CUT_SECONDS;
        table.row("purges of an hour's cut", MarkdownTable.count(backlog), "");
        table.row("the same, 8 bytes each (MB)", MarkdownTable.figure(backlog * 8 / 1e6), "");
        double spare = (Allowance.PROXY_NETWORK.value() - batched) * KILO;
        table.row("time for a proxy to catch up within 17 KB/s (s)",
            MarkdownTable.figure(backlog * 8 / spare), "");
        section("Purges", table);
    }

    // ---- limits

    /** At which size each allowance is spent, everything else growing in proportion. */
    private void limits() {
        double nodesPerProxy = (double) plan.nodes() / plan.proxies();
        MarkdownTable table = new MarkdownTable(
            List.of("what", "allowance", "spent at", "the plan has", "of the plan"));
        limit(table, "messages among proxies, each to one other", Allowance.PROXY_NETWORK,
            "requests/s of a proxy",
            plan.requestsPerProxy(),
            rate -> rate * peers.at(peers.largest(), PeerMessages.TO_ONE_BYTES) / KILO);
        limit(table, "purges one by one, lines on watches of 24 machines", Allowance.CONTROL_CORE, "proxies",
            plan.proxies(), proxies -> plan.purgesPerSecond() * proxies / plan.proxies()
                * watches.at(proxies / plan.controlMachines(), DiscoveryWatches.EMPTY_CPU) / KILO * 100);
        limit(table, "connections to all nodes known", Allowance.PROXY_DESCRIPTORS, "nodes known",
            plan.nodes(),
            nodes -> requests.at(nodes, RequestDecisions.CONNECTIONS));
        limit(table, "rings rebuilt in a release", Allowance.PROXY_CPU, "nodes known", plan.nodes(),
            nodes -> releaseChanges() * nodes / plan.nodes() * changes.at(nodes, ListChanges.REBUILT) / KILO
                * 100);
        limit(table, "whole lists for each change, mean day", Allowance.PROXY_NETWORK, "nodes known",
            plan.nodes(),
            nodes -> plan.listChangesPerSecond() * nodes / plan.nodes() * list.at(nodes, ListReading.BYTES));
        limit(table, "one whole list as a line", Allowance.LIST_LINE, "nodes known", plan.nodes(),
            nodes -> list.at(nodes, ListReading.BYTES));
        limit(table, "views, guard, snapshot and difference of each change in a release",
            Allowance.CONTROL_CORE,
            "nodes", plan.nodes(),
            nodes -> releaseChanges() * nodes / plan.nodes() * controlMillis(nodes) / KILO * 100);
        limit(table, "state of a proxy", Allowance.PROXY_MEMORY, "nodes known", plan.nodes(),
            nodes -> requests.at(nodes, RequestDecisions.STATE) / KILO);
        limit(table, "list changes of a release to all watches of 24 machines", Allowance.CONTROL_CORE,
            "proxies",
            plan.proxies(), proxies -> releaseChanges() * proxies / plan.proxies()
                * watches.at(proxies / plan.controlMachines(), DiscoveryWatches.CHANGE_CPU) / KILO * 100);
        section("Where each allowance is spent (" + MarkdownTable.figure(nodesPerProxy) + " nodes a proxy)",
            table);
    }

    private static void limit(MarkdownTable table, String what, Allowance allowance, String size,
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

    private double controlMillis(double nodes) {
        return control.at(nodes, ControlDecisions.VIEWS) + control.at(nodes, ControlDecisions.GUARD)
            + control.at(nodes, ControlDecisions.SNAPSHOT) + control.at(nodes, ControlDecisions.DIFFERENCE);
    }

    private static String beyond(Series series, double size) {
        double times = series.beyond(size);
        return times > 1 ? MarkdownTable.figure(times) + " times" : "no";
    }
}
