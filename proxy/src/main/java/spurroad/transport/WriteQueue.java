package spurroad.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.WritableByteChannel;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The messages written to one connection that the operating system has not accepted yet, in order. Event loop
 * thread only.
 */
final class WriteQueue {
    private final WritableByteChannel channel;
    private final Deque<byte[]> messages = new ArrayDeque<>();
    private int headOffset; // bytes of the first message that are already accepted
    private long bytesAccepted;

    WriteQueue(WritableByteChannel channel) {
        this.channel = channel;
    }

    /** Appends a message without copying it. Returns whether it is the only one in the queue. */
    boolean add(byte[] message) {
        messages.add(message);
        return messages.size() == 1;
    }

    /** Writes as many of a buffer's bytes as the operating system accepts now, bypassing the queue. */
    void writeDirectly(ByteBuffer bytes) throws IOException {
        bytesAccepted += bytesWritten(channel.write(bytes));
    }

    /** Writes queued bytes through a direct buffer until the operating system accepts no more. */
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

    /** Returns how many bytes a write has transferred: none if a signal interrupted it. */
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

    /** Returns how many bytes the operating system has accepted so far. */
    long bytesAccepted() {
        return bytesAccepted;
    }
}
