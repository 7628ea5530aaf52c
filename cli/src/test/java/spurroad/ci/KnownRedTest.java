package spurroad.ci;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.reflect.Method;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import javax.tools.ToolProvider;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests how CI evaluates failures, given KNOWN-RED.txt and reports in the format of Surefire. */
public class KnownRedTest {
    private static final long MAX_RUN_SECONDS = 60;
    private static final Path KNOWN_RED_SOURCE = Path.of("..", ".ci", "KnownRed.java");
    private static final Path CI_RUN = Path.of("..", ".ci", "run");
    private static final String LISTED = "a.OneTest#red, mvn test seed 5, answers twice, issue 7\n";
    private static final String PASSED = testCase("red", "");
    private static final String FAILED = testCase("red",
        "<failure message=\"expected &lt;testcase name='b'/>\"><![CDATA[<testcase name='c'/>]]></failure>");
    private static final String ERROR = testCase("other", "<error type=\"java.io.IOException\"/>");
    private static final String SKIPPED = testCase("red", "<skipped/>");

    private Path root;
    private Method runMethod;

    private record Run(int exitCode, String output) {}

    /**
     * Compiles the program once to call it in this process; a process per case takes about ten times as long.
     */
    @BeforeClass
    public void compile() throws Exception {
        Path compiled = Files.createTempDirectory("known-red-classes");
        assertEquals(ToolProvider.getSystemJavaCompiler().run(null, null, null, "-Xlint:all", "-Werror", "-d",
            compiled.toString(), KNOWN_RED_SOURCE.toString()), 0);
        URLClassLoader loader = new URLClassLoader(new URL[] {compiled.toUri().toURL()});
        runMethod = loader.loadClass("KnownRed").getDeclaredMethod("run", String[].class, PrintStream.class);
        runMethod.setAccessible(true);
    }

    /**
     * Creates a root with one module of two test classes: one passes, the other gets the reports of the case.
     */
    @BeforeMethod
    public void createRoot() throws IOException {
        root = Files.createTempDirectory("known-red-test");
        write("one/src/test/java/a/OneTest.java", "");
        write("one/src/test/java/a/SomeProperties.java", "");
        writeReport("SomeProperties", "a.SomeProperties",
            "<testcase name=\"holds\" classname=\"SomeProperties\"/>");
    }

    private static String testCase(String method, String children) {
        return "<testcase name=\"" + method + "[a, ]&gt;](1)\" classname=\"a.OneTest\">" + children
            + "</testcase>"
            + "<testcase name=\"" + method + "[b](2)\" classname=\"a.OneTest\"/>";
    }

    private void writeReport(String file, String suite, String cases) throws IOException {
        write("one/target/surefire-reports/TEST-" + file + ".xml",
            "<?xml version=\"1.0\"?><testsuite name=\"" + suite + "\">" + cases + "</testsuite>");
    }

    private Path write(String name, String text) throws IOException {
        Path file = root.resolve(name);
        Files.createDirectories(file.getParent());
        return Files.writeString(file, text);
    }

    private static Run run(ProcessBuilder builder) throws Exception {
        Path output = Files.createTempFile("known-red-test", ".out");
        Process process = builder.redirectErrorStream(true).redirectOutput(output.toFile()).start();
        try {
            assertTrue(process.waitFor(MAX_RUN_SECONDS, TimeUnit.SECONDS), "still running");
            return new Run(process.exitValue(), Files.readString(output));
        } finally {
            process.destroyForcibly();
        }
    }

    private Run runKnownRed(String action) throws Exception {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        PrintStream out = new PrintStream(output, true, StandardCharsets.UTF_8);
        int exitCode = (int) runMethod.invoke(null, new String[] {action, root.toString()}, out);
        return new Run(exitCode, output.toString(StandardCharsets.UTF_8));
    }

    /** Rows: the list, the test cases in the reports, the exit code and the expected output. */
    @DataProvider
    public Object[][] evaluations() {
        return new Object[][] {{"", PASSED, 0, ""}, {"# none\n\n", PASSED, 0, ""},
            {"", FAILED, 1, "failed: a.OneTest#red"},
            {LISTED, FAILED, 0, "known red, passed over: a.OneTest#red"},
            {LISTED, PASSED, 0, "passes, can be taken off KNOWN-RED.txt: a.OneTest#red"},
            {LISTED, FAILED + ERROR, 1, "failed: a.OneTest#other"},
            {LISTED, ERROR.replace("error", "ignored"), 1,
                "listed, but there is no such test: a.OneTest#red"},
            {LISTED, SKIPPED, 1, "listed, but was skipped: a.OneTest#red"},
            {LISTED, "", 1, "left no report: a.OneTest"}};
    }

