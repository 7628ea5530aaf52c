package spurroad.testbed.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * What a fleet would cost its proxies and its control machines, worked out from measured series, beside what
 * may be spent; as Markdown. A value beyond the largest measured size says how many times beyond.
 */
public final class CapacityReport {
    private final CapacityModel model;
    private final List<Section> sections = new ArrayList<>();

    private CapacityReport(CapacityModel model) {
        this.model = model;
    }

    /** The whole report; all measurements must have been taken. */
    public static String markdown(FleetPlan plan, Results results) {
        CapacityModel model = new CapacityModel(plan, results);
        CapacityReport report = new CapacityReport(model);
        report.sizes();
        report.sections.addAll(new ProxyTables(model).sections());
        report.sections.addAll(new ControlTables(model).sections());
        report.sections.add(new LimitTable(model).section());
        return report.sections.stream().map(Section::markdown).collect(Collectors.joining());
    }

    private void sizes() {
        MarkdownTable table = new MarkdownTable(
            List.of("of", "whole", "mean region", "largest region", "mean zone", "largest zone", "mean site",
                "largest site"));
        sizeRow(table, "proxies", model.plan.proxies());
        sizeRow(table, "nodes", model.plan.nodes());
        sizeRow(table, "requests/s", model.plan.requestsPerSecond());
        sizeRow(table, "Gbit/s to clients", model.plan.bitsPerSecond() / 1e9);
        sizeRow(table, "objects a node, if each such place keeps all", model.plan.objects(),
            model.plan.nodes());
        sizeRow(table, "changes of the list/s, mean day", model.plan.listChangesPerSecond());
        sizeRow(table, "changes of the list/s, in a release", model.releaseChanges());
        sections.add(
            new Section(String.format(Locale.ROOT, "Sizes (skew of regions and zones %.1f, of sites %.1f)",
                model.plan.regionSkew(),
                model.plan.siteSkew()), table));
        MarkdownTable each = new MarkdownTable(List.of("in the mean", "value"));
        each.row("requests/s of a proxy", MarkdownTable.figure(model.plan.requestsPerProxy()));
        each.row("Gbit/s of a proxy",
            MarkdownTable.figure(model.plan.bitsPerSecond() / model.plan.proxies() / 1e9));
        each.row("KB an answer",
            MarkdownTable.figure(
                model.plan.bitsPerSecond() / model.plan.requestsPerSecond() / 8 / CapacityModel.KILO));
        each.row("changes of configuration/s",
            MarkdownTable.figure(model.plan.configurationChangesPerSecond()));
        each.row("changes of configuration and of the list/s",
            MarkdownTable
                .figure(model.plan.configurationChangesPerSecond() + model.plan.listChangesPerSecond()));
        each.row("whole lists of the fleet for each change of either (KB/s)",
            MarkdownTable
                .figure((model.plan.configurationChangesPerSecond() + model.plan.listChangesPerSecond())
                    * model.list.at(model.plan.nodes(), ListReading.BYTES)));
        sections.add(new Section("Means", each));
    }

    private void sizeRow(MarkdownTable table, String of, double whole) {
        table.row(of, MarkdownTable.figure(whole), MarkdownTable.figure(whole / model.plan.regions()),
            MarkdownTable.figure(whole * model.plan.largestRegion()),
            MarkdownTable.figure(whole / model.plan.zones()),
            MarkdownTable.figure(whole * model.plan.largestZone()),
            MarkdownTable.figure(whole / model.plan.sites()),
            MarkdownTable.figure(whole * model.plan.largestSite()));
    }

    /** Something that is the same everywhere, over nodes of which there are fewer in smaller places. */
    private void sizeRow(MarkdownTable table, String of, double everywhere, double nodes) {
        table.row(of, MarkdownTable.figure(everywhere / nodes),
            MarkdownTable.figure(everywhere * model.plan.regions() / nodes),
            MarkdownTable.figure(everywhere / (nodes * model.plan.largestRegion())),
            MarkdownTable.figure(everywhere * model.plan.zones() / nodes),
            MarkdownTable.figure(everywhere / (nodes * model.plan.largestZone())),
            MarkdownTable.figure(everywhere * model.plan.sites() / nodes),
            MarkdownTable.figure(everywhere / (nodes * model.plan.largestSite())));
    }
}
