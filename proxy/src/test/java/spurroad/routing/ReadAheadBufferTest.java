package spurroad.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
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
        buffer.takeAll();
        buffer.releaseUnneeded();
        assertEquals(budget.usedFraction(), 0.0);
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
        assertEquals(buffer.earliestArrivalNanos(), AFTER_MERGE_WINDOW_NANOS);
    }
}
