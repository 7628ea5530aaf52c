package spurroad.cli;

import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import spurroad.testbed.net.SocketEnvironment;
import spurroad.testbed.scenario.Scenario;
import spurroad.testbed.scenario.ScenarioFile;

/** Starts the environment and proxies of a scenario without load, for requests sent by hand. */
@Command(name = "environment", aliases = TestbedEnvironmentCommand.DEPRECATED_NAME,
    mixinStandardHelpOptions = true, description = {
        "Starts the environment and proxies of a scenario without load, and prints their addresses.",
        "The scenario's faults begin as scheduled. The command ends after --seconds, or with Ctrl-C.",
        "Deprecated: the former name '" + TestbedEnvironmentCommand.DEPRECATED_NAME
            + "' is accepted until the next version."})
final class TestbedEnvironmentCommand implements Callable<Integer> {
    /** The name of this command before version 0.2.0. */
    static final String DEPRECATED_NAME = "world";

    @Parameters(paramLabel = "SCENARIO")
    private Path scenarioFile;
    @Option(names = "--seconds", paramLabel = "N",
        description = "How long the environment runs (${DEFAULT-VALUE}).")
    private int seconds = 60;
    @Mixin
    private RunnerOptions runnerOptions;
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        Scenario scenario = ScenarioFile.read(scenarioFile);
        PrintWriter out = spec.commandLine().getOut();
        Path folder = Files.createTempDirectory("spurroad-environment");
        List<String> command = runnerOptions.socketRunner().command();
        try (SocketEnvironment environment = new SocketEnvironment(scenario, scenario.seeds().get(0), command,
            folder, out::println)) {
            Runtime.getRuntime().addShutdownHook(new Thread(environment::endNow));
            environment.open().forEach(out::println);
            out.println("logs of the proxies in " + folder + "; open for " + seconds + " s");
            out.flush();
            TimeUnit.SECONDS.sleep(seconds);
        }
        return 0;
    }
}
