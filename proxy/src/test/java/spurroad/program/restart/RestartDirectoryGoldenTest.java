package spurroad.program.restart;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.transport.EventLog;

/**
 * Compares the format of the shared directory with files that real processes of commit d32fb29 wrote: this
 * version reads every field of them and writes the same bytes for the same state.
 *
 * <p>{@code alone}: one process, after two endpoints were drained. {@code upgrade}: a process that is
 * shutting down and its successor, after one of the two endpoints was returned to use.
 */
public class RestartDirectoryGoldenTest {
    private static final Path GOLDEN = Path.of("src/test/resources/golden/restart-directory");
    private static final long OLD_PID = 16386;
    private static final long NEW_PID = 16422;
    private static final long READER_PID = 1;
    private static final String S0_HASH = "817cdb195c3fc0d7";
    private static final String S1_HASH = "817cda195c3fbf24";

    private static final ProcessState ALONE = new ProcessState(1796234364292L, 1796234364765L, false, 216,
        Set.of(S0_HASH, S1_HASH));
    private static final ProcessState SHUTTING_DOWN = new ProcessState(1796234364292L, 1796234364765L, true,
        26,
        Set.of(S0_HASH));
    private static final ProcessState SUCCESSOR = new ProcessState(1796234365095L, 1796234365570L, false, 88,
        Set.of(S0_HASH));

    private static Path copy(String name) throws IOException {
        Path copy = Files.createTempDirectory("golden");
        for (String file : names(GOLDEN.resolve(name))) {
            Files.copy(GOLDEN.resolve(name).resolve(file), copy.resolve(file));
        }
        return copy;
    }

