package spurroad.cli;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import spurroad.testbed.fleet.FleetFootprint;
import spurroad.testbed.fleet.FleetResult;
import spurroad.testbed.fleet.FleetRun;
import spurroad.testbed.fleet.FleetScenario;
import spurroad.testbed.fleet.FleetShape;
import spurroad.testbed.fleet.FleetTables;

/** Simulates the distribution of changes and purges to a large fleet, in simulated time. */
@Command(name = "fleet", mixinStandardHelpOptions = true, description = {
    "Simulates the distribution of changes and purges to proxies without traffic, on a quiet day and during",
    "failures, and prints latencies, traffic and memory as Markdown tables."})
final class FleetCommand implements Callable<Integer> {
    private static final int SMALL_FLEET = 600; // proxies
    private static final int FULL_FLEET = 16_000; // proxies; the only size that runs all scenarios
    private static final int SECONDS_PER_HOUR = 3_600;

    @Option(names = "--proxies", paramLabel = "N", split = ",",
        description = "Fleet sizes (${DEFAULT-VALUE}); only 16000 runs more than a quiet day and a burst.")
    private List<Integer> sizes = List.of(6_800, FULL_FLEET);
    @Option(names = "--scenario", paramLabel = "NAME", split = ",",
        description = "Runs only these scenarios, at every size: ${COMPLETION-CANDIDATES}.")
    private List<FleetScenario> scenarios = List.of();
    @Option(names = "--seed", paramLabel = "N", split = ",",
        description = "Seeds; one run for each (${DEFAULT-VALUE}).")
    private List<Long> seeds = List.of(1L);
    @Option(names = "--hour",
        description = "Runs only a partition of one region for a whole hour, on a fleet of 600 proxies.")
    private boolean isHourLongPartition;
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        PrintWriter out = spec.commandLine().getOut();
        List<FleetFootprint> footprints = new ArrayList<>();
        if (!isHourLongPartition) {
            // measured before the first run, while the heap is still empty
            sizes.forEach(size -> footprints.add(FleetFootprint.measure(FleetShape.of(size))));
            FleetTables.memory(out, footprints);
            out.println();
        }
        FleetTables.latencyHead(out);
        out.flush();
        List<FleetResult> results = new ArrayList<>();
        if (isHourLongPartition) {
            seeds.forEach(seed -> addAndPrint(results, FleetRun.play(FleetShape.small(SMALL_FLEET),
                FleetScenario.REGION_CUT, seed, SECONDS_PER_HOUR)));
        } else {
            runSizes(results);
        }
        FleetTables.cuts(out, results);
        out.println();
        FleetTables.traffic(out, results);
        out.flush();
        return results.stream().anyMatch(FleetCommand::hasViolations) ? Spurroad.FAILED : 0;
    }

    private void runSizes(List<FleetResult> results) {
        for (int size : sizes) {
            for (FleetScenario scenario : scenariosAt(size)) {
                seeds.forEach(
                    seed -> addAndPrint(results, FleetRun.play(FleetShape.of(size), scenario, seed)));
            }
        }
    }

    private void addAndPrint(List<FleetResult> results, FleetResult result) {
        results.add(result);
        FleetTables.latency(spec.commandLine().getOut(), result);
        spec.commandLine().getOut().flush();
        spec.commandLine().getErr().printf(Locale.ROOT,
            "seed %d: %.0f s simulated in %.0f s of processor time%n",
            result.seed(), result.simulatedSeconds(), result.cpuSeconds());
        spec.commandLine().getErr().flush();
    }

    private List<FleetScenario> scenariosAt(int size) {
        if (!scenarios.isEmpty()) {
            return scenarios;
        }
        return size == FULL_FLEET ? Arrays.asList(FleetScenario.values())
            : List.of(FleetScenario.QUIET, FleetScenario.BURST);
    }

    private static boolean hasViolations(FleetResult result) {
        return result.lateChanges() > 0 || result.latePurges() > 0 || result.wronglyFresh() > 0
            || result.behind() > 0;
    }
}
