package spurroad.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import picocli.CommandLine;

/**
 * Tests the command line from the user's side: its output, exit codes, and remaining files and processes.
 */
public class SpurroadTest {
    private static final String CONFIGURATION = "../deploy/example.json";
    private static final String FIRST_SCENARIO = "../scenarios/first.toml";
    private static final Path PROXY_JAR = Path.of("..", "proxy", "target", "spurroad.jar");
    private Path folder;

    private record CommandOutput(int exitCode, String out, String err) {}

    @BeforeMethod
    public void folder() throws IOException {
        folder = Files.createTempDirectory("cli-test");
    }

    private static CommandOutput execute(Object... arguments) {
        StringWriter out = new StringWriter();
        StringWriter err = new StringWriter();
        CommandLine commandLine = Spurroad.commandLine().setOut(new PrintWriter(out))
            .setErr(new PrintWriter(err));
        int exitCode = commandLine
            .execute(Arrays.stream(arguments).map(Object::toString).toArray(String[]::new));
        return new CommandOutput(exitCode, out.toString(), err.toString());
    }

    private Path writeFile(String name, String text) throws IOException {
        return Files.writeString(folder.resolve(name), text);
    }

    @Test
    public void helpListsAllCommandsAndExitCodes() {
        CommandOutput output = execute("--help");
        assertEquals(output.exitCode, 0);
        for (String word : List.of("serve", "check", "explain", "testbed", "version", "generate-completion",
            "Exit codes")) {
            assertTrue(output.out.contains(word), output.out);
        }
    }

    @Test
    public void versionPrintsThisBuild() {
        CommandOutput output = execute("version");
        assertTrue(output.out.matches("(?s)spurroad \\d+\\.\\d+.*Java 1.*"), output.out);
    }

    @Test
    public void exitsWithCodeTwoOnIncorrectUsage() {
        assertEquals(execute().exitCode, 2);
        assertEquals(execute("testbed").exitCode, 2);
        CommandOutput output = execute("chekc", "x");
        assertEquals(output.exitCode, 2);
        assertTrue(output.err.contains("check"), "the most similar command is suggested: " + output.err);
        assertEquals(execute("testbed", "compare", FIRST_SCENARIO, "randon", "ring").exitCode, 2);
    }

    /** The names from before version 0.2.0 are accepted for one more version and described as deprecated. */
    @Test
    public void acceptsDeprecatedCommandNames() {
        CommandOutput testbed = execute("rig", "--help");
        assertEquals(testbed.exitCode, 0, testbed.err);
        assertEquals(testbed.out, execute("testbed", "--help").out);
        assertTrue(testbed.out.contains("Deprecated: the former name 'rig'"), testbed.out);
        CommandOutput environment = execute("rig", "world", "--help");
        assertEquals(environment.exitCode, 0, environment.err);
        assertEquals(environment.out, execute("testbed", "environment", "--help").out);
        assertTrue(environment.out.contains("Deprecated: the former name 'world'"), environment.out);
    }

    @Test
    public void deprecatedCommandNameRunsSameExperiment() throws IOException {
        Path scenario = writeScenario("3s");
        CommandOutput deprecated = execute("rig", "run", scenario, "--simulated", "--json", "--results",
            folder.resolve("r1"));
        CommandOutput current = execute("testbed", "run", scenario, "--simulated", "--json", "--results",
            folder.resolve("r2"));
        assertEquals(deprecated.exitCode, 0, deprecated.err);
        assertEquals(deprecated.out.replaceAll("\"tookS\" : [0-9.E-]+", ""),
            current.out.replaceAll("\"tookS\" : [0-9.E-]+", ""));
    }

    @Test
    public void acceptsDeprecatedInjectFaultOption() {
        CommandLine.ParseResult deprecated = Spurroad.commandLine().parseArgs("soak", "--plant", "none")
            .subcommand();
        CommandLine.ParseResult current = Spurroad.commandLine().parseArgs("soak", "--inject-fault", "none")
            .subcommand();
        assertTrue(deprecated.hasMatchedOption("--inject-fault"));
        assertEquals(deprecated.matchedOptionValue("--plant", (Object) null),
            current.matchedOptionValue("--inject-fault", (Object) null));
        assertTrue(execute("soak", "--help").out.contains("Deprecated: the former name --plant"));
    }

    @Test
    public void completionOffersCurrentAndDeprecatedNames() {
        String script = execute("generate-completion").out;
        for (String name : List.of("testbed", "rig", "environment", "world", "--inject-fault")) {
            assertTrue(script.contains(name), name);
        }
    }

    @Test
    public void checkReportsAllErrorsWithLineAndKey() throws IOException {
        Path file = writeFile("o.toml", "[log]\nformat = \"xml\"\nlevle = 3\n[lgo]\n");
        CommandOutput output = execute("check", file);
        assertEquals(output.exitCode, 2);
        assertEquals(output.out.lines().map(line -> line.replace(folder + "/", "")).toList(), List.of(
            "o.toml:2: log.format: is \"xml\"; expected one of plain, json",
            "o.toml:3: log.levle: is not known here; expected format",
            "o.toml:4: lgo: is not known here; did you mean log?", "3 faults"));
        assertTrue(execute("check", "--json", file).out.contains("\"line\" : 4"));
    }

