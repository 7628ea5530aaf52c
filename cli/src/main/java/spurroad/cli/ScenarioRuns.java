package spurroad.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import spurroad.testbed.experiment.Result;
import spurroad.testbed.experiment.ResultFolder;
import spurroad.testbed.experiment.ScenarioRunner;
import spurroad.testbed.scenario.Scenario;
import spurroad.testbed.scenario.ScenarioFile;
import spurroad.toml.InvalidFileException;

/**
 * Runs a scenario with all its seeds and stores the results; a run with a stored result is repeated only on
 * request.
 */
final class ScenarioRuns {
    private static final Logger LOG = LoggerFactory.getLogger("spurroad.testbed");

    private final ResultFolder folder;
    private final boolean repeatsFinishedRuns;

    ScenarioRuns(Path results, boolean repeatsFinishedRuns) {
        folder = new ResultFolder(results);
        this.repeatsFinishedRuns = repeatsFinishedRuns;
    }

    /**
     * Returns the results of a scenario in the order of its seeds.
     *
     * @param overrides values that replace those of the file, keyed by key path
     * @param seeds seeds to use instead of the scenario's own; empty for the scenario's own
     */
    List<Result> run(Path file, Map<String, String> overrides, List<Long> seeds, ScenarioRunner runner,
                     Progress progress)
        throws InvalidFileException, IOException, InterruptedException {
        if (!Files.exists(file)) {
            ScenarioFile.read(file); // throws the diagnostic of a missing file
        }
        String text = Files.readString(file);
        Scenario scenario = ScenarioFile.of(file.toString(), text, overrides);
        String storedText = overrides.isEmpty() ? text : "# played with " + overrides + "\n" + text;
        List<Result> results = new ArrayList<>();
        for (long seed : seeds.isEmpty() ? scenario.seeds() : seeds) {
            Optional<Result> stored = repeatsFinishedRuns ? Optional.empty()
                : folder.find(scenario.name(), runner.build(), seed, storedText);
            results.add(stored.isPresent() ? stored.get()
                : run(scenario, storedText, seed, runner, progress));
        }
        return results;
    }

    private Result run(Scenario scenario, String storedText, long seed, ScenarioRunner runner,
                       Progress progress)
        throws IOException, InterruptedException {
        progress.update(scenario.name() + ", " + runner.build() + ", seed " + seed);
        Path runFolder = folder.begin(scenario.name(), runner.build(), seed, storedText);
        Result result = runner.play(scenario, seed, runFolder,
            event -> LOG.info("{} seed {}: {}", scenario.name(), seed, event));
        folder.done(runFolder, result);
        return result;
    }
}
