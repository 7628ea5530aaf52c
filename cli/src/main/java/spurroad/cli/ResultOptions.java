package spurroad.cli;

import java.nio.file.Path;
import picocli.CommandLine.Option;

/** Where results are kept and how they are told; the same for all that plays. */
final class ResultOptions {
    @Option(names = "--results", paramLabel = "FOLDER",
        description = "Where results are kept (${DEFAULT-VALUE}).")
    private Path results = Path.of("results");
    @Option(names = "--again", description = "Play also what is done.")
    private boolean again;
    @Option(names = "--json", description = "Tell it as JSON.")
    private boolean json;

    ScenarioRuns runs() {
        return new ScenarioRuns(results, again);
    }

    boolean json() {
        return json;
    }
}
