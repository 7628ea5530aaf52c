package spurroad.program.restart;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import spurroad.transport.EventLog;

/** Tests one process among others whose lock and state files the test writes. */
public class ProcessMembershipTest {
    private static final long PID = 50;
    private static final long OTHER_PID = 60;
    private static final long EARLIER_MILLIS = 1_000;
    private static final long LATER_MILLIS = 4_102_444_800_000L; // later than the clock of a test
    private static final int DESCRIPTORS = 30;

    private final Map<Long, FileChannel> locks = new HashMap<>();
    private Path path;
    private HotRestartDirectory directory;

    @BeforeMethod
    void createDirectory() throws IOException {
        path = Files.createTempDirectory("membership");
        directory = new HotRestartDirectory(path, PID, new EventLog());
    }

    @AfterMethod(alwaysRun = true)
    void releaseLocks() throws IOException {
        directory.close();
        for (FileChannel lock : locks.values()) {
            lock.close();
        }
        locks.clear();
    }

    private ProcessMembership join() throws InterruptedException {
        return ProcessMembership.join(directory, PID, new EventLog());
    }

    private void startOther(long pid, ProcessState published) throws IOException {
        FileChannel lock = FileChannel.open(path.resolve(pid + ".lock"), StandardOpenOption.CREATE,
            StandardOpenOption.WRITE);
        assertTrue(lock.tryLock().isValid());
        locks.put(pid, lock);
        Files.writeString(path.resolve(pid + ".state"), ProcessStateFormat.encode(published));
    }

    private static ProcessState starting(long startedAtMillis) {
        return new ProcessState(startedAtMillis, ProcessState.NOT_SERVING_YET, false, DESCRIPTORS, Set.of());
    }

    private static ProcessState serving(long startedAtMillis) {
        return new ProcessState(startedAtMillis, startedAtMillis, false, DESCRIPTORS, Set.of());
    }

    private static ProcessState shuttingDown(long startedAtMillis) {
        return new ProcessState(startedAtMillis, startedAtMillis, true, DESCRIPTORS, Set.of());
    }

    private ProcessState published() throws IOException {
        return ProcessStateFormat.decode(Files.readString(path.resolve(PID + ".state"))).orElseThrow();
    }

    @Test
    public void processWithoutOthersIsAlone() throws Exception {
        ProcessMembership membership = join();
        assertEquals(membership.role(), UpgradeRole.ALONE);
        assertFalse(membership.isAnotherServing());
    }

    @Test
    public void laterProcessIsNewestAndSeesThatAnotherServes() throws Exception {
        startOther(OTHER_PID, serving(EARLIER_MILLIS));
        ProcessMembership membership = join();
        membership.refresh();
        assertEquals(membership.role(), UpgradeRole.NEWEST);
        assertTrue(membership.isAnotherServing());
        assertFalse(membership.isSuccessorServing());
    }

    @Test
    public void startTimeIsLaterThanThatOfOthersWhateverTheClock() throws Exception {
        startOther(OTHER_PID, serving(LATER_MILLIS));
        ProcessMembership membership = join();
        membership.beginServing();
        membership.publish(DESCRIPTORS, Set.of());
        assertEquals(published(), serving(LATER_MILLIS + 1));
        assertEquals(membership.role(), UpgradeRole.NEWEST);
    }

    @Test
    public void roleFollowsTheSuccessor() throws Exception {
        ProcessMembership membership = join();
        startOther(OTHER_PID, starting(LATER_MILLIS));
        membership.refresh();
        assertEquals(membership.role(), UpgradeRole.SUCCESSOR_NOT_READY);
        assertFalse(membership.isAnotherServing());
        Files.writeString(path.resolve(OTHER_PID + ".state"),
            ProcessStateFormat.encode(serving(LATER_MILLIS)));
        membership.refresh();
        assertEquals(membership.role(), UpgradeRole.SUCCESSOR_SERVING);
        assertTrue(membership.isSuccessorServing());
        membership.beginShutdown();
        assertEquals(membership.role(), UpgradeRole.SHUTTING_DOWN);
        locks.remove(OTHER_PID).close();
        membership.refresh();
        assertEquals(membership.role(), UpgradeRole.ALONE);
        assertFalse(membership.isSuccessorServing());
    }

