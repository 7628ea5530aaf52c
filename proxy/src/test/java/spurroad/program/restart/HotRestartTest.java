package spurroad.program.restart;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.transport.EventLog;

/**
 * Tests processes of one proxy that share a directory, each with its own thread. UpgradeTest covers processes
 * with sockets.
 */
public class HotRestartTest {
    private static final int TOTAL = 200; // descriptors
    private static final int RESERVED = 40; // descriptors of each process
    private static final int SHARED = TOTAL - RESERVED; // available to two processes together
    private static final long TIMEOUT_SECONDS = 10;
    private static final long CONDITION_POLL_MILLIS = 10;
    private static final long HOUR_MILLIS = 3_600_000;

    private final List<FakeProcess> started = new ArrayList<>();
    private Path directory;

    /** A process that knows the endpoints whose ids begin with {@code s-} and records the calls it gets. */
    private static final class FakeProcess implements HotRestart.ProcessControl {
        private final Set<String> drained = new ConcurrentSkipListSet<>();
        private final AtomicInteger polls = new AtomicInteger();
        private volatile int descriptorLimit;
        private volatile int descriptorsInUse;
        private final HotRestart hotRestart;

        private FakeProcess(Path directory, long pid) throws InterruptedException {
            hotRestart = new HotRestart(directory, pid, TOTAL, RESERVED, new EventLog());
        }

        @Override
        public void setDrained(String endpointId, boolean drain, boolean knownElsewhere,
                               Consumer<Boolean> onResult) {
            boolean isKnown = knownElsewhere || endpointId.startsWith("s-");
            if (isKnown && drain) {
                drained.add(endpointId);
            } else if (isKnown) {
                drained.remove(endpointId);
            }
            onResult.accept(isKnown);
        }

        @Override
        public int descriptorsInUse() {
            return descriptorsInUse;
        }

        @Override
        public void setDescriptorLimit(int limit) {
            descriptorLimit = limit;
            polls.incrementAndGet();
        }

        private BlockingQueue<Boolean> call(String endpointId, boolean drain) {
            BlockingQueue<Boolean> answer = new LinkedBlockingQueue<>();
            hotRestart.setAdminDrain(endpointId, drain, () -> {}, answer::add);
            return answer;
        }

        private Boolean drain(String endpointId) throws InterruptedException {
            return call(endpointId, true).poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }

        private Boolean undrain(String endpointId) throws InterruptedException {
            return call(endpointId, false).poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }

        /** Waits until two polls have ended; the first of them may have begun before this call. */
        private void awaitTwoPolls() throws InterruptedException {
            int expectedPolls = polls.get() + 3;
            await(() -> polls.get() >= expectedPolls);
        }
    }

    @BeforeMethod
    void createDirectoryName() throws IOException {
        directory = Files.createTempDirectory("hot-restart").resolve("spurroad-n1");
    }

    @AfterMethod(alwaysRun = true)
    void stopProcesses() {
        started.forEach(process -> process.hotRestart.stop());
        started.clear();
    }

    private FakeProcess startServing(long pid) throws InterruptedException {
        return startServing(new FakeProcess(directory, pid));
    }

