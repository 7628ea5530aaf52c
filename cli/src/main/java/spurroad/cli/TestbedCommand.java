package spurroad.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Groups the commands that run experiments in a test environment around real or simulated proxies. */
@Command(name = "testbed", aliases = TestbedCommand.DEPRECATED_NAME, mixinStandardHelpOptions = true,
    description = {
        "Runs experiments in a test environment: clients, cache nodes, origin, discovery and faults.",
        "Deprecated: the former name '" + TestbedCommand.DEPRECATED_NAME
            + "' is accepted until the next version."},
    subcommands = {TestbedEnvironmentCommand.class, TestbedRunCommand.class, TestbedCompareCommand.class,
        TestbedSearchCommand.class, TestbedReportCommand.class})
final class TestbedCommand implements Runnable {
    /** The name of this command before version 0.2.0. */
    static final String DEPRECATED_NAME = "rig";

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
    }
}
