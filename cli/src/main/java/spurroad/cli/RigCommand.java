package spurroad.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Experiments: a world of the rig's own round real or simulated proxies. */
@Command(name = "rig", mixinStandardHelpOptions = true,
    description = "Plays experiments on a world of its own: clients, cache nodes, origin, discovery, and "
        + "faults.",
    subcommands = {RigWorld.class, RigRun.class, RigCompare.class, RigSearch.class, RigReport.class})
final class RigCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
    }
}
