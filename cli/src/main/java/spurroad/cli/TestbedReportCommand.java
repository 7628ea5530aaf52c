package spurroad.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import spurroad.testbed.experiment.Report;
import spurroad.testbed.experiment.Result;
import spurroad.testbed.experiment.ResultFolder;

/** Writes an HTML report of all results in a folder. */
@Command(name = "report", mixinStandardHelpOptions = true,
    description = "Writes one HTML page of all results in a folder, with plots and all rule violations.")
final class TestbedReportCommand implements Callable<Integer> {
    @Parameters(paramLabel = "PAGE", description = "The page to write.")
    private Path page;
    @Option(names = "--results", paramLabel = "FOLDER",
        description = "The folder in which results are stored (${DEFAULT-VALUE}).")
    private Path resultFolder = Path.of("results");
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        ResultFolder folder = new ResultFolder(resultFolder);
        List<Result> results = folder.all();
        Report.write(page, results, folder);
        spec.commandLine().getOut()
            .println(results.size() + " results, " + folder.partial().size() + " cut off, in "
                + page);
        return results.isEmpty() ? Spurroad.FAILED : 0;
    }
}
