import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import javax.xml.parsers.DocumentBuilderFactory;
import org.w3c.dom.Element;
import org.w3c.dom.NodeList;

/**
 * Reads the list of tests that are known to fail and evaluates Surefire's reports against it.
 *
 * <pre>
 * java .ci/KnownRed.java list ROOT    checks ROOT/KNOWN-RED.txt and prints its tests
 * java .ci/KnownRed.java judge ROOT   evaluates the reports of all modules below ROOT
 * </pre>
 *
 * <p>Exit code 0: all failures are listed, and each listed test exists; 1: something else failed or did not
 * run; 2: the list or the arguments are malformed.
 */
final class KnownRed {
    private static final String LIST_NAME = "KNOWN-RED.txt";
    private static final Pattern ENTRY = Pattern.compile(
        "(?<test>[\\w.$]+#\\w+)\\s*,\\s*(?<command>[^,\\s][^,]*?)\\s*,\\s*(?<seen>\\S.*?)\\s*,"
            + "\\s*(?<issue>[^,\\s][^,]*)");
    private static final Pattern TEST_SOURCE = Pattern.compile(".*(Test|Properties)\\.java");

    /** Outcome of a test, from best to worst; a test with several data rows has the worst outcome of them. */
    private enum Outcome {
        PASSED, SKIPPED, FAILED
    }

    /**
     * An entry of the list.
     *
     * @param test name in the form {@code fully.qualified.Class#method}
     * @param command command that reproduces the failure, with its seed; contains no comma
     * @param observedFailure how the test was seen to fail
     * @param issue issue that tracks the fix
     */
    private record Entry(String test, String command, String observedFailure, String issue) {
        @Override
        public String toString() {
            return test + ": " + observedFailure + " (" + command + "; " + issue + ")";
        }
    }

    /** Thrown if the list is malformed. */
    private static final class MalformedListException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedListException(String message) {
            super(message);
        }
    }

    private KnownRed() {}

    public static void main(String[] arguments) throws Exception {
        System.exit(run(arguments, System.out));
    }

    /** Runs the program with command line arguments; prints to {@code out} and returns the exit code. */
    static int run(String[] arguments, PrintStream out) throws Exception {
        if (arguments.length != 2 || !arguments[0].matches("list|judge")) {
            out.println("usage: java .ci/KnownRed.java list|judge ROOT");
            return 2;
        }
        Path root = Path.of(arguments[1]);
        try {
            List<Entry> entries = readList(root.resolve(LIST_NAME));
            if (arguments[0].equals("judge")) {
                return evaluate(entries, readReports(root), testClasses(root), out) ? 0 : 1;
            }
            entries.forEach(out::println);
            return 0;
        } catch (MalformedListException e) {
            out.println(LIST_NAME + ": " + e.getMessage());
            return 2;
        }
    }

    private static List<Entry> readList(Path file) throws IOException, MalformedListException {
        Map<String, Entry> entries = new LinkedHashMap<>();
        for (String line : Files.exists(file) ? Files.readAllLines(file) : List.<String>of()) {
            String text = line.strip();
            if (text.isEmpty() || text.startsWith("#")) {
                continue;
            }
            Matcher parts = ENTRY.matcher(text);
            if (!parts.matches()) {
                throw new MalformedListException(
                    "expected `package.Class#method, command and seed, what was seen, issue`: " + text);
            }
            Entry entry = new Entry(parts.group("test"), parts.group("command"), parts.group("seen"),
                parts.group("issue"));
            if (entries.put(entry.test, entry) != null) {
                throw new MalformedListException("listed twice: " + entry.test);
            }
        }
        return List.copyOf(entries.values());
    }

    /** Returns the outcome of each test, by its name, from the reports of all modules. */
    private static Map<String, Outcome> readReports(Path root) throws Exception {
        Map<String, Outcome> outcomes = new TreeMap<>();
        for (Path report : find(root, "*/target/surefire-reports/TEST-*.xml")) {
            Element suite = DocumentBuilderFactory.newInstance().newDocumentBuilder().parse(report.toFile())
                .getDocumentElement();
            NodeList cases = suite.getElementsByTagName("testcase");
            for (int i = 0; i < cases.getLength(); i++) {
                Element testCase = (Element) cases.item(i);
                outcomes.merge(testName(suite, testCase), outcome(testCase), KnownRed::worseOf);
            }
        }
        return outcomes;
    }

    /** Strips the data row from a test name; jqwik's reports give the package only in the suite name. */
    private static String testName(Element suite, Element testCase) {
        String suiteName = suite.getAttribute("name");
        String className = testCase.getAttribute("classname");
        String fullName = suiteName.endsWith("." + className) ? suiteName : className;
        return fullName + "#" + testCase.getAttribute("name").replaceFirst("[^\\w$].*", "");
    }

    private static Outcome outcome(Element testCase) {
        if (hasChild(testCase, "failure") || hasChild(testCase, "error")) {
            return Outcome.FAILED;
        }
        return hasChild(testCase, "skipped") ? Outcome.SKIPPED : Outcome.PASSED;
    }

    private static boolean hasChild(Element element, String name) {
        return element.getElementsByTagName(name).getLength() > 0;
    }

    private static Outcome worseOf(Outcome first, Outcome second) {
        return first.compareTo(second) > 0 ? first : second;
    }

    /** Returns the classes whose names Surefire recognises as tests. */
    private static List<String> testClasses(Path root) throws IOException {
        List<String> classes = new ArrayList<>();
        for (Path source : find(root, "*/src/test/java/**.java")) {
            if (TEST_SOURCE.matcher(source.toString()).matches()) {
                Path relativePath = root.relativize(source);
                String name = relativePath.subpath(4, relativePath.getNameCount()).toString();
                classes.add(name.replaceFirst("\\.java$", "").replace('/', '.'));
            }
        }
        return classes;
    }

    private static List<Path> find(Path root, String glob) throws IOException {
        var matcher = root.getFileSystem().getPathMatcher("glob:" + glob);
        try (Stream<Path> files = Files.walk(root)) {
            return files.filter(file -> matcher.matches(root.relativize(file))).sorted().toList();
        }
    }

    private static boolean evaluate(List<Entry> entries, Map<String, Outcome> outcomes, List<String> classes,
                                    PrintStream out) {
        List<String> errors = new ArrayList<>();
        TreeSet<String> unlisted = new TreeSet<>(outcomes.keySet());
        for (Entry entry : entries) {
            unlisted.remove(entry.test);
            Outcome outcome = outcomes.get(entry.test);
            if (outcome == null) {
                errors.add("listed, but there is no such test: " + entry);
            } else {
                switch (outcome) {
                    case FAILED -> out.println("known red, passed over: " + entry);
                    case PASSED -> out.println("passes, can be taken off " + LIST_NAME + ": " + entry);
                    case SKIPPED -> errors.add("listed, but was skipped: " + entry);
                }
            }
        }
        unlisted.removeIf(test -> outcomes.get(test) != Outcome.FAILED);
        unlisted.forEach(test -> errors.add("failed: " + test));
        // Surefire does not fail on a forked JVM that timed out if test failures are ignored
        classes.stream().filter(name -> outcomes.keySet().stream().noneMatch(t -> t.startsWith(name + "#")))
            .forEach(name -> errors.add("left no report: " + name));
        errors.forEach(out::println);
        return errors.isEmpty();
    }
}
