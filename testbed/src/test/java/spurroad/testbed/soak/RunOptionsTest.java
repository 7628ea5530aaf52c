package spurroad.testbed.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.testbed.experiment.ScenarioRunner;

/** The options of the virtual machine that proxies are started with. */
public class RunOptionsTest {
    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
    private static final String OPTION_PREFIX = "-X";

    @DataProvider
    static Iterator<Object[]> options() throws Exception {
        List<String> deployed = Arrays.asList(expand(DeployFile.runCommand(ROOT)).split("\\s+"));
        assertTrue(deployed.contains("-Xmx44m"), "expected the words of `run`, got " + deployed);
        return Stream.concat(deployed.stream(), ScenarioRunner.Sockets.FLAGS.stream())
            .filter(word -> word.startsWith(OPTION_PREFIX)).distinct()
            .map(option -> new Object[] {option}).iterator();
    }

    /** Guards against an option that this kind of processor does not have: no proxy starts there. */
    @Test(dataProvider = "options")
    public void virtualMachineAcceptsOption(String option) throws Exception {
        Process process = new ProcessBuilder("java", option, "-version").redirectErrorStream(true).start();
        String output = read(process);
        assertEquals(process.waitFor(), 0, option + " is refused: " + output);
    }

    /** Returns a shell command after the shell's own substitutions. */
    private static String expand(String command) throws Exception {
        Process shell = new ProcessBuilder("/bin/sh", "-c", command.replaceFirst("^exec ", "echo ")).start();
        String words = read(shell);
        assertEquals(shell.waitFor(), 0, command);
        return words;
    }

    private static String read(Process process) throws IOException {
        return new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
}
