package spurroad.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;

/** Retries reads of non-blocking channels that a signal has interrupted. */
final class InterruptedReads {
    /** Returned by a read or write of a non-blocking socket that a signal interrupted (EINTR). */
    static final int INTERRUPTED = -3;
    private static final int MAX_RETRIES = 8;

    private InterruptedReads() {}

    /**
     * Reads, and retries if a signal interrupts the read; otherwise an end of stream could be missed right
     * before a request is sent. Returns the result of the last read.
     */
    static int readRetrying(ReadableByteChannel source, ByteBuffer buffer) throws IOException {
        int count = source.read(buffer);
        for (int i = 0; count == INTERRUPTED && i < MAX_RETRIES; i++) {
            count = source.read(buffer);
        }
        return count;
    }
}
