package spurroad.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import spurroad.protocol.ByteSource;
import spurroad.protocol.MetaCommand;
import spurroad.protocol.ProtocolException;
import spurroad.transport.MemoryBudget;

public class UploadReceiverTest {
    private static final int LENGTH_BYTES = 1 << 20;

    private final MemoryBudget budget = new MemoryBudget(LENGTH_BYTES);
    private UploadBuffer value;
    private UploadReceiver upload;

    @BeforeMethod
    public void begin() throws IOException {
        ByteSource source = new ByteSource();
        source.feed(ByteBuffer.wrap(("ms k " + LENGTH_BYTES + " O1 Pc=write,d=480\r\n").getBytes()));
        MetaCommand command = source.readMessage(MetaCommand::read);
        assertTrue(command.hasLongValue());
        value = new UploadBuffer(command);
        upload = new UploadReceiver(budget);
    }

    @Test
    public void beginsOnceMemoryIsAvailable() {
        budget.forceReserve(1);
        assertFalse(upload.tryBegin(value));
        assertTrue(upload.isActive() && upload.isWaitingForMemory() && !upload.isReceiving());
        budget.release(1);
        assertTrue(upload.tryBegin(value));
        assertTrue(upload.isActive() && upload.isReceiving() && !upload.isWaitingForMemory());
        upload.abort();
        assertEquals(budget.usedFraction(), 0.0);
        assertFalse(upload.isActive());
    }

    @Test
    public void leavesReleaseOfFinishedUploadToCaller() throws IOException {
        upload.tryBegin(value);
        assertFalse(upload.receive(ByteBuffer.allocate(LENGTH_BYTES)));
        ByteBuffer rest = ByteBuffer.wrap("\r\nmn\r\n".getBytes());
        assertTrue(upload.receive(rest));
        assertEquals(rest.remaining(), 4, "the bytes after the value are left");
        long reserved = upload.finish();
        assertEquals(reserved, LENGTH_BYTES);
        upload.abort();
        assertEquals(budget.usedFraction(), 1.0);
        upload.release(reserved);
        assertEquals(budget.usedFraction(), 0.0);
    }

    @Test
    public void rejectsValueLongerThanAnnounced() {
        upload.tryBegin(value);
        ByteBuffer tooLong = ByteBuffer.allocate(LENGTH_BYTES + 1);
        assertThrows(ProtocolException.class, () -> upload.receive(tooLong));
        upload.abort();
        assertEquals(budget.usedFraction(), 0.0);
    }
}
