package spurroad.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.testng.annotations.Test;

/** The deploy file has the expected keys, well-formed values, and names only existing files. */
public class DeployFileFormTest {
    private static final Path ROOT = root();
    private static final Path FILE = ROOT.resolve("deploy/balancer.toml");
    private static final Pattern ENTRY = Pattern.compile("(\\S+) = (.+)");
    private static final Pattern LIST_LINE = Pattern.compile(" {4}\"[^\"]+\",");
    private static final Pattern QUOTED = Pattern.compile("\"([^\"]*)\"");

    /** Returns the directory that holds the deploy file: the working directory or the nearest parent. */
    private static Path root() {
        Path directory = Path.of("").toAbsolutePath();
        while (!Files.exists(directory.resolve("deploy/balancer.toml"))) {
            directory = directory.getParent();
        }
        return directory;
    }

    private static Map<String, String> entries() throws IOException {
        Map<String, String> entries = new TreeMap<>();
        Iterator<String> lines = Files.readAllLines(FILE).iterator();
        while (lines.hasNext()) {
            String line = lines.next();
            if (line.startsWith("#") || line.isBlank()) {
                continue;
            }
            Matcher entry = ENTRY.matcher(line);
            assertTrue(entry.matches(), "not an entry: " + line);
            String value = entry.group(2).equals("[") ? "[" + restOfList(lines) : entry.group(2);
            entries.put(entry.group(1), value);
        }
        return entries;
    }

    /**
     * Reads a multi-line list up to its closing bracket; each line must have one quoted text and a comma.
     */
    private static String restOfList(Iterator<String> lines) {
        StringBuilder list = new StringBuilder();
        while (lines.hasNext()) {
            String line = lines.next();
            if (line.equals("]")) {
                return list + "]";
            }
            assertTrue(LIST_LINE.matcher(line).matches(), "not a line of a list: " + line);
            list.append(line.strip());
        }
        throw new AssertionError("a list has no end: " + list);
    }

    private static List<String> listed(String key) throws IOException {
        String value = entries().get(key);
        assertTrue(value.matches("\\[.*\\]"), key + " is not a list: " + value);
        List<String> listed = new ArrayList<>();
        Matcher quoted = QUOTED.matcher(value);
        while (quoted.find()) {
            listed.add(quoted.group(1));
        }
        return listed;
    }

    @Test
    public void hasExactlyExpectedKeys() throws IOException {
        assertEquals(entries().keySet(), Set.of("build", "run", "node", "sim", "policy", "packages"));
        assertEquals(listed("packages"), List.of());
    }

    @Test
    public void namesReadablePolicyFiles() throws IOException {
        List<String> files = listed("policy");
        assertFalse(files.isEmpty());
        files.forEach(file -> assertTrue(Files.isReadable(ROOT.resolve(file)), file));
    }

    @Test
    public void namesExistingNodePaths() throws IOException {
        List<String> paths = listed("node");
        assertFalse(paths.isEmpty());
        paths.forEach(path -> assertTrue(Files.exists(ROOT.resolve(path)), path));
    }

    /** Each command must be one text, so that the shell gets the whole command. */
    @Test
    public void quotesEachCommandAsOneText() throws IOException {
        for (String key : List.of("build", "run", "sim")) {
            assertTrue(QUOTED.matcher(entries().get(key)).matches(), key);
        }
    }

    @Test
    public void startsProxyAndSimulatorAdapterBySubcommand() throws IOException {
        assertTrue(entries().get("run").endsWith(" -jar proxy/target/spurroad.jar serve\""));
        assertTrue(entries().get("sim").endsWith(" -jar proxy/target/spurroad.jar simulator\""));
    }
}
