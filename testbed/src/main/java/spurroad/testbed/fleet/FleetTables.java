package spurroad.testbed.fleet;

import java.io.PrintWriter;
import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;

/** Prints results of simulated fleets as Markdown tables. */
public final class FleetTables {
    private FleetTables() {}

    /** Prints the head of the latency table of changes and purges. */
    public static void latencyHead(PrintWriter out) {
        out.println("| proxies | what happens | changes: median, 99.9%, largest, ms | over 4 s |"
            + " purges: median, 99.9%, largest, ms | over 7 s | starts: 99.9%, largest, ms |"
            + " not fresh, proxy-seconds | wrongly fresh | behind in the end |");
        out.println("| ---: | --- | --- | ---: | --- | ---: | --- | ---: | ---: | ---: |");
    }

    /** Prints one run's line of the latency table. */
    public static void latency(PrintWriter out, FleetResult result) {
        out.printf(Locale.ROOT, "| %,d | %s | %s | %,d of %,d | %s | %,d of %,d | %s | %,.0f | %d | %d |%n",
            result.shape().proxies(), result.scenario().title(), three(result.changes()),
            result.lateChanges(),
            result.changes().getTotalCount(), three(result.purges()), result.latePurges(),
            result.purges().getTotalCount(), two(result.starts()), result.unfreshProxySeconds(),
            result.wronglyFresh(), result.behind());
    }

    /** Prints, for runs with a cut, the latency from its end of what was proposed meanwhile. */
    public static void cuts(PrintWriter out, List<FleetResult> results) {
        List<FleetResult> cut = results.stream().filter(result -> result.scenario().isCut()).toList();
        if (cut.isEmpty()) {
            return;
        }
        out.println();
        out.println("| proxies | after the cut's end, where it was: changes: median, 99.9%, largest, ms |"
            + " purges: median, 99.9%, largest, ms | told to forget |");
        out.println("| ---: | --- | --- | ---: |");
        for (FleetResult result : cut) {
            out.printf(Locale.ROOT, "| %,d | %s | %s | %d |%n", result.shape().proxies(),
                three(result.changesAfterCut()), three(result.purgesAfterCut()), result.resets());
        }
    }

    /** Prints bytes, messages and processor time, a line for each role and run. */
    public static void traffic(PrintWriter out, List<FleetResult> results) {
        out.println("| proxies | what happens | role | processes | most children | mean KB/s in, out |"
            + " busiest KB/s in, out | busiest messages/s | sampled processor, % of a core |");
        out.println("| ---: | --- | --- | ---: | ---: | --- | --- | ---: | ---: |");
        for (FleetResult result : results) {
            result.traffic().forEach((role, t) -> out.printf(Locale.ROOT,
                "| %,d | %s | %s | %,d | %d | %.1f, %.1f | %.1f, %.1f | %.0f | %.2f |%n",
                result.shape().proxies(),
                result.scenario().title(), role, t.processes(), t.mostChildren(), t.meanBytesIn() / 1_000,
                t.meanBytesOut() / 1_000, t.mostBytesIn() / 1_000, t.mostBytesOut() / 1_000, t.mostMessages(),
                t.cpuPercent()));
        }
    }

    /** Prints the memory of one process of each role, a line for each size of the fleet. */
    public static void memory(PrintWriter out, List<FleetFootprint> footprints) {
        out.println("| proxies | resources of the largest region, in all | proxy KB | region relay KB |"
            + " control machine KB |");
        out.println("| ---: | --- | ---: | ---: | ---: |");
        for (FleetFootprint footprint : footprints) {
            out.printf(Locale.ROOT, "| %,d | %,d, %,d | %,.0f | %,.0f | %,.0f |%n",
                footprint.shape().proxies(),
                footprint.regionResources(), footprint.allResources(), footprint.proxyBytes() / 1e3,
                footprint.relayBytes() / 1e3, footprint.controlBytes() / 1e3);
        }
    }

    private static String three(Histogram histogram) {
        return histogram.getTotalCount() == 0 ? "none" : String.format(Locale.ROOT, "%,d, %,d, %,d",
            histogram.getValueAtPercentile(50), histogram.getValueAtPercentile(99.9),
            histogram.getMaxValue());
    }

    private static String two(Histogram histogram) {
        return histogram.getTotalCount() == 0 ? "none" : String.format(Locale.ROOT, "%,d, %,d",
            histogram.getValueAtPercentile(99.9), histogram.getMaxValue());
    }
}
