package spurroad.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import spurroad.testbed.experiment.Result;
import spurroad.testbed.experiment.ResultFolder;
import spurroad.testbed.experiment.ScenarioRunner;

/** Runs scenarios and prints the request outcomes and rule violations. */
@Command(name = "run", mixinStandardHelpOptions = true, description = {
    "Runs scenarios with all their seeds and prints the outcomes of their requests.",
    "Stored results are printed again; an interrupted run is repeated."})
final class TestbedRunCommand implements Callable<Integer> {
    @Parameters(paramLabel = "SCENARIO", arity = "1..*")
    private List<Path> scenarioFiles;
    @Mixin
    private RunnerOptions runnerOptions;
    @Option(names = "--seeds", split = ",", paramLabel = "N",
        description = "Seeds to use instead of the scenario's own.")
    private List<Long> seeds = List.of();
    @Option(names = "--set", paramLabel = "KEY=V1,V2",
        description = {"Runs the scenarios once with each of these values "
            + "instead of the one in the file,",
            "and with each combination if it is given more than once."})
    private Map<String, String> valuesByKey = Map.of();
    @Mixin
    private ResultOptions resultOptions;
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        ScenarioRunner runner = runnerOptions.runner();
        ScenarioRuns runs = resultOptions.scenarioRuns();
        List<Result> results = new ArrayList<>();
        try (Progress progress = Progress.start("")) {
            for (Path file : scenarioFiles) {
                for (Map<String, String> overrides : combinations(valuesByKey)) {
                    results.addAll(runs.run(file, overrides, seeds, runner, progress));
                }
            }
        }
        print(results);
        return ResultTables.exitCode(results);
    }

    private void print(List<Result> results) throws IOException {
        PrintWriter out = spec.commandLine().getOut();
        if (resultOptions.isJson()) {
            out.println(ResultFolder.json(results));
        } else {
            results.forEach(result -> ResultTables.printResult(out, result));
        }
    }

    /**
     * Returns every combination of the values of all keys, in order; a single empty combination if there are
     * no keys.
     */
    static List<Map<String, String>> combinations(Map<String, String> valuesByKey) {
        List<Map<String, String>> combinations = List.of(Map.of());
        for (Map.Entry<String, String> entry : valuesByKey.entrySet()) {
            List<Map<String, String>> extended = new ArrayList<>();
            for (Map<String, String> combination : combinations) {
                for (String value : entry.getValue().split(",")) {
                    Map<String, String> next = new LinkedHashMap<>(combination);
                    next.put(entry.getKey(), value.strip());
                    extended.add(next);
                }
            }
            combinations = extended;
        }
        return combinations;
    }
}
