package spurroad.transport;

import java.io.IOException;
import java.io.InputStream;
import java.util.function.Consumer;

/** Reads the lines of the kernel's socket table (proc(5)) without an object for each. Not thread-safe. */
final class SocketTableReader {
    private static final int BUFFER_BYTES = 16 * 1024; // a hundred lines

    private final InputStream table;
    private final Consumer<SocketTableLine> onLine;
    private final byte[] buffer = new byte[BUFFER_BYTES];
    private final SocketTableLine line = new SocketTableLine(UnacknowledgedSends.FIELDS_READ);
    private boolean isHeaderRead;

    /**
     * Creates a reader of a table from its start.
     *
     * @param onLine called for each line but the header that has the fields which are read; the line is valid
     *     during the call only
     */
    SocketTableReader(InputStream table, Consumer<SocketTableLine> onLine) {
        this.table = table;
        this.onLine = onLine;
    }

    /** Reads the whole table. */
    void readLines() throws IOException {
        int unread = 0;
        for (int count = table.read(buffer, 0, BUFFER_BYTES); count >= 0; count = table.read(buffer, unread,
            BUFFER_BYTES - unread)) {
            int end = unread + count;
            int start = scanLines(end);
            unread = end - start;
            if (unread == BUFFER_BYTES) {
                throw new IOException("a line of over " + BUFFER_BYTES + " bytes in the socket table");
            }
            System.arraycopy(buffer, start, buffer, 0, unread);
        }
        onLine(0, unread); // a last line without an end
    }

    /** Passes on the complete lines up to an end; returns the start of the line that is not complete. */
    private int scanLines(int end) {
        int start = 0;
        for (int i = 0; i < end; i++) {
            if (buffer[i] == '\n') {
                onLine(start, i);
                start = i + 1;
            }
        }
        return start;
    }

    private void onLine(int start, int end) {
        if (!isHeaderRead) {
            isHeaderRead = true;
        } else if (line.scan(buffer, start, end)) {
            onLine.accept(line);
        }
    }
}
