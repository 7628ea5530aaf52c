package spurroad.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Random;
import org.testng.annotations.Test;
import spurroad.transport.MemoryBudget;

public class ReadAheadBufferTest {
    private static final int CHUNK_BYTES = ReadAheadBuffer.CHUNK_BYTES;
    private static final long AFTER_MERGE_WINDOW_NANOS = 10 * ArrivalTimes.MERGE_WINDOW_NANOS;

    private static ByteBuffer bytes(int count) {
        return ByteBuffer.wrap("a".repeat(count).getBytes());
    }

    private static ByteBuffer text(String text) {
        return ByteBuffer.wrap(text.getBytes());
    }

    @Test
    public void firstChunkNeedsNoReservation() {
        MemoryBudget budget = new MemoryBudget(0);
        ReadAheadBuffer buffer = new ReadAheadBuffer(budget);
        assertEquals(buffer.remainingCapacity(), CHUNK_BYTES);
        buffer.append(bytes(CHUNK_BYTES), 0);
        assertEquals(buffer.remainingCapacity(), 0);
    }

    @Test
    public void reservesFurtherChunksAndReleasesUnneeded() {
        MemoryBudget budget = new MemoryBudget(2 * CHUNK_BYTES);
        ReadAheadBuffer buffer = new ReadAheadBuffer(budget);
        buffer.append(bytes(CHUNK_BYTES), 0);
        assertEquals(buffer.remainingCapacity(), CHUNK_BYTES);
        buffer.append(bytes(CHUNK_BYTES), 0);
        assertEquals(buffer.remainingCapacity(), CHUNK_BYTES);
        assertEquals(budget.usedFraction(), 1.0);
        buffer.append(bytes(CHUNK_BYTES), 0);
        assertEquals(buffer.remainingCapacity(), 0, "the budget is used up");
        while (!buffer.isEmpty()) {
            buffer.skip(buffer.peek().remaining());
        }
        assertEquals(budget.usedFraction(), 0.0);
        assertTrue(buffer.isEmpty());
    }

    /**
     * Guards against buffers that stay large after their reservation is released: others then reserved the
     * same bytes once more.
     */
    @Test
    public void holdsNoMoreThanItHasReserved() throws IOException {
        MemoryBudget budget = new MemoryBudget(64 * CHUNK_BYTES);
        ReadAheadBuffer buffer = new ReadAheadBuffer(budget);
        int commands = 0;
        while (buffer.remainingCapacity() > 0) {
            buffer.append(text("mn\r\n".repeat(buffer.remainingCapacity() / 4)), 0);
            commands += CHUNK_BYTES / 4;
        }
        assertEquals(budget.usedFraction(), 1.0);
        for (int taken = 0; taken < commands; taken++) {
            assertTrue(buffer.isWorthParsing(), "command " + taken);
            assertNotNull(buffer.nextCommand());
            assertTrue(buffer.heldBytes() <= CHUNK_BYTES + budget.usedFraction() * 64 * CHUNK_BYTES,
                buffer.heldBytes() + " bytes are held");
        }
        assertTrue(buffer.isEmpty());
        assertEquals(budget.usedFraction(), 0.0);
    }

    @Test
    public void keepsOrderOfBytesAcrossChunks() throws IOException {
        ReadAheadBuffer buffer = new ReadAheadBuffer(new MemoryBudget(8 * CHUNK_BYTES));
        Random random = new Random(5);
        StringBuilder lines = new StringBuilder();
        for (int i = 0; i < 500; i++) {
            lines.append("mg k" + i + " v O" + i + " Pc=read,d=" + (100 + i) + ",x="
                + "y".repeat(1 + random.nextInt(60)) + "\r\n");
        }
        for (int start = 0; start < lines.length();) {
            int end = Math.min(lines.length(), start + 1 + random.nextInt(3_000));
            buffer.append(text(lines.substring(start, end)), start);
            start = end;
        }
        for (int i = 0; i < 500; i++) {
            assertTrue(buffer.isWorthParsing(), "command " + i);
            assertEquals(buffer.nextCommand().key(), "k" + i);
        }
        assertTrue(buffer.isEmpty());
    }

    @Test
    public void releasesAllChunksOnClose() {
        MemoryBudget budget = new MemoryBudget(4 * CHUNK_BYTES);
        ReadAheadBuffer buffer = new ReadAheadBuffer(budget);
        buffer.append(bytes(CHUNK_BYTES), 0);
        buffer.remainingCapacity();
        buffer.releaseAll();
        buffer.releaseAll();
        assertEquals(budget.usedFraction(), 0.0);
    }

    @Test
    public void reportsArrivalOfLastCommandByte() throws IOException {
        ReadAheadBuffer buffer = new ReadAheadBuffer(new MemoryBudget(0));
        buffer.append(text("mn"), 0);
        assertNull(buffer.nextCommand());
        buffer.append(text("\r\nmn\r\n"), AFTER_MERGE_WINDOW_NANOS);
        assertTrue(buffer.nextCommand() != null);
        assertEquals(buffer.commandArrivedAtNanos(), AFTER_MERGE_WINDOW_NANOS);
        assertEquals(buffer.skip(buffer.peek().remaining()), AFTER_MERGE_WINDOW_NANOS);
    }
}