    private static Set<String> names(Path directory) throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            return new TreeSet<>(files.map(f -> f.getFileName().toString()).toList());
        }
    }

    private static String golden(String name) throws IOException {
        return new String(Files.readAllBytes(GOLDEN.resolve(name)), StandardCharsets.ISO_8859_1);
    }

    private static HotRestartDirectory directory(Path at, long pid) {
        return new HotRestartDirectory(at, pid, new EventLog());
    }

    private static LiveProcess live(long pid, ProcessState published) {
        return new LiveProcess(pid, Optional.of(published));
    }

    private static StartOrder startOrder(ProcessState state, long pid) {
        return new StartOrder(state.startedAtMillis(), pid);
    }

    /** Locks the file of a process, which counts as live until the returned channel is closed. */
    private static FileChannel lock(Path directory, long pid) throws IOException {
        FileChannel lock = FileChannel.open(directory.resolve(pid + ".lock"), StandardOpenOption.WRITE);
        assertTrue(lock.tryLock().isValid());
        return lock;
    }

    // ---- reading files of an earlier version

    @Test
    public void readsEveryFieldOfASingleProcess() throws Exception {
        Path directory = copy("alone");
        try (FileChannel lock = lock(directory, OLD_PID)) {
            assertEquals(directory(directory, READER_PID).readOtherProcesses(),
                List.of(live(OLD_PID, ALONE)));
        }
    }

    @Test
    public void readsEveryFieldOfTwoProcesses() throws Exception {
        Path directory = copy("upgrade");
        try (FileChannel first = lock(directory, OLD_PID); FileChannel second = lock(directory, NEW_PID)) {
            assertEquals(directory(directory, READER_PID).readOtherProcesses(),
                List.of(live(OLD_PID, SHUTTING_DOWN), live(NEW_PID, SUCCESSOR)));
        }
        assertTrue(live(NEW_PID, SUCCESSOR).isNewerThan(startOrder(SHUTTING_DOWN, OLD_PID)));
        assertTrue(!live(OLD_PID, SHUTTING_DOWN).isNewerThan(startOrder(SUCCESSOR, NEW_PID)));
    }

    @Test
    public void readsDrainedEndpoints() throws Exception {
        PersistedDrains alone = directory(copy("alone"), READER_PID).readDrains();
        assertEquals(alone.endpointIdsByHash(), Map.of(S0_HASH, "s-0", S1_HASH, "s-1"));
        assertEquals(alone.unreadableHashes(), Set.of());
        assertEquals(directory(copy("upgrade"), READER_PID).readDrains().endpointIdsByHash(),
            Map.of(S0_HASH, "s-0"));
    }

    @Test
    public void deletesFilesOfDeadProcessExceptDrainedEndpoints() throws Exception {
        Path directory = copy("upgrade");
        try (FileChannel second = lock(directory, NEW_PID)) {
            assertEquals(directory(directory, READER_PID).readOtherProcesses(),
                List.of(live(NEW_PID, SUCCESSOR)));
        }
        assertEquals(names(directory), Set.of(NEW_PID + ".lock", NEW_PID + ".state", "out-" + S0_HASH));
    }

    @Test
    public void processWithGreaterPidIsNewerWithinSameMillisecond() {
        assertTrue(live(NEW_PID, ALONE).isNewerThan(startOrder(SHUTTING_DOWN, OLD_PID)));
        assertTrue(!live(OLD_PID, ALONE).isNewerThan(startOrder(SHUTTING_DOWN, NEW_PID)));
    }

    // ---- writing the same bytes

    @DataProvider
    Object[][] states() {
        return new Object[][] {{"alone", OLD_PID, ALONE}, {"upgrade", OLD_PID, SHUTTING_DOWN},
            {"upgrade", NEW_PID, SUCCESSOR}};
    }

    @Test(dataProvider = "states")
    public void writesSameBytesForState(String name, long pid, ProcessState state) throws Exception {
        Path directory = Files.createTempDirectory("golden");
        directory(directory, pid).writeState(state);
        assertEquals(names(directory), Set.of(pid + ".state"));
        assertEquals(Files.readAllBytes(directory.resolve(pid + ".state")),
            Files.readAllBytes(GOLDEN.resolve(name).resolve(pid + ".state")));
    }

    @Test
    public void writesSameFilesForDrainedEndpoints() throws Exception {
        Path directory = Files.createTempDirectory("golden").resolve("made");
        HotRestartDirectory shared = directory(directory, OLD_PID);
        shared.join();
        shared.writeState(ALONE);
        shared.writeDrain("s-0", true);
        shared.writeDrain("s-1", true);
        assertEquals(names(directory), names(GOLDEN.resolve("alone")));
        for (String file : names(directory)) {
            assertEquals(Files.readAllBytes(directory.resolve(file)),
                Files.readAllBytes(GOLDEN.resolve("alone").resolve(file)), file);
        }
        shared.writeDrain("s-1", false);
        assertEquals(names(directory), Set.of(OLD_PID + ".lock", OLD_PID + ".state", "out-" + S0_HASH));
        shared.close();
    }

    // ---- malformed files

    @DataProvider
    Object[][] malformedStates() throws IOException {
        String complete = golden("upgrade/" + OLD_PID + ".state");
        List<Object[]> cases = truncations(complete);
        for (String other : List.of(complete.replace("process 1", "process 2"),
            complete.replace("process 1", ""),
            complete.replace("begun ", "born "), complete.replace("serving ", ""),
            complete.replace("places 26", "places 2x"), complete.replace("places 26", "places"),
            complete.replace("places 26", "places 99999999999"), complete + "\n",
            complete.replace("\n", "\r\n"),
            "\n" + complete)) {
            cases.add(new Object[] {other});
        }
        return cases.toArray(Object[][]::new);
    }

    private static List<Object[]> truncations(String complete) {
        List<Object[]> cases = new ArrayList<>();
        for (int length = 0; length < complete.length(); length++) {
            cases.add(new Object[] {complete.substring(0, length)});
        }
        return cases;
    }

    @Test(dataProvider = "malformedStates")
    public void processWithMalformedStateCountsAsLive(String text) throws Exception {
        assertEquals(ProcessStateFormat.decode(text), Optional.empty());
        Path directory = copy("upgrade");
        Files.writeString(directory.resolve(OLD_PID + ".state"), text);
        try (FileChannel first = lock(directory, OLD_PID); FileChannel second = lock(directory, NEW_PID)) {
            assertEquals(directory(directory, READER_PID).readOtherProcesses(),
                List.of(new LiveProcess(OLD_PID, Optional.empty()), live(NEW_PID, SUCCESSOR)),
                "both processes live");
        }
    }

    /** States with fields added, reordered or left out, which must not count as truncated. */
    @DataProvider
    Object[][] readableStates() throws IOException {
        String complete = golden("upgrade/" + OLD_PID + ".state");
        ProcessState noDrains = new ProcessState(1796234364292L, 1796234364765L, true, 26, Set.of());
        ProcessState notShuttingDown = new ProcessState(1796234364292L, 1796234364765L, false, 26,
            Set.of(S0_HASH));
        return new Object[][] {{complete.replace("places", "version 7\nplaces"), SHUTTING_DOWN},
            {complete.replace("places", "alone\nplaces"), SHUTTING_DOWN},
            {complete.replace("ending true\nplaces 26", "places 26\nending true"), SHUTTING_DOWN},
            {complete.replace("places 26", "places 3\nplaces 26"), SHUTTING_DOWN},
            {complete.replace("out " + S0_HASH + "\n", ""), noDrains},
            {complete.replace("out " + S0_HASH, "out "), noDrains}, {complete.replace(S0_HASH, ""), noDrains},
            {complete.replace("out ", "out  "), SHUTTING_DOWN},
            {complete.replace("ending true", "ending yes"), notShuttingDown},
            {complete.replace("ending true\n", ""), notShuttingDown}};
    }

    @Test(dataProvider = "readableStates")
    public void readsStateWithMoreOrFewerFields(String text, ProcessState state) {
        assertEquals(ProcessStateFormat.decode(text), Optional.of(state));
    }

    @DataProvider
    Object[][] malformedDrains() throws IOException {
        String complete = golden("alone/out-" + S0_HASH);
        List<Object[]> cases = truncations(complete);
        for (String other : List.of(complete.replace("out 1", "out 2"), complete.replace("s-0", "s-1"),
            complete.replace("s-0", "s-0 "), complete + "s-1\n", complete + "\n",
            complete.replace("\n", "\r\n"))) {
            cases.add(new Object[] {other});
        }
        return cases.toArray(Object[][]::new);
    }

    /** A malformed file means neither that its endpoint is drained nor that it was returned to use. */
    @Test(dataProvider = "malformedDrains")
    public void malformedDrainFileIsUnreadable(String text) throws Exception {
        Path directory = copy("alone");
        Files.writeString(directory.resolve("out-" + S0_HASH), text);
        PersistedDrains drains = directory(directory, READER_PID).readDrains();
        assertEquals(drains.endpointIdsByHash(), Map.of(S1_HASH, "s-1"));
        assertEquals(drains.unreadableHashes(), Set.of(S0_HASH));
    }

    @DataProvider
    Object[][] otherNames() {
        return new Object[][] {{"out-77", Set.of("77")}, {"out-" + S0_HASH + ".3.part", Set.of()},
            {"Out-" + S0_HASH, Set.of()}, {"in-" + S0_HASH, Set.of()}, {"out-", Set.of("")}};
    }

    @Test(dataProvider = "otherNames")
    public void drainFileWithOtherNameDrainsNothing(String name, Set<String> unreadable) throws Exception {
        Path directory = Files.createTempDirectory("golden");
        Files.copy(GOLDEN.resolve("alone/out-" + S0_HASH), directory.resolve(name));
        PersistedDrains drains = directory(directory, READER_PID).readDrains();
        assertEquals(drains.endpointIdsByHash(), Map.of());
        assertEquals(drains.unreadableHashes(), unreadable);
    }
}
