package spurroad.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;

/** Retries reads of non-blocking channels that a signal has interrupted. */
final class InterruptedReads {
    /** Returned by a read of a non-blocking socket that a signal interrupted (EINTR). */
    private static final int INTERRUPTED = -3;

    private InterruptedReads() {}

    /**
     * Reads, and retries while a signal interrupts the read; otherwise an end of stream could be missed right
     * before a request is sent. Returns the result of the first read that is not interrupted.
     */
    static int readRetrying(ReadableByteChannel source, ByteBuffer buffer) throws IOException {
        int count = source.read(buffer);
        while (count == INTERRUPTED) {
            count = source.read(buffer);
        }
        return count;
    }
}
