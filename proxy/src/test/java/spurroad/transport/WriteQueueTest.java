package spurroad.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.WritableByteChannel;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.Test;

/** Queueing for a channel that accepts only a part of what is written. */
public class WriteQueueTest {
    private static final int INTERRUPTED = -3;
    private static final int TRANSFER_BUFFER_BYTES = 4;

    /** Accepts as many bytes as the test allows. */
    private static final class SlowChannel implements WritableByteChannel {
        private final ByteArrayOutputStream written = new ByteArrayOutputStream();
        private int writableBytes;
        private boolean interruptNextWrite;

        @Override
        public int write(ByteBuffer bytes) {
            if (interruptNextWrite) {
                interruptNextWrite = false;
                return INTERRUPTED;
            }
            int count = Math.min(writableBytes, bytes.remaining());
            for (int i = 0; i < count; i++) {
                written.write(bytes.get());
            }
            writableBytes -= count;
            return count;
        }

        @Override
        public boolean isOpen() {
            return true;
        }

        @Override
        public void close() {}

        private String written() {
            return written.toString(StandardCharsets.ISO_8859_1);
        }
    }

    private final ByteBuffer transferBuffer = ByteBuffer.allocate(TRANSFER_BUFFER_BYTES);

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    @Test
    public void writesMessagesInOrderDespitePartialWrites() throws IOException {
        SlowChannel channel = new SlowChannel();
        WriteQueue queue = new WriteQueue(channel);
        assertTrue(queue.add(bytes("abcdefg")));
        assertFalse(queue.add(bytes("hi")));
        for (int sentBytes = 1; sentBytes <= 9; sentBytes++) {
            channel.writableBytes = 1;
            queue.flush(transferBuffer);
            assertEquals(queue.bytesAccepted(), sentBytes);
            assertEquals(queue.pendingBytes(), 9 - sentBytes);
            assertEquals(queue.isEmpty(), sentBytes == 9);
        }
        assertEquals(channel.written(), "abcdefghi");
    }

    @Test
    public void countsNoBytesForInterruptedWrite() throws IOException {
        SlowChannel channel = new SlowChannel();
        WriteQueue queue = new WriteQueue(channel);
        queue.add(bytes("abc"));
        channel.interruptNextWrite = true;
        queue.flush(transferBuffer);
        assertEquals(queue.bytesAccepted(), 0);
        assertEquals(queue.pendingBytes(), 3);
        channel.writableBytes = 3;
        queue.flush(transferBuffer);
        assertEquals(channel.written(), "abc");
    }
}
