package spurroad.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import spurroad.configuration.InvalidSettingException;
import spurroad.configuration.ProxyConfiguration;
import spurroad.testbed.experiment.ResultFolder;
import spurroad.testbed.scenario.ScenarioFile;
import spurroad.toml.Diagnostic;
import spurroad.toml.InvalidFileException;

/** Validates a file with the reader for its type and prints all diagnostics. */
@Command(name = "check", mixinStandardHelpOptions = true, description = {
    "Checks a file and reports every error in it with its line and key.",
    "The file name selects the type: *.json is the proxy configuration, *.toml an operators' file, "
        + "or a scenario if it has a [load] table."})
final class CheckCommand implements Callable<Integer> {
    private static final String CONFIGURATION_SUFFIX = ".json";
    private static final String SCENARIO_TABLE = "[load"; // operators' files have no such table

    @Parameters(paramLabel = "FILE")
    private Path file;
    @Option(names = "--json", description = "Prints the diagnostics as a JSON list.")
    private boolean json;
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        List<Diagnostic> diagnostics = diagnostics();
        PrintWriter out = spec.commandLine().getOut();
        if (json) {
            out.println(ResultFolder.json(diagnostics));
        } else {
            diagnostics.forEach(out::println);
            out.println(
                diagnostics.isEmpty() ? file + " is valid" : diagnostics.size() + " faults");
        }
        return diagnostics.isEmpty() ? 0 : Spurroad.INVALID_INPUT;
    }

    private List<Diagnostic> diagnostics() throws IOException {
        try {
            read();
            return List.of();
        } catch (InvalidFileException e) {
            return e.diagnostics();
        } catch (InvalidSettingException e) {
            return List.of(new Diagnostic(file.toString(), 0, "", e.getMessage()));
        }
    }

    private void read() throws IOException, InvalidFileException {
        if (file.toString().endsWith(CONFIGURATION_SUFFIX)) {
            new ProxyConfiguration(Files.readString(file));
        } else if (Files.exists(file) && Files.readString(file).contains(SCENARIO_TABLE)) {
            ScenarioFile.read(file);
        } else {
            OperatorsFile.read(file);
        }
    }
}
