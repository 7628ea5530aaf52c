package spurroad.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import spurroad.testbed.experiment.ScenarioSearch;
import spurroad.testbed.experiment.ScenarioText;
import spurroad.testbed.policy.Policy;
import spurroad.testbed.scenario.Scenario;
import spurroad.testbed.scenario.ScenarioFile;

/** Searches in simulated time for the fault schedule with the worst result. */
@Command(name = "search", mixinStandardHelpOptions = true, description = {
    "Searches in simulated time for the seed and fault schedule with the worst score, shrinks the",
    "schedule as far as the score stays as bad, and writes it as a scenario file."})
final class TestbedSearchCommand implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "SCENARIO")
    private Path scenarioFile;
    @Parameters(index = "1", paramLabel = "FOUND", description = "The scenario file that is written.")
    private Path outputFile;
    @Option(names = "--scripts", paramLabel = "N",
        description = "Number of fault schedules to try (${DEFAULT-VALUE}).")
    private int scheduleCount = 100;
    @Option(names = "--seed", paramLabel = "N", description = "Seed of the search itself (${DEFAULT-VALUE}).")
    private long seed = 1;
    @Option(names = "--policy", paramLabel = "NAME",
        description = "Policy of the simulated proxies (${DEFAULT-VALUE}).")
    private Policy.Kind policy = Policy.Kind.MECHANISM;
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        Scenario scenario = ScenarioFile.read(scenarioFile);
        try (Progress progress = Progress.start("searching")) {
            ScenarioSearch search = new ScenarioSearch(policy, progress::update);
            double faultlessScore = search.play(withoutFaults(scenario), scenario.seeds().get(0)).score();
            ScenarioSearch.Found worst = search.worst(scenario, scheduleCount, seed);
            ScenarioSearch.Found shrunk = search.shrink(worst, faultlessScore);
            Files.writeString(outputFile, ScenarioText.with(Files.readString(scenarioFile),
                scenario.name() + "-found", shrunk.scenario(), shrunk.seed()));
            spec.commandLine().getOut().printf(Locale.ROOT,
                "without faults %.4f; worst of %d scripts %.4f with %d faults; shortened %.4f with "
                    + "%d faults, seed %d; %d runs; written to %s%n",
                faultlessScore, scheduleCount, worst.score(), worst.scenario().faults().size(),
                shrunk.score(), shrunk.scenario().faults().size(), shrunk.seed(), search.played(),
                outputFile);
            return shrunk.result().broken() > 0 ? Spurroad.FAILED : 0;
        }
    }

    private static Scenario withoutFaults(Scenario scenario) {
        return new Scenario(scenario.name(), scenario.about(), scenario.warmNs(), scenario.lengthNs(),
            scenario.world(), scenario.load(), List.of(), scenario.rules(), scenario.seeds());
    }
}
