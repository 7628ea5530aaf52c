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
    private static final String CONFIG = "../deploy/example.json";
    private static final String FIRST = "../scenarios/first.toml";
    private static final Path JAR = Path.of("..", "proxy", "target", "spurroad.jar");
    private Path folder;

    private record CommandOutput(int code, String out, String err) {}

    @BeforeMethod
    public void folder() throws IOException {
        folder = Files.createTempDirectory("cli-test");
    }

    private static CommandOutput execute(Object... words) {
        StringWriter out = new StringWriter();
        StringWriter err = new StringWriter();
        CommandLine line = Spurroad.commandLine().setOut(new PrintWriter(out)).setErr(new PrintWriter(err));
        int code = line.execute(Arrays.stream(words).map(Object::toString).toArray(String[]::new));
        return new CommandOutput(code, out.toString(), err.toString());
    }

    private Path file(String name, String text) throws IOException {
        return Files.writeString(folder.resolve(name), text);
    }

    @Test
    public void helpNamesAllCommandsAndExitCodes() {
        CommandOutput s = execute("--help");
        assertEquals(s.code, 0);
        for (String word : List.of("serve", "check", "explain", "testbed", "version", "generate-completion",
            "Exit codes")) {
            assertTrue(s.out.contains(word), s.out);
        }
    }

    @Test
    public void versionPrintsThisBuild() {
        CommandOutput s = execute("version");
        assertTrue(s.out.matches("(?s)spurroad \\d+\\.\\d+.*Java 1.*"), s.out);
    }

    @Test
    public void wrongUseEndsWithCodeTwo() {
        assertEquals(execute().code, 2);
        assertEquals(execute("testbed").code, 2);
        CommandOutput s = execute("chekc", "x");
        assertEquals(s.code, 2);
        assertTrue(s.err.contains("check"), "the most similar command is suggested: " + s.err);
        assertEquals(execute("testbed", "compare", FIRST, "randon", "ring").code, 2);
    }

    /** The names from before version 0.2.0 are accepted for one more version and described as deprecated. */
    @Test
    public void formerCommandNamesAreAcceptedAsDeprecated() {
        CommandOutput testbed = execute("rig", "--help");
        assertEquals(testbed.code, 0, testbed.err);
        assertEquals(testbed.out, execute("testbed", "--help").out);
        assertTrue(testbed.out.contains("Deprecated: the former name 'rig'"), testbed.out);
        CommandOutput environment = execute("rig", "world", "--help");
        assertEquals(environment.code, 0, environment.err);
        assertEquals(environment.out, execute("testbed", "environment", "--help").out);
        assertTrue(environment.out.contains("Deprecated: the former name 'world'"), environment.out);
    }

    @Test
    public void formerCommandNameRunsTheSameExperiment() throws IOException {
        Path s = scenario("3s");
        CommandOutput former = execute("rig", "run", s, "--simulated", "--json", "--results",
            folder.resolve("r1"));
        CommandOutput present = execute("testbed", "run", s, "--simulated", "--json", "--results",
            folder.resolve("r2"));
        assertEquals(former.code, 0, former.err);
        assertEquals(former.out.replaceAll("\"tookS\" : [0-9.E-]+", ""),
            present.out.replaceAll("\"tookS\" : [0-9.E-]+", ""));
    }

    @Test
    public void formerOptionOfTheInjectedFaultIsAcceptedAsDeprecated() {
        CommandLine.ParseResult former = Spurroad.commandLine().parseArgs("soak", "--plant", "none")
            .subcommand();
        CommandLine.ParseResult present = Spurroad.commandLine().parseArgs("soak", "--inject-fault", "none")
            .subcommand();
        assertTrue(former.hasMatchedOption("--inject-fault"));
        assertEquals(former.matchedOptionValue("--plant", (Object) null),
            present.matchedOptionValue("--inject-fault", (Object) null));
        assertTrue(execute("soak", "--help").out.contains("Deprecated: the former name --plant"));
    }

    @Test
    public void completionOffersPresentAndFormerNames() {
        String script = execute("generate-completion").out;
        for (String name : List.of("testbed", "rig", "environment", "world", "--inject-fault")) {
            assertTrue(script.contains(name), name);
        }
    }

    @Test
    public void checkReportsAllFaultsByLineAndKey() throws IOException {
        Path f = file("o.toml", "[log]\nformat = \"xml\"\nlevle = 3\n[lgo]\n");
        CommandOutput s = execute("check", f);
        assertEquals(s.code, 2);
        assertEquals(s.out.lines().map(l -> l.replace(folder + "/", "")).toList(), List.of(
            "o.toml:2: log.format: is \"xml\"; expected one of plain, json",
            "o.toml:3: log.levle: is not known here; expected format",
            "o.toml:4: lgo: is not known here; did you mean log?", "3 faults"));
        assertTrue(execute("check", "--json", f).out.contains("\"line\" : 4"));
    }

    @Test
    public void checkReadsAllThreeKindsOfFiles() throws IOException {
        assertEquals(execute("check", CONFIG).code, 0);
        assertEquals(execute("check", FIRST).code, 0);
        assertEquals(execute("check", file("o.toml", "[log]\nformat = \"json\"\n")).code, 0);
        CommandOutput s = execute("check", file("c.json", "{\"name\":\"n\"}"));
        assertEquals(s.code, 2);
        assertTrue(s.out.contains("listen is missing"), s.out);
    }

    @Test
    public void explainPrintsCandidatesInTheirOrder() throws IOException {
        StringBuilder list = new StringBuilder("{\"rev\":1,\"all\":true,\"targets\":[");
        for (int i = 0; i < 6; i++) {
            list.append(i == 0 ? "" : ",").append("{\"uid\":\"s-").append(i)
                .append("\",\"endpoint\":\"127.0.0.1:11")
                .append(i).append("\",\"az\":\"east\",\"model\":\"standard\",\"state\":\"")
                .append(i == 5 ? "leaving" : "active").append("\"}");
        }
        Path f = file("list.json", list.append("]}").toString());
        CommandOutput s = execute("explain", "7f3a", "--config", CONFIG, "--list", f);
        assertEquals(s.code, 0, s.err);
        assertEquals(s.out.lines().filter(l -> l.matches("[123]\\. s-[0-4] at 127.*")).count(), 3, s.out);
        assertTrue(s.out.contains("left out: s-5 at 127.0.0.1:115, DRAINING"), s.out);
        CommandOutput one = execute("explain", "7f3a", "--config", CONFIG);
        assertTrue(one.out.contains("1. cache-1 at 127.0.0.1:11301"), one.out);
        assertFalse(one.out.contains("2. "), "the origin is not a candidate");
    }

    // ---- experiments

    private Path scenario(String length) throws IOException {
        return file("s.toml", "name = \"s\"\nlength = \"" + length
            + "\"\nwarm = \"500ms\"\nseeds = [4, 5]\n[world]\n"
            + "[[world.nodes]]\nname = \"a\"\ncount = 3\n[load]\nrate = 150\n[[faults]]\nkind = \"slow\"\n"
            + "at = \"1s\"\n"
            + "for = \"1s\"\ntargets = [\"a-0\"]\nfactor = 0.1\n");
    }

    private List<Path> results() throws IOException {
        try (Stream<Path> all = Files.walk(folder.resolve("results"))) {
            return all.filter(p -> p.endsWith("result.json")).sorted().toList();
        }
    }

    @Test
    public void finishedRunsAreNotRepeated() throws IOException {
        Path s = scenario("3s");
        CommandOutput first = execute("testbed", "run", s, "--simulated", "--results",
            folder.resolve("results"));
        assertEquals(first.code, 0, first.err);
        assertTrue(first.out.contains("rules kept"), first.out);
        assertEquals(results().size(), 2);
        long at = Files.getLastModifiedTime(results().get(0)).toMillis();
        assertEquals(execute("testbed", "run", s, "--simulated", "--results", folder.resolve("results")).out,
            first.out);
        assertEquals(Files.getLastModifiedTime(results().get(0)).toMillis(), at);
    }

    /** Two processes that run the same seed must print the same bytes. */
    @Test
    public void simulatedRunsAreEqualByteForByteInTwoProcesses() throws IOException, InterruptedException {
        Path s = scenario("3s");
        List<String> said = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            Process p = process(false, "testbed", "run", s.toString(), "--simulated", "--json", "--results",
                folder.resolve("r" + i).toString());
            String out = new String(p.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertEquals(p.waitFor(), 0, out);
            said.add(out.replaceAll("\"tookS\" : [0-9.E-]+", ""));
        }
        assertTrue(said.get(0).contains("\"goodput\""), said.get(0));
        assertEquals(said.get(0), said.get(1));
        assertNotEquals(said.get(0),
            execute("testbed", "run", s, "--simulated", "--json", "--seeds", "9,10", "--results",
                folder.resolve("r2")).out.replaceAll("\"tookS\" : [0-9.E-]+", ""));
    }

    private static Process process(boolean withLog, String... words) throws IOException {
        List<String> command = new ArrayList<>(
            List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Dspurroad.home=..", "-cp", System.getProperty("java.class.path"), "spurroad.cli.Spurroad"));
        command.addAll(List.of(words));
        ProcessBuilder builder = new ProcessBuilder(command);
        return (withLog ? builder.redirectErrorStream(true)
            : builder.redirectError(ProcessBuilder.Redirect.DISCARD)).start();
    }

    /** An interrupted run must not leave proxy processes behind or look like a finished run. */
    @Test
    public void interruptedRunLeavesNoProcessAndIsMarkedAsPartial() throws IOException, InterruptedException {
        Path s = scenario("30s");
        Process p = process(true, "testbed", "run", s.toString(), "--results",
            folder.resolve("results").toString(), "--jar",
            JAR.toString());
        BufferedReader out = p.inputReader(StandardCharsets.UTF_8);
        String line = out.readLine();
        while (line != null && !line.contains("SLOW begins")) {
            line = out.readLine();
        }
        List<ProcessHandle> proxies = p.descendants()
            .filter(h -> h.info().command().orElse("").endsWith("java"))
            .toList();
        assertEquals(proxies.size(), 1, line);
        p.destroy();
        assertTrue(p.waitFor(20, TimeUnit.SECONDS));
        for (ProcessHandle h : proxies) {
            for (int i = 0; i < 200 && h.isAlive(); i++) {
                Thread.sleep(20);
            }
            assertFalse(h.isAlive(), "the proxy is still running");
        }
        assertEquals(results(), List.of());
        try (Stream<Path> all = Files.walk(folder.resolve("results"))) {
            assertEquals(all.filter(f -> f.endsWith("PARTIAL")).count(), 1);
        }
        CommandOutput report = execute("testbed", "report", folder.resolve("page.html"), "--results",
            folder.resolve("results"));
        assertTrue(report.out.startsWith("0 results, 1 cut off"), report.out);
        assertTrue(Files.readString(folder.resolve("page.html")).contains("cut off: "));
    }

    @Test
    public void comparePrintsPairedDifferencesWithTheirInterval() throws IOException {
        Path s = scenario("3s");
        CommandOutput c = execute("testbed", "compare", s, "random", "mechanism", "--pairs", "3", "--results",
            folder.resolve("results"));
        assertEquals(c.code, 0, c.err);
        assertTrue(c.out.matches("(?s).*second \\(simulated MECHANISM\\) less first \\(simulated RANDOM\\): "
            + "[+-]0\\.\\d{4}, 95% between [+-]0\\.\\d{4} and [+-]0\\.\\d{4}, 3 pairs\\s*"), c.out);
    }

    @Test
    public void searchWritesAScenarioWithTheScoreThatItPrints() throws IOException {
        Path s = scenario("4s");
        Path found = folder.resolve("found.toml");
        CommandOutput said = execute("testbed", "search", s, found, "--scripts", "5");
        assertEquals(said.code, 0, said.err);
        double score = Double.parseDouble(said.out.replaceAll("(?s).*shortened ([0-9.]+).*", "$1"));
        CommandOutput again = execute("testbed", "run", found, "--simulated", "--results",
            folder.resolve("results"));
        assertTrue(again.out.contains(String.format(Locale.ROOT, "goodput %.4f", score)), again.out);
    }

    /**
     * Finished runs of a matrix are not repeated after an interruption; the report plots goodput over load.
     */
    @Test
    public void overridesRunEachCombinationOnce() throws IOException {
        Path s = scenario("3s");
        Object[] words = {"testbed", "run", s, "--simulated", "--seeds", "4", "--set",
            "load.rate=100,200,400",
            "--set",
            "world.proxies=1,2", "--results", folder.resolve("results")};
        CommandOutput first = execute(words);
        assertEquals(first.code, 0, first.err);
        assertEquals(results().size(), 6);
        Files.delete(results().get(2));
        assertEquals(execute(words).out.replaceAll(" in [0-9.]+ s", ""),
            first.out.replaceAll(" in [0-9.]+ s", ""));
        assertEquals(results().size(), 6);
        execute("testbed", "report", folder.resolve("page.html"), "--results", folder.resolve("results"));
        assertEquals(Files.readString(folder.resolve("page.html")).split("<svg", -1).length - 1, 1 + 6 * 4);
        assertEquals(execute("testbed", "run", s, "--simulated", "--set", "no.such=1", "--results",
            folder.resolve("results")).code, 2);
    }

    @Test
    public void reportIsOnePageWithPlotsAndTables() throws IOException {
        execute("testbed", "run", scenario("3s"), "--simulated", "--results", folder.resolve("results"));
        Path page = folder.resolve("page.html");
        CommandOutput r = execute("testbed", "report", page, "--results", folder.resolve("results"));
        assertEquals(r.code, 0, r.err);
        String text = Files.readString(page);
        assertEquals(text.split("<svg", -1).length - 1, 4, "four plots");
        assertTrue(text.contains("simulated MECHANISM") && text.contains("1: SLOW"),
            "results and marked faults");
    }
}
