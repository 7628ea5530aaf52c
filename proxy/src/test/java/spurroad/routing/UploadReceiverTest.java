package spurroad.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import spurroad.protocol.ByteSource;
import spurroad.protocol.MetaCommand;
import spurroad.protocol.ProtocolException;
import spurroad.routing.UploadBuffer.Progress;
import spurroad.transport.GrowthBudget;

public class UploadReceiverTest {
    private static final int LENGTH_BYTES = 1 << 20;
    private static final long MAX_WAIT_NANOS = 1_000;

    private final Deque<Runnable> tasks = new ArrayDeque<>();
    private final AtomicInteger resumed = new AtomicInteger();
    private GrowthBudget budget;
    private UploadReceiver upload;

    @BeforeMethod
    public void begin() throws IOException {
        ByteSource source = new ByteSource();
        source.feed(ByteBuffer.wrap(("ms k " + LENGTH_BYTES + " O1 Pc=write,d=480\r\n").getBytes()));
        MetaCommand command = source.readMessage(MetaCommand::read);
        assertTrue(command.hasLongValue());
        resumed.set(0);
        budget = new GrowthBudget(LENGTH_BYTES, tasks::add);
        upload = new UploadReceiver(budget);
        upload.begin(command, MAX_WAIT_NANOS);
    }

    private void runTasks() {
        while (!tasks.isEmpty()) {
            tasks.poll().run();
        }
    }

    @Test
    public void reservesNoMoreThanTwiceWhatArrivedAndAPiece() throws IOException {
        for (int received = 0; received < LENGTH_BYTES; received += 512) {
            assertEquals(upload.receive(ByteBuffer.allocate(512)), Progress.BYTES_NEEDED);
            long reserved = LENGTH_BYTES - budget.freeBytes();
            assertTrue(reserved <= 2 * received + 4096, reserved + " bytes for " + received);
        }
        assertEquals(budget.freeBytes(), 0);
        upload.abort();
        assertEquals(budget.freeBytes(), LENGTH_BYTES);
        assertFalse(upload.isActive());
    }

    @Test
    public void continuesOnceMemoryIsAvailable() throws IOException {
        GrowthBudget.Reservation other = budget.open(LENGTH_BYTES);
        assertTrue(other.tryGrow(1));
        other.complete();
        ByteBuffer value = ByteBuffer.allocate(LENGTH_BYTES + 2).put(LENGTH_BYTES, (byte) '\r')
            .put(LENGTH_BYTES + 1, (byte) '\n');
        assertEquals(upload.receive(value), Progress.MEMORY_NEEDED);
        assertEquals(upload.awaitMemory(100, resumed::incrementAndGet), MAX_WAIT_NANOS);
        assertTrue(upload.isActive() && upload.isWaitingForMemory() && !upload.isReceiving());
        other.release();
        runTasks();
        assertEquals(resumed.get(), 1);
        upload.resume(400);
        assertTrue(upload.isActive() && upload.isReceiving() && !upload.isWaitingForMemory());
        assertEquals(upload.receive(value), Progress.COMPLETE);
        upload.finish().release();
        assertEquals(budget.freeBytes(), LENGTH_BYTES);
    }

    @Test
    public void limitsTotalOfAllWaits() throws IOException {
        GrowthBudget.Reservation other = budget.open(LENGTH_BYTES);
        assertTrue(other.tryGrow(LENGTH_BYTES));
        other.complete();
        assertEquals(upload.receive(ByteBuffer.allocate(100_000)), Progress.MEMORY_NEEDED);
        assertEquals(upload.awaitMemory(100, resumed::incrementAndGet), MAX_WAIT_NANOS);
        other.releasePart(4096);
        runTasks();
        upload.resume(400);
        assertEquals(upload.receive(ByteBuffer.allocate(100_000)), Progress.MEMORY_NEEDED);
        assertEquals(upload.awaitMemory(500, resumed::incrementAndGet), MAX_WAIT_NANOS - 300);
    }

    @Test
    public void discardsRestOfUploadThatIsGivenUp() throws IOException {
        GrowthBudget.Reservation other = budget.open(1);
        assertTrue(other.tryGrow(1));
        other.complete();
        ByteBuffer value = ByteBuffer.allocate(LENGTH_BYTES);
        assertEquals(upload.receive(value), Progress.MEMORY_NEEDED);
        upload.awaitMemory(100, resumed::incrementAndGet);
        upload.giveUp();
        assertEquals(budget.freeBytes(), LENGTH_BYTES - 1);
        assertTrue(upload.isReceiving() && upload.isDiscarding());
        assertEquals(upload.receive(value), Progress.BYTES_NEEDED);
        ByteBuffer rest = ByteBuffer.wrap("\r\nmn\r\n".getBytes());
        assertEquals(upload.receive(rest), Progress.COMPLETE);
        assertEquals(rest.remaining(), 4, "the bytes after the value are left");
        upload.abort();
        other.release();
        runTasks();
        assertEquals(resumed.get(), 0, "an upload that was given up does not resume");
    }

    @Test
    public void leavesReleaseOfFinishedUploadToCaller() throws IOException {
        assertEquals(upload.receive(ByteBuffer.allocate(LENGTH_BYTES)), Progress.BYTES_NEEDED);
        MetaCommand command = upload.command();
        ByteBuffer rest = ByteBuffer.wrap("\r\nmn\r\n".getBytes());
        assertEquals(upload.receive(rest), Progress.COMPLETE);
        assertEquals(rest.remaining(), 4, "the bytes after the value are left");
        GrowthBudget.Reservation memory = upload.finish();
        assertEquals(memory.heldBytes(), LENGTH_BYTES);
        assertEquals(command.valueChunks().stream().mapToInt(chunk -> chunk.length).sum(), LENGTH_BYTES);
        upload.abort();
        assertEquals(budget.freeBytes(), 0);
        memory.release();
        assertEquals(budget.freeBytes(), LENGTH_BYTES);
    }

    @Test
    public void rejectsValueLongerThanAnnounced() {
        ByteBuffer tooLong = ByteBuffer.allocate(LENGTH_BYTES + 1);
        assertThrows(ProtocolException.class, () -> upload.receive(tooLong));
        upload.abort();
        assertEquals(budget.freeBytes(), LENGTH_BYTES);
    }
}
