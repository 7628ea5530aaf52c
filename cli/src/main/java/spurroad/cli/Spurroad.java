package spurroad.cli;

import java.io.PrintWriter;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;
import spurroad.toml.InvalidFileException;

/** Entry point of the {@code spurroad} command line. */
@Command(name = "spurroad", mixinStandardHelpOptions = true, versionProvider = Version.class,
    sortOptions = false,
    description = "A proxy that spreads keys over cache nodes in front of a slow origin, and its tools.",
    subcommands = {ServeCommand.class, CheckCommand.class, ExplainCommand.class, TestbedCommand.class,
        ScaleCommand.class, FleetCommand.class, SoakCommand.class, Version.class,
        AutoComplete.GenerateCompletion.class},
    exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = {" 0:success; no rule was violated", " 1:failure, or a rule was violated",
        " 2:incorrect usage, or an invalid file", " 3:a void run; the output names the reason"})
public final class Spurroad implements Runnable {
    /** Exit code if the command failed or a rule was violated. */
    static final int FAILED = 1;
    /** Exit code for incorrect usage or an invalid file. */
    static final int INVALID_INPUT = 2;
    /** Exit code for a void run, such as one on a busy machine, or a comparison without valid pairs. */
    static final int INCONCLUSIVE = 3;

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
    }

    /** Runs one command and exits the process with the exit code of that command. */
    public static void main(String[] args) {
        System.exit(commandLine().execute(args));
    }

    /** Returns the configured command line; executing it does not exit the process. */
    static CommandLine commandLine() {
        CommandLine commandLine = new CommandLine(new Spurroad());
        commandLine.setCaseInsensitiveEnumValuesAllowed(true);
        commandLine.setExecutionExceptionHandler((exception, failed, parsed) -> {
            PrintWriter err = failed.getErr();
            if (exception instanceof InvalidFileException invalid) {
                invalid.diagnostics().forEach(err::println);
                return INVALID_INPUT;
            }
            String message = exception.getMessage();
            err.println("spurroad: " + (message == null ? exception : message));
            return FAILED;
        });
        return commandLine;
    }
}