    private FakeProcess startServing(FakeProcess process) throws InterruptedException {
        process.hotRestart.startServing(process);
        new Thread(process.hotRestart).start();
        started.add(process);
        return process;
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!condition.getAsBoolean() && System.nanoTime() < deadline) {
            Thread.sleep(CONDITION_POLL_MILLIS);
        }
        assertTrue(condition.getAsBoolean());
    }

    private Path drainFile(String endpointId) {
        return directory.resolve("out-" + AdminDrainFormat.endpointHash(endpointId));
    }

    // ---- upgrades

    @Test
    public void drainOutlivesProcessThatPersistedIt() throws Exception {
        FakeProcess first = startServing(1);
        assertEquals(first.drain("x"), Boolean.FALSE, "endpoint was never listed");
        assertEquals(first.drain("s-1"), Boolean.TRUE);
        assertEquals(first.drain("s-1"), Boolean.TRUE);
        assertEquals(first.drain("s-2"), Boolean.TRUE);
        assertEquals(first.undrain("s-2"), Boolean.TRUE);
        first.hotRestart.stop();
        FakeProcess second = startServing(2);
        assertEquals(second.drained, Set.of("s-1"), "while the first process may still live");
        await(() -> second.descriptorLimit == TOTAL);
        assertEquals(second.undrain("s-1"), Boolean.TRUE);
        second.hotRestart.stop();
        assertEquals(startServing(3).drained, Set.of());
    }

    @Test
    public void ignoresMalformedAndLeftoverFiles() throws Exception {
        FakeProcess process = startServing(2);
        assertEquals(process.drain("s-1"), Boolean.TRUE);
        Files.writeString(directory.resolve("out-77"), "spurroad-out 1\ns-3\n"); // hash of another endpoint
        Files.writeString(drainFile("s-4"), "spurroad-out 1\ns-4"); // truncated
        Files.writeString(directory.resolve("5.state"), "begun"); // without a lock file
        Files.writeString(directory.resolve("6.lock"), ""); // of a process that was killed
        process.awaitTwoPolls();
        assertEquals(process.drained, Set.of("s-1"));
        assertEquals(process.descriptorLimit, TOTAL, "no other process lives");
        assertEquals(process.undrain("s-1"), Boolean.TRUE);
        process.hotRestart.stop();
        assertEquals(startServing(3).drained, Set.of());
    }

    @Test
    public void processesShareDrainsAndDescriptors() throws Exception {
        FakeProcess old = startServing(1);
        old.descriptorsInUse = 30;
        FakeProcess successor = new FakeProcess(directory, 2);
        await(() -> old.descriptorLimit == SHARED * 3 / 4);
        assertFalse(old.hotRestart.isSuccessorServing(), "the successor does not serve yet");
        assertEquals(old.drain("s-1"), Boolean.TRUE, "a starting process need not confirm");
        startServing(successor);
        assertEquals(successor.drained, Set.of("s-1"));
        await(() -> old.hotRestart.isSuccessorServing() && old.descriptorLimit == SHARED / 2);
        assertTrue(old.descriptorLimit + successor.descriptorLimit <= SHARED,
            old.descriptorLimit + " and " + successor.descriptorLimit);
        assertEquals(successor.drain("s-2"), Boolean.TRUE);
        assertEquals(old.drained, Set.of("s-1", "s-2"), "confirmed only once both have applied it");
        assertEquals(old.undrain("s-2"), Boolean.TRUE);
        assertEquals(successor.drained, Set.of("s-1"));
        old.hotRestart.startShutdown();
        await(() -> old.descriptorLimit < SHARED / 2 && successor.descriptorLimit > SHARED / 2);
        assertTrue(old.descriptorLimit >= old.descriptorsInUse
            && old.descriptorLimit + successor.descriptorLimit <= SHARED);
        old.descriptorsInUse = 130; // over its limit; the successor must leave it these
        await(() -> successor.descriptorLimit == SHARED - 130);
        old.hotRestart.stop();
        await(() -> successor.descriptorLimit == TOTAL);
        assertFalse(successor.hotRestart.isSuccessorServing());
    }

    @Test
    public void oldProcessServesAloneAfterSuccessorDies() throws Exception {
        FakeProcess old = startServing(1);
        FakeProcess successor = startServing(2);
        await(old.hotRestart::isSuccessorServing);
        successor.hotRestart.stop();
        await(() -> !old.hotRestart.isSuccessorServing() && old.descriptorLimit == TOTAL);
        assertEquals(old.drain("s-1"), Boolean.TRUE);
    }

    @Test
    public void laterProcessIsSuccessorThoughClockWasSetBack() throws Exception {
        Files.createDirectories(directory);
        long later = System.currentTimeMillis() + HOUR_MILLIS;
        try (FileChannel lock = FileChannel.open(directory.resolve("1.lock"), StandardOpenOption.CREATE,
            StandardOpenOption.WRITE)) {
            assertTrue(lock.tryLock().isValid());
            ProcessState before = new ProcessState(later, later, false, 30, Set.of());
            Files.writeString(directory.resolve("1.state"), ProcessStateFormat.encode(before));
            FakeProcess successor = startServing(2);
            await(() -> successor.descriptorLimit == SHARED - 30);
            ProcessState published = ProcessStateFormat
                .decode(Files.readString(directory.resolve("2.state"))).orElseThrow();
            assertTrue(new StartOrder(published.startedAtMillis(), 2).isAfter(new StartOrder(later, 1)),
                "the earlier process would count as the newer one");
        }
    }

    // ---- files that temporarily can't be written or read, as a directory has their name

    private static Path obstruct(Path file) throws IOException {
        return Files.createDirectories(file.resolve("in the way"));
    }

    private static void clear(Path obstacle) throws IOException {
        Files.delete(obstacle);
        Files.delete(obstacle.getParent());
    }

    /** Success promises that the next process drains the endpoint too, so it must wait for the file. */
    @Test
    public void appliesDrainAtOnceAndAnswersOncePersisted() throws Exception {
        FakeProcess first = startServing(1);
        Path obstacle = obstruct(Path.of(drainFile("s-1") + ".1.part"));
        BlockingQueue<Boolean> answer = first.call("s-1", true);
        first.awaitTwoPolls();
        assertEquals(first.drained, Set.of("s-1"), "returned to use without a call");
        assertNull(answer.poll(), "success before the next process can read the drain");
        clear(obstacle);
        assertEquals(answer.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), Boolean.TRUE);
        first.awaitTwoPolls();
        assertEquals(first.drained, Set.of("s-1"));
        first.hotRestart.stop();
        assertEquals(startServing(2).drained, Set.of("s-1"));
    }

    @Test
    public void appliesUndrainAtOnceAndAnswersOnceFileIsDeleted() throws Exception {
        FakeProcess process = startServing(1);
        Path obstacle = obstruct(drainFile("s-1"));
        process.call("s-1", true);
        process.awaitTwoPolls();
        assertEquals(process.drained, Set.of("s-1"));
        BlockingQueue<Boolean> answer = process.call("s-1", false);
        process.awaitTwoPolls();
        assertEquals(process.drained, Set.of());
        assertNull(answer.poll(), "success while the next process would still drain the endpoint");
        clear(obstacle);
        assertEquals(answer.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), Boolean.TRUE);
        process.awaitTwoPolls();
        assertEquals(process.drained, Set.of());
    }

    @DataProvider
    Object[][] filesOfSecondProcess() {
        return new Object[][] {{"2.lock"}, {"2.state.2.part"}, {"2.state"}};
    }

    @Test(dataProvider = "filesOfSecondProcess")
    public void servesAndAppliesDrainsWhileStateCannotBePublished(String file) throws Exception {
        FakeProcess first = startServing(1);
        assertEquals(first.drain("s-1"), Boolean.TRUE);
        Path obstacle = obstruct(directory.resolve(file));
        FakeProcess second = startServing(2);
        assertEquals(second.drained, Set.of("s-1"));
        assertEquals(first.drain("s-2"), Boolean.TRUE);
        await(() -> second.drained.equals(Set.of("s-1", "s-2")));
        clear(obstacle);
        await(first.hotRestart::isSuccessorServing);
    }
}
