package spurroad.cli;

import java.io.PrintWriter;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import spurroad.testbed.checker.Rule;
import spurroad.testbed.checker.RuleViolation;
import spurroad.testbed.experiment.Comparison;
import spurroad.testbed.experiment.Result;

/** Prints results as human-readable text tables. */
final class ResultTables {
    private static final int MAX_VIOLATIONS_SHOWN = 3; // the result file has all of them
    private static final double NANOS_PER_SECOND = 1e9;

    private ResultTables() {}

    /** Prints one run with its outcomes, latencies, counts, proxies and rule violations. */
    static void printResult(PrintWriter out, Result result) {
        String verdict = result.voidFor().isEmpty() ? "" : " - VOID: " + result.voidFor();
        out.printf(Locale.ROOT, "%s, seed %d, %s: goodput %.4f in %.1f s%s%n", result.scenario(),
            result.seed(), result.build(), result.goodput(), result.tookS(), verdict);
        printOutcomes(out, result);
        printLatency(out, result.latencyMs());
        out.printf(Locale.ROOT,
            "  tries taken %d, unanswered %d, excused %d; executions %d, wasted %.2f%%; connections "
                + "of clients %d; rig late by %.2f ms at 99%%%n",
            result.taken(), result.unanswered(), result.excused(), result.executions(),
            100 * result.wasted(), result.connections(), result.lateMs());
        for (Result.Proxy proxy : result.proxies()) {
            out.printf(Locale.ROOT, "  p-%d: %.2f s of processor, %.0f MB, %d descriptors%n", proxy.number(),
                proxy.cpuSeconds(), proxy.memoryMb(), proxy.descriptors());
        }
        printViolations(out, result);
    }

    private static void printOutcomes(PrintWriter out, Result result) {
        out.printf("  %-14s %8s %8s %7s %8s %7s %10s %8s%n", "queries", "due", "in time", "late", "rejected",
            "failed", "unanswered", "goodput");
        printCounts(out, "all", result.all());
        printBreakdown(out, "track ", result.tracks());
        printBreakdown(out, "customer ", result.customers());
    }

    /** Prints one line per entry; prints nothing for a single entry, as its line would repeat the total. */
    private static void printBreakdown(PrintWriter out, String prefix,
                                       Map<String, Result.Counts> countsByName) {
        if (countsByName.size() > 1) {
            countsByName.forEach((name, counts) -> printCounts(out, prefix + name, counts));
        }
    }

    private static void printCounts(PrintWriter out, String name, Result.Counts counts) {
        out.printf(Locale.ROOT, "  %-14s %8d %8d %7d %8d %7d %10d %8.4f%n", name, counts.due(),
            counts.inTime(), counts.late(), counts.rejected(), counts.failed(), counts.unanswered(),
            counts.goodput());
    }

    private static void printLatency(PrintWriter out, Result.Latency latency) {
        out.printf(Locale.ROOT,
            "  latency from when due, ms: median %.2f, 90%% %.2f, 99%% %.2f, 99.9%% %.2f, most "
                + "%.1f%n",
            latency.p50(), latency.p90(), latency.p99(), latency.p999(), latency.most());
    }

    private static void printViolations(PrintWriter out, Result result) {
        if (result.broken() == 0) {
            out.println("  rules kept");
            return;
        }
        String counts = result.breaches().entrySet().stream().filter(entry -> entry.getValue() > 0)
            .map(entry -> entry.getValue() + " times " + displayName(entry.getKey()))
            .collect(Collectors.joining(", "));
        out.println("  RULES BROKEN: " + counts);
        result.stories().stream().limit(MAX_VIOLATIONS_SHOWN).forEach(violation -> print(out, violation));
    }

    private static void print(PrintWriter out, RuleViolation violation) {
        out.printf(Locale.ROOT, "  %s at %.3f s, %s: %s%n", displayName(violation.rule()),
            violation.atNs() / NANOS_PER_SECOND, violation.about(), violation.what());
        violation.story().forEach(event -> out.println("      " + event));
    }

    private static String displayName(Rule rule) {
        return rule.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }

    /** Prints one line per pair, and the mean difference with its 95% interval. */
    static void printComparison(PrintWriter out, Comparison comparison) {
        out.printf("%-10s %12s %12s %12s%n", "seed", "first", "second", "difference");
        comparison.pairs().forEach(pair -> printPair(out, pair));
        out.printf(Locale.ROOT,
            "second (%s) less first (%s): %+.4f, 95%% between %+.4f and %+.4f, %d pairs%n",
            comparison.second(), comparison.first(), comparison.difference(), comparison.from(),
            comparison.to(), comparison.pairs().size());
    }

    private static void printPair(PrintWriter out, Comparison.Pair pair) {
        boolean keptRules = pair.firstBroken() + pair.secondBroken() == 0;
        String violations = keptRules ? ""
            : "  rules broken " + pair.firstBroken() + " and " + pair.secondBroken();
        out.printf(Locale.ROOT, "%-10d %12.4f %12.4f %+12.4f%s%n", pair.seed(), pair.first(), pair.second(),
            pair.second() - pair.first(), violations);
    }

    /** Returns the exit code for a command that produced the given results; void runs take precedence. */
    static int exitCode(List<Result> results) {
        if (results.stream().anyMatch(result -> !result.voidFor().isEmpty())) {
            return Spurroad.INCONCLUSIVE;
        }
        return results.stream().anyMatch(result -> result.broken() > 0) ? Spurroad.FAILED : 0;
    }
}
