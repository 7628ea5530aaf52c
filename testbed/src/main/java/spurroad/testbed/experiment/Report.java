package spurroad.testbed.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import spurroad.testbed.checker.RuleViolation;
import spurroad.testbed.scenario.Scenario.Fault;
import spurroad.testbed.scenario.ScenarioFile;
import spurroad.toml.InvalidFileException;

/**
 * Writes all results of a folder as one HTML page that needs no other file: tables, plots as SVG, and rule
 * violations with the events that led to them.
 */
public final class Report {
    private static final int MAX_VIOLATIONS_SHOWN = 50; // of a run; all of them stand in its file
    private static final double NANOS_PER_SECOND = 1e9;
    private static final String STYLE = "body{font:15px sans-serif;max-width:70em;margin:2em auto;"
        + "padding:0 1em}"
        + "table{border-collapse:collapse}td,th{padding:.2em .7em;text-align:right;border-bottom:1px "
        + "solid #ccc}"
        + "td:first-child,th:first-child{text-align:left}.bad{color:#b00}pre{background:#f4f4f4;padding:.6em;"
        + "overflow:auto}";

    private final StringBuilder page = new StringBuilder();

    private Report() {}

    /** Writes the page; runs that were cut off are named on it. */
    public static void write(Path file, List<Result> results, ResultFolder folder) throws IOException {
        Report report = new Report();
        report.addAll(results, folder);
        Files.writeString(file, report.page.toString());
    }

    private void addAll(List<Result> results, ResultFolder folder) throws IOException {
        page.append(
            "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>spurroad: results</title>"
                + "<style>")
            .append(STYLE).append("</style></head><body><h1>Results</h1>\n");
        for (Path partial : folder.partial()) {
            page.append("<p class=\"bad\">cut off: ").append(escaped(partial.toString())).append("</p>\n");
        }
        addOverview(results);
        ResultPlots.byLoad(results).forEach(page::append);
        Map<String, List<Result>> byScenario = new LinkedHashMap<>();
        for (Result result : results) {
            byScenario.computeIfAbsent(result.scenario(), name -> new ArrayList<>()).add(result);
        }
        for (Map.Entry<String, List<Result>> scenario : byScenario.entrySet()) {
            addScenario(scenario.getKey(), scenario.getValue(), folder);
        }
        page.append("</body></html>\n");
    }

    private void addOverview(List<Result> results) {
        page.append("<table><tr><th>scenario</th><th>build</th><th>seed</th><th>goodput</th><th>in time</th>"
            + "<th>late</th><th>rejected</th><th>failed</th><th>99%, ms</th><th>rules</th></tr>\n");
        results.forEach(this::addOverviewRow);
        page.append("</table>\n");
    }

    private void addOverviewRow(Result result) {
        Result.Counts all = result.all();
        String rules = rules(result);
        page.append("<tr><td>").append(escaped(result.scenario())).append("</td><td>")
            .append(escaped(result.build()))
            .append(String.format(Locale.ROOT,
                "</td><td>%d</td><td>%.4f</td><td>%d</td><td>%d</td><td>%d</td>"
                    + "<td>%d</td><td>%.1f</td><td%s>%s</td></tr>%n",
                result.seed(), result.goodput(), all.inTime(), all.late(), all.rejected(),
                all.failed() + all.unanswered(), result.latencyMs().p99(),
                rules.equals("kept") ? "" : " class=\"bad\"", escaped(rules)));
    }

    private static String rules(Result result) {
        if (!result.voidFor().isEmpty()) {
            return "void: " + result.voidFor();
        }
        return result.broken() == 0 ? "kept" : result.broken() + " breaches";
    }

    private void addScenario(String name, List<Result> results, ResultFolder folder) throws IOException {
        page.append("<h2>").append(escaped(name)).append("</h2>\n");
        List<Fault> faults = faults(results.get(0), folder);
        for (int i = 0; i < faults.size(); i++) {
            addFault(i + 1, faults.get(i));
        }
        page.append(ResultPlots.bySecond("goodput by second of when queries fell due", results, faults,
            Result.Second::goodput));
        page.append(ResultPlots.bySecond("latency at the 99th percentile, ms", results, faults,
            Result.Second::p99));
        page.append(ResultPlots.bySecond("rejected a second", results, faults, Result.Second::rejected));
        page.append(ResultPlots.bySecond("most in flight at one cache node", results, faults,
            Result.Second::mostQueue));
        results.forEach(this::addViolations);
    }

    /** Returns the faults of the scenario as it was run. */
    private static List<Fault> faults(Result result, ResultFolder folder) {
        try {
            return ScenarioFile.read(folder.scenarioFile(result)).faults();
        } catch (InvalidFileException e) {
            return List.of(); // another version of the test bed ran it; its plots show no faults
        }
    }

    private void addFault(int number, Fault fault) {
        String targets = fault.targets().isEmpty() ? "" : " at " + String.join(", ", fault.targets());
        page.append(String.format(Locale.ROOT, "<div>%d: %s%s, from %.1f to %.1f s</div>%n", number,
            fault.kind(), escaped(targets), fault.atNs() / NANOS_PER_SECOND,
            (fault.atNs() + fault.forNs()) / NANOS_PER_SECOND));
    }

    private void addViolations(Result result) {
        result.stories().stream().limit(MAX_VIOLATIONS_SHOWN)
            .forEach(violation -> addViolation(violation, result.seed()));
    }

    private void addViolation(RuleViolation violation, long seed) {
        page.append("<h3 class=\"bad\">").append(violation.rule()).append(", seed ").append(seed)
            .append(String.format(Locale.ROOT, ", at %.3f s: ", violation.atNs() / NANOS_PER_SECOND))
            .append(escaped(violation.about() + ", " + violation.what()))
            .append("</h3><pre>").append(escaped(String.join("\n", violation.story()))).append("</pre>\n");
    }

    private static String escaped(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }
}