    @Test
    public void checkReadsAllThreeFileTypes() throws IOException {
        assertEquals(execute("check", CONFIGURATION).exitCode, 0);
        assertEquals(execute("check", FIRST_SCENARIO).exitCode, 0);
        assertEquals(execute("check", writeFile("o.toml", "[log]\nformat = \"json\"\n")).exitCode, 0);
        CommandOutput output = execute("check", writeFile("c.json", "{\"name\":\"n\"}"));
        assertEquals(output.exitCode, 2);
        assertTrue(output.out.contains("listen is missing"), output.out);
    }

    @Test
    public void explainPrintsCandidatesInOrder() throws IOException {
        StringBuilder list = new StringBuilder("{\"rev\":1,\"all\":true,\"targets\":[");
        for (int i = 0; i < 6; i++) {
            list.append(i == 0 ? "" : ",").append("{\"uid\":\"s-").append(i)
                .append("\",\"endpoint\":\"127.0.0.1:11")
                .append(i).append("\",\"az\":\"east\",\"model\":\"standard\",\"state\":\"")
                .append(i == 5 ? "leaving" : "active").append("\"}");
        }
        Path listFile = writeFile("list.json", list.append("]}").toString());
        CommandOutput output = execute("explain", "7f3a", "--config", CONFIGURATION, "--list", listFile);
        assertEquals(output.exitCode, 0, output.err);
        assertEquals(output.out.lines().filter(line -> line.matches("[123]\\. s-[0-4] at 127.*")).count(), 3,
            output.out);
        assertTrue(output.out.contains("left out: s-5 at 127.0.0.1:115, DRAINING"), output.out);
        CommandOutput configuredOutput = execute("explain", "7f3a", "--config", CONFIGURATION);
        assertTrue(configuredOutput.out.contains("1. cache-1 at 127.0.0.1:11301"), configuredOutput.out);
        assertFalse(configuredOutput.out.contains("2. "), "the origin is not a candidate");
    }

    // ---- experiments

    private Path writeScenario(String length) throws IOException {
        return writeFile("s.toml", "name = \"s\"\nlength = \"" + length
            + "\"\nwarm = \"500ms\"\nseeds = [4, 5]\n[world]\n"
            + "[[world.nodes]]\nname = \"a\"\ncount = 3\n[load]\nrate = 150\n[[faults]]\nkind = \"slow\"\n"
            + "at = \"1s\"\n"
            + "for = \"1s\"\ntargets = [\"a-0\"]\nfactor = 0.1\n");
    }

    private List<Path> resultFiles() throws IOException {
        try (Stream<Path> all = Files.walk(folder.resolve("results"))) {
            return all.filter(path -> path.endsWith("result.json")).sorted().toList();
        }
    }

    @Test
    public void runDoesNotRepeatFinishedRuns() throws IOException {
        Path scenario = writeScenario("3s");
        CommandOutput first = execute("testbed", "run", scenario, "--simulated", "--results",
            folder.resolve("results"));
        assertEquals(first.exitCode, 0, first.err);
        assertTrue(first.out.contains("rules kept"), first.out);
        assertEquals(resultFiles().size(), 2);
        long modifiedMillis = Files.getLastModifiedTime(resultFiles().get(0)).toMillis();
        assertEquals(
            execute("testbed", "run", scenario, "--simulated", "--results", folder.resolve("results")).out,
            first.out);
        assertEquals(Files.getLastModifiedTime(resultFiles().get(0)).toMillis(), modifiedMillis);
    }

