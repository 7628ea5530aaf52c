package spurroad.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.stream.LongStream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import spurroad.testbed.experiment.Comparison;
import spurroad.testbed.experiment.Result;
import spurroad.testbed.experiment.ResultFolder;
import spurroad.testbed.experiment.ScenarioRunner;
import spurroad.testbed.policy.Policy;
import spurroad.testbed.scenario.ScenarioFile;
import spurroad.toml.InvalidFileException;

/** Runs two builds or policies alternately with the same scenario and seeds. */
@Command(name = "compare", mixinStandardHelpOptions = true, description = {
    "Runs two builds (jars, on sockets) or policies (in simulated time) with the same seeds, alternately, "
        + "and prints the differences.",
    "A policy is one of mechanism, random, ring, two_choices, bounded_ring."})
final class TestbedCompareCommand implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "SCENARIO")
    private Path scenarioFile;
    @Parameters(index = "1", paramLabel = "FIRST", description = "A proxy's jar, or a policy.")
    private String first;
    @Parameters(index = "2", paramLabel = "SECOND", description = "A proxy's jar, or a policy.")
    private String second;
    @Mixin
    private RunnerOptions runnerOptions;
    @Option(names = "--pairs", paramLabel = "N",
        description = "Number of seeds, from 1 on, to use instead of the scenario's own.")
    private int pairCount;
    @Mixin
    private ResultOptions resultOptions;
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        Comparison comparison = compare(runner(first), runner(second));
        PrintWriter out = spec.commandLine().getOut();
        if (resultOptions.isJson()) {
            out.println(ResultFolder.json(comparison));
        } else {
            ResultTables.printComparison(out, comparison);
        }
        return comparison.pairs().isEmpty() ? Spurroad.INCONCLUSIVE : 0;
    }

    /** Alternates between both runners, seed by seed, so that a change in machine load affects both. */
    private Comparison compare(ScenarioRunner firstRunner, ScenarioRunner secondRunner) throws Exception {
        List<Result> firstResults = new ArrayList<>();
        List<Result> secondResults = new ArrayList<>();
        ScenarioRuns runs = resultOptions.scenarioRuns();
        try (Progress progress = Progress.start("")) {
            for (long seed : seeds()) {
                firstResults.addAll(runs.run(scenarioFile, Map.of(), List.of(seed), firstRunner, progress));
                secondResults.addAll(runs.run(scenarioFile, Map.of(), List.of(seed), secondRunner, progress));
            }
        }
        return Comparison.of(firstResults, secondResults);
    }

    private List<Long> seeds() throws InvalidFileException {
        return pairCount > 0 ? LongStream.rangeClosed(1, pairCount).boxed().toList()
            : ScenarioFile.read(scenarioFile).seeds();
    }

    private ScenarioRunner runner(String name) throws IOException {
        if (name.endsWith(".jar")) {
            return runnerOptions.socketRunner(Path.of(name));
        }
        try {
            return new ScenarioRunner.Simulated(
                Policy.Kind.valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_')));
        } catch (IllegalArgumentException e) {
            throw new CommandLine.ParameterException(spec.commandLine(),
                name + " is neither a jar nor a policy");
        }
    }
}
