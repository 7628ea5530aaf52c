package spurroad.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.WritableByteChannel;
import java.util.ArrayDeque;
import java.util.Deque;

/** What was written to one connection and the system has not taken yet, in order. Event loop thread only. */
final class WriteQueue {
    private final WritableByteChannel channel;
    private final Deque<byte[]> messages = new ArrayDeque<>();
    private int headOffset; // bytes of the first message that the system has taken
    private long bytesAccepted;

    WriteQueue(WritableByteChannel channel) {
        this.channel = channel;
    }

    /** Appends a message without copying it; returns whether it is the only one. */
    boolean add(byte[] message) {
        messages.add(message);
        return messages.size() == 1;
    }

    /** Writes from the buffer, past all that is queued, what the system takes at once. */
    void writeDirectly(ByteBuffer bytes) throws IOException {
        bytesAccepted += bytesWritten(channel.write(bytes));
    }

    /** Writes what is queued, as far as the system takes it, by way of a direct buffer. */
    void flush(ByteBuffer transferBuffer) throws IOException {
        while (!messages.isEmpty()) {
            byte[] head = messages.peek();
            int count = Math.min(head.length - headOffset, transferBuffer.capacity());
            transferBuffer.clear().put(head, headOffset, count).flip();
            int written = bytesWritten(channel.write(transferBuffer));
            headOffset += written;
            bytesAccepted += written;
            if (transferBuffer.hasRemaining()) {
                return;
            }
            if (headOffset == head.length) {
                messages.remove();
                headOffset = 0;
            }
        }
    }

    /** Returns how many bytes a write has moved: none where a signal interrupted it. */
    private static int bytesWritten(int result) {
        return Math.max(0, result);
    }

    boolean isEmpty() {
        return messages.isEmpty();
    }

    /** Returns how many bytes are queued. */
    long pendingBytes() {
        return messages.stream().mapToLong(message -> message.length).sum() - headOffset;
    }

    /** Returns how many bytes the system has taken so far. */
    long bytesAccepted() {
        return bytesAccepted;
    }
}