    /** Two processes that run the same seed must print the same bytes. */
    @Test
    public void simulatedRunsAreIdenticalInTwoProcesses() throws IOException, InterruptedException {
        Path scenario = writeScenario("3s");
        List<String> outputs = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            Process process = startProcess(false, "testbed", "run", scenario.toString(), "--simulated",
                "--json", "--results",
                folder.resolve("r" + i).toString());
            String out = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertEquals(process.waitFor(), 0, out);
            outputs.add(out.replaceAll("\"tookS\" : [0-9.E-]+", ""));
        }
        assertTrue(outputs.get(0).contains("\"goodput\""), outputs.get(0));
        assertEquals(outputs.get(0), outputs.get(1));
        assertNotEquals(outputs.get(0),
            execute("testbed", "run", scenario, "--simulated", "--json", "--seeds", "9,10", "--results",
                folder.resolve("r2")).out.replaceAll("\"tookS\" : [0-9.E-]+", ""));
    }

    private static Process startProcess(boolean withLog, String... arguments) throws IOException {
        List<String> command = new ArrayList<>(
            List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Dspurroad.home=..", "-cp", System.getProperty("java.class.path"), "spurroad.cli.Spurroad"));
        command.addAll(List.of(arguments));
        ProcessBuilder builder = new ProcessBuilder(command);
        return (withLog ? builder.redirectErrorStream(true)
            : builder.redirectError(ProcessBuilder.Redirect.DISCARD)).start();
    }

    /** An interrupted run must not leave proxy processes behind or look like a finished run. */
    @Test
    public void interruptedRunLeavesNoProcessAndIsMarkedPartial() throws IOException, InterruptedException {
        Path scenario = writeScenario("30s");
        Process process = startProcess(true, "testbed", "run", scenario.toString(), "--results",
            folder.resolve("results").toString(), "--jar",
            PROXY_JAR.toString());
        BufferedReader out = process.inputReader(StandardCharsets.UTF_8);
        String line = out.readLine();
        while (line != null && !line.contains("SLOW begins")) {
            line = out.readLine();
        }
        List<ProcessHandle> proxies = process.descendants()
            .filter(proxy -> proxy.info().command().orElse("").endsWith("java"))
            .toList();
        assertEquals(proxies.size(), 1, line);
        process.destroy();
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        for (ProcessHandle proxy : proxies) {
            for (int i = 0; i < 200 && proxy.isAlive(); i++) {
                Thread.sleep(20);
            }
            assertFalse(proxy.isAlive(), "the proxy is still running");
        }
        assertEquals(resultFiles(), List.of());
        try (Stream<Path> all = Files.walk(folder.resolve("results"))) {
            assertEquals(all.filter(path -> path.endsWith("PARTIAL")).count(), 1);
        }
        CommandOutput report = execute("testbed", "report", folder.resolve("page.html"), "--results",
            folder.resolve("results"));
        assertTrue(report.out.startsWith("0 results, 1 cut off"), report.out);
        assertTrue(Files.readString(folder.resolve("page.html")).contains("cut off: "));
    }

    @Test
    public void comparePrintsPairedDifferencesWithInterval() throws IOException {
        Path scenario = writeScenario("3s");
        CommandOutput output = execute("testbed", "compare", scenario, "random", "mechanism", "--pairs", "3",
            "--results",
            folder.resolve("results"));
        assertEquals(output.exitCode, 0, output.err);
        assertTrue(
            output.out.matches("(?s).*second \\(simulated MECHANISM\\) less first \\(simulated RANDOM\\): "
                + "[+-]0\\.\\d{4}, 95% between [+-]0\\.\\d{4} and [+-]0\\.\\d{4}, 3 pairs\\s*"),
            output.out);
    }

    @Test
    public void searchWritesScenarioWithPrintedScore() throws IOException {
        Path scenario = writeScenario("4s");
        Path foundFile = folder.resolve("found.toml");
        CommandOutput searchOutput = execute("testbed", "search", scenario, foundFile, "--scripts", "5");
        assertEquals(searchOutput.exitCode, 0, searchOutput.err);
        double score = Double.parseDouble(searchOutput.out.replaceAll("(?s).*shortened ([0-9.]+).*", "$1"));
        CommandOutput runOutput = execute("testbed", "run", foundFile, "--simulated", "--results",
            folder.resolve("results"));
        assertTrue(runOutput.out.contains(String.format(Locale.ROOT, "goodput %.4f", score)), runOutput.out);
    }

    /**
     * Finished runs of a matrix are not repeated after an interruption; the report plots goodput over load.
     */
    @Test
    public void overridesRunEachCombinationOnce() throws IOException {
        Path scenario = writeScenario("3s");
        Object[] arguments = {"testbed", "run", scenario, "--simulated", "--seeds", "4", "--set",
            "load.rate=100,200,400",
            "--set",
            "world.proxies=1,2", "--results", folder.resolve("results")};
        CommandOutput first = execute(arguments);
        assertEquals(first.exitCode, 0, first.err);
        assertEquals(resultFiles().size(), 6);
        Files.delete(resultFiles().get(2));
        assertEquals(execute(arguments).out.replaceAll(" in [0-9.]+ s", ""),
            first.out.replaceAll(" in [0-9.]+ s", ""));
        assertEquals(resultFiles().size(), 6);
        execute("testbed", "report", folder.resolve("page.html"), "--results", folder.resolve("results"));
        assertEquals(Files.readString(folder.resolve("page.html")).split("<svg", -1).length - 1, 1 + 6 * 4);
        assertEquals(execute("testbed", "run", scenario, "--simulated", "--set", "no.such=1", "--results",
            folder.resolve("results")).exitCode, 2);
    }

    @Test
    public void reportIsOnePageWithPlotsAndTables() throws IOException {
        execute("testbed", "run", writeScenario("3s"), "--simulated", "--results", folder.resolve("results"));
        Path page = folder.resolve("page.html");
        CommandOutput output = execute("testbed", "report", page, "--results", folder.resolve("results"));
        assertEquals(output.exitCode, 0, output.err);
        String html = Files.readString(page);
        assertEquals(html.split("<svg", -1).length - 1, 4, "four plots");
        assertTrue(html.contains("simulated MECHANISM") && html.contains("1: SLOW"),
            "results and marked faults");
    }
}