    @Test
    public void newestProcessStaysNewestWhileShuttingDown() throws Exception {
        startOther(OTHER_PID, serving(EARLIER_MILLIS));
        ProcessMembership membership = join();
        membership.beginShutdown();
        assertEquals(membership.role(), UpgradeRole.NEWEST);
    }

    @Test
    public void successorThatIsShuttingDownDoesNotTakeOver() throws Exception {
        ProcessMembership membership = join();
        startOther(OTHER_PID, shuttingDown(LATER_MILLIS));
        membership.refresh();
        assertFalse(membership.isSuccessorServing());
        assertTrue(membership.isAnotherServing());
        assertEquals(membership.role(), UpgradeRole.SUCCESSOR_NOT_READY);
    }

    @Test
    public void processWithoutReadableStateIsLiveButNotNewer() throws Exception {
        startOther(OTHER_PID, serving(LATER_MILLIS));
        Files.writeString(path.resolve(OTHER_PID + ".state"), "cut sh");
        ProcessMembership membership = join();
        assertEquals(membership.others(), List.of(new LiveProcess(OTHER_PID, Optional.empty())));
        assertEquals(membership.role(), UpgradeRole.NEWEST);
        assertFalse(membership.isAnotherServing());
    }

    @Test
    public void doesNotRewriteUnchangedState() throws Exception {
        ProcessMembership membership = join();
        membership.publish(DESCRIPTORS, Set.of("a1"));
        Files.delete(path.resolve(PID + ".state"));
        membership.publish(DESCRIPTORS, Set.of("a1"));
        assertFalse(Files.exists(path.resolve(PID + ".state")));
        membership.publish(DESCRIPTORS + 1, Set.of("a1"));
        assertEquals(published().descriptors(), DESCRIPTORS + 1);
    }

    @Test
    public void retriesFailedWriteOfStateAtNextPublish() throws Exception {
        ProcessMembership membership = join();
        Path obstacle = Files.createDirectory(path.resolve(PID + ".state." + PID + ".part"));
        membership.publish(DESCRIPTORS, Set.of());
        assertFalse(Files.exists(path.resolve(PID + ".state")));
        Files.delete(obstacle);
        membership.publish(DESCRIPTORS, Set.of());
        assertEquals(published().descriptors(), DESCRIPTORS);
    }

    @Test
    public void keepsLastKnownProcessesWhileDirectoryIsUnreadable() throws Exception {
        startOther(OTHER_PID, serving(EARLIER_MILLIS));
        ProcessMembership membership = join();
        Path moved = path.resolveSibling(path.getFileName() + "-moved");
        Files.move(path, moved);
        try {
            membership.refresh();
            throw new AssertionError("expected an IOException for the missing directory");
        } catch (IOException expected) {
            assertEquals(membership.others(),
                List.of(new LiveProcess(OTHER_PID, Optional.of(serving(EARLIER_MILLIS)))));
        } finally {
            Files.move(moved, path);
        }
    }

    @Test
    public void processWithGreaterPidIsNewerWithinSameMillisecond() {
        StartOrder order = new StartOrder(EARLIER_MILLIS, PID);
        assertTrue(new StartOrder(EARLIER_MILLIS, PID + 1).isAfter(order));
        assertFalse(new StartOrder(EARLIER_MILLIS, PID - 1).isAfter(order));
        assertFalse(order.isAfter(order));
        assertTrue(new StartOrder(EARLIER_MILLIS + 1, PID - 1).isAfter(order));
    }
}
