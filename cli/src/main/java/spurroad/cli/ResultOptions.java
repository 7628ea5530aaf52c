package spurroad.cli;

import java.nio.file.Path;
import picocli.CommandLine.Option;

/** Options for the storage and output of results, shared by all commands that run scenarios. */
final class ResultOptions {
    @Option(names = "--results", paramLabel = "FOLDER",
        description = "The folder in which results are stored (${DEFAULT-VALUE}).")
    private Path folder = Path.of("results");
    @Option(names = "--again", description = "Repeats runs that already have a result.")
    private boolean again;
    @Option(names = "--json", description = "Prints the results as JSON.")
    private boolean json;

    ScenarioRuns scenarioRuns() {
        return new ScenarioRuns(folder, again);
    }

    boolean isJson() {
        return json;
    }
}