    @Test(dataProvider = "evaluations")
    public void ignoresOnlyListedFailures(String list, String cases, int expectedExitCode,
                                          String expectedOutput)
        throws Exception {
        write("KNOWN-RED.txt", list);
        writeReport("TestSuite", "TestSuite", cases);
        Run evaluation = runKnownRed("judge");
        assertEquals(evaluation.exitCode, expectedExitCode, evaluation.output);
        assertTrue(evaluation.output.contains(expectedOutput), evaluation.output);
    }

    @Test
    public void matchesPropertiesByFullName() throws Exception {
        write("KNOWN-RED.txt", "a.SomeProperties#holds, mvn test seed 5, fails, issue 7\n");
        writeReport("TestSuite", "TestSuite", PASSED);
        Run evaluation = runKnownRed("judge");
        assertEquals(evaluation.exitCode, 0, evaluation.output);
        assertTrue(evaluation.output.contains("can be taken off"), evaluation.output);
    }

    /** Rows: the list, the exit code and the expected output. */
    @DataProvider
    public Object[][] lists() {
        String four = "a.T#a, m, b, c\na.T#d, m, b, c\na.T#e, m, b, c\na.T#f, m, b, c\n";
        return new Object[][] {
            {"# comment\n\n" + LISTED, 0, "a.OneTest#red: answers twice (mvn test seed 5; issue 7)"},
            {"a.T#a, m 5, here, there, 8\n", 0, "a.T#a: here, there (m 5; 8)"}, {four, 0, "a.T#f: b (m; c)"},
            {LISTED + LISTED, 2, "listed twice: a.OneTest#red"},
            {LISTED + "a.OneTest#other, answers twice, issue 7\n", 2, "a.OneTest#other, answers twice"},
            {"a.OneTest#red, issue 7\n", 2, "expected"}, {"a.OneTest, m, cause, 7\n", 2, "expected"},
            {"a.OneTest#red, m, cause,\n", 2, "expected"}, {"a.OneTest#red, m, , 7\n", 2, "expected"},
            {"a.OneTest#red, , cause, 7\n", 2, "expected"}};
    }

    @Test(dataProvider = "lists")
    public void acceptsValidListsAndRejectsMalformedOnes(String list, int expectedExitCode,
                                                         String expectedOutput)
        throws Exception {
        write("KNOWN-RED.txt", list);
        Run read = runKnownRed("list");
        assertEquals(read.exitCode, expectedExitCode, read.output);
        assertTrue(read.output.contains(expectedOutput), read.output);
    }

    /**
     * Rows: the list or null for none, the exit code of Maven, the arguments of Maven or null if it must not
     * be called, and the exit code of the run. Maven reports one failed test.
     */
    @DataProvider
    public Object[][] runs() {
        String ignoring = "-B verify -Dmaven.test.failure.ignore=true";
        return new Object[][] {{null, 1, "-B verify", 1},
            {"# none\n", 0, "-B verify", 0},
            {LISTED, 0, ignoring, 0}, {LISTED, 1, ignoring, 1},
            {LISTED.replace("red", "other"), 0, ignoring, 1}, {"a.OneTest", 0, null, 2}};
    }

    @Test(dataProvider = "runs")
    public void ciIgnoresTestFailuresOnlyIfTestsAreListed(String list, int mavenCode,
                                                          String expectedArguments, int expectedExitCode)
        throws Exception {
        if (list != null) {
            write("KNOWN-RED.txt", list);
        }
        Files.copy(CI_RUN, write(".ci/x", "").resolveSibling("run"));
        Files.copy(KNOWN_RED_SOURCE, root.resolve(".ci/KnownRed.java"));
        writeReport("Stale", "TestSuite", ERROR);
        writeReport("TestSuite", "TestSuite", FAILED);
        Files.move(root.resolve("one/target/surefire-reports/TEST-TestSuite.xml"), root.resolve("new.xml"));
        Files.move(root.resolve("one/target/surefire-reports/TEST-SomeProperties.xml"),
            root.resolve("new2.xml"));
        Path maven = write("bin/mvn",
            "#!/bin/sh\necho \"$@\" > called\nmkdir -p one/target/surefire-reports\n"
                + "cp new.xml one/target/surefire-reports/TEST-TestSuite.xml\n"
                + "cp new2.xml one/target/surefire-reports/TEST-SomeProperties.xml\nexit " + mavenCode
                + "\n");
        assertTrue(maven.toFile().setExecutable(true));
        ProcessBuilder ci = new ProcessBuilder(List.of("bash", root.resolve(".ci/run").toString()));
        ci.environment().merge("PATH", maven.getParent().toString(), (path, first) -> first + ":" + path);
        Run run = run(ci);
        assertEquals(run.exitCode, expectedExitCode, run.output);
        Path argumentsFile = root.resolve("called");
        assertEquals(Files.exists(argumentsFile) ? Files.readString(argumentsFile).strip() : null,
            expectedArguments);
        assertTrue(
            expectedArguments != null || run.output
                .contains("expected `package.Class#method, command and seed, what was seen, issue`"),
            run.output);
    }
}
