package spurroad.program;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Subcommands of the command line, those of this version and of the previous one. */
public class CommandTest {
    private static final String USAGE = "usage: spurroad serve | warm-up | simulator\n";
    private static final String NO_CONFIGURATION = "spurroad: BALANCER_CONFIG is not set: "
        + "expected the path of a JSON file\n";

    /** Exit status of a process and all that it wrote. */
    private record ProcessResult(int exitCode, String output) {}

    /** Runs the program without a configuration and with an empty standard input. */
    private static ProcessResult run(String... arguments) throws IOException, InterruptedException {
        List<String> commandLine = new ArrayList<>(
            List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"),
                Main.class.getName()));
        commandLine.addAll(Arrays.asList(arguments));
        ProcessBuilder builder = new ProcessBuilder(commandLine).redirectErrorStream(true);
        builder.environment().remove("BALANCER_CONFIG");
        Process process = builder.start();
        process.getOutputStream().close();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return new ProcessResult(process.waitFor(), output);
    }

    @DataProvider
    Object[][] subcommands() {
        return new Object[][] {{"serve", Command.SERVE}, {"warm-up", Command.WARM_UP},
            {"simulator", Command.SIMULATOR}, {"rehearse", Command.WARM_UP}, {"wirehost", Command.SIMULATOR}};
    }

    @Test(dataProvider = "subcommands")
    public void acceptsSubcommandsOfThisAndPreviousVersion(String subcommand, Command command) {
        assertEquals(Command.fromArguments(subcommand), Optional.of(command));
    }

    @DataProvider
    Object[][] invalidArguments() {
        return new Object[][] {{new String[0]}, {new String[] {""}}, {new String[] {"play"}},
            {new String[] {"SERVE"}}, {new String[] {"warm_up"}}, {new String[] {"serve", "serve"}},
            {new String[] {"serve", "wirehost"}}};
    }

    @Test(dataProvider = "invalidArguments")
    public void rejectsOtherArguments(String[] arguments) {
        assertEquals(Command.fromArguments(arguments), Optional.empty());
    }

    @DataProvider
    Object[][] runs() {
        return new Object[][] {{new String[] {"serve"}, 2, NO_CONFIGURATION},
            {new String[] {"warm-up"}, 2, NO_CONFIGURATION}, {new String[] {"rehearse"}, 2, NO_CONFIGURATION},
            {new String[] {"simulator"}, 0, ""}, {new String[] {"wirehost"}, 0, ""},
            {new String[] {"play"}, 2, USAGE}, {new String[0], 2, USAGE},
            {new String[] {"serve", "serve"}, 2, USAGE}};
    }

    @Test(dataProvider = "runs")
    public void runsSubcommandOrPrintsUsage(String[] arguments, int exitCode,
                                            String output)
        throws Exception {
        assertEquals(run(arguments), new ProcessResult(exitCode, output));
    }
}
