package spurroad.protocol;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/**
 * A buffered input that is read by lines and by byte counts, both bounded. Text is decoded as ISO 8859-1, one
 * character per byte, so that no byte is lost.
 *
 * <p>A source has one of two modes. A blocking source reads from a stream and waits for it. A fed source gets
 * bytes as they arrive; {@link #readMessage} returns null if a message is not complete yet, and parses it
 * again from its first byte when enough further bytes have arrived.
 */
public final class ByteSource {
    /** Parses one message. */
    public interface Parser<T> {
        /**
         * Returns the message, never null.
         *
         * @throws IOException if the bytes are malformed; {@link IncompleteMessageException} is left to the
         *     source to handle
         */
        T read(ByteSource in) throws IOException;
    }

    private static final int BLOCKING_BUFFER_BYTES = 4096; // a few commands
    private static final byte[] NO_BUFFER = {};
    private static final byte[] LINE_END = {'\r', '\n'};
    private static final int END_OF_STREAM = -1;

    private final InputStream in; // null in a fed source
    private final long readTimeoutNanos; // of a blocking source, even if signals interrupt its reads
    private byte[] buffer;
    private int position;
    private int limit;
    // fed sources only
    private int messageStart;
    private int messageMinBytes; // known lower bound of the current message's length
    private boolean isInputEnded;

    /** Creates a blocking source that reads from a stream without a timeout. */
    public ByteSource(InputStream in) {
        this(in, Integer.MAX_VALUE);
    }

    /**
     * Creates a blocking source that reads from the stream of a socket with a timeout.
     *
     * @param readTimeoutMillis the socket's timeout of a single read, which restarts when a signal interrupts
     *     the read; the source fails once its own wait has taken that long
     */
    public ByteSource(InputStream in, int readTimeoutMillis) {
        this.in = in;
        readTimeoutNanos = TimeUnit.MILLISECONDS.toNanos(readTimeoutMillis);
        buffer = new byte[BLOCKING_BUFFER_BYTES];
    }

    /** Creates a fed source, which holds a buffer only while it has unread bytes. */
    public ByteSource() {
        in = null;
        readTimeoutNanos = 0;
        buffer = NO_BUFFER;
    }

    /**
     * Returns whether there is a byte to read; false at the end of the input. A blocking source waits for the
     * byte.
     *
     * @throws IOException if reading from the stream fails, or if a fed source has to wait for more bytes
     */
    public boolean awaitByte() throws IOException {
        if (position == limit && in == null && !isInputEnded) {
            messageMinBytes = limit - messageStart + 1;
            throw IncompleteMessageException.INSTANCE;
        }
        if (position == limit && in != null) {
            position = 0;
            limit = 0;
            limit = Math.max(0, readStream());
        }
        return position < limit;
    }

    /**
     * Reads from the stream into the buffer; returns the number of bytes, or {@link #END_OF_STREAM}. A stream
     * of a socket that has a timeout returns another number below one if a signal interrupts the read: that
     * is no end, and the read is repeated.
     */
    private int readStream() throws IOException {
        long startNanos = System.nanoTime();
        int count = in.read(buffer);
        while (count <= 0 && count != END_OF_STREAM) {
            if (System.nanoTime() - startNanos >= readTimeoutNanos) {
                throw new SocketTimeoutException("no bytes received in time, reads interrupted by signals");
            }
            count = in.read(buffer);
        }
        return count;
    }

    // ---- feeding

    /** Appends received bytes. Must not be called while a message is being parsed. */
    public void feed(ByteBuffer received) {
        int unread = limit - position;
        int size = unread + received.remaining();
        if (size > buffer.length) {
            // allocates the known length of the message, which is bounded, so that it is copied only once
            byte[] larger = new byte[Math.max(size, messageMinBytes)];
            System.arraycopy(buffer, position, larger, 0, unread);
            buffer = larger;
        } else if (position > 0) {
            System.arraycopy(buffer, position, buffer, 0, unread);
        }
        position = 0;
        messageStart = 0;
        received.get(buffer, unread, received.remaining());
        limit = size;
    }

    /**
     * Removes up to {@code maxBytes} buffered bytes and returns them in a new array. Must be called between
     * two messages only.
     */
    public byte[] takeBuffered(long maxBytes) {
        int end = position + (int) Math.min(maxBytes, limit - position);
        byte[] taken = Arrays.copyOfRange(buffer, position, end);
        position = end;
        releaseEmptyBuffer();
        startMessage();
        return taken;
    }

    /**
     * Moves up to {@code maxBytes} buffered bytes into a target, as far as it has space; returns their
     * number. Must be called between two messages only.
     */
    public int moveBuffered(ByteBuffer target, long maxBytes) {
        int count = (int) Math.min(maxBytes, Math.min(limit - position, target.remaining()));
        target.put(buffer, position, count);
        position += count;
        releaseEmptyBuffer();
        startMessage();
        return count;
    }

    /** Returns the buffered bytes without removing them. Must be called between two messages only. */
    public ByteBuffer peekBuffered() {
        return ByteBuffer.wrap(buffer, position, limit - position).slice();
    }

    /** Removes buffered bytes. Must be called between two messages only. */
    public void skipBuffered(int count) {
        position += count;
        releaseEmptyBuffer();
        startMessage();
    }

    /** Marks the end of the input: no more bytes will be fed. */
    public void endInput() {
        isInputEnded = true;
    }

    /** Returns whether the input of a fed source has ended and all of it was read. */
    boolean isAtEnd() {
        return isInputEnded && position == limit;
    }

    /** Returns the number of buffered bytes that have not been read. */
    public int available() {
        return limit - position;
    }

    /** Returns how many bytes of memory the buffer takes. */
    public int heldBytes() {
        return buffer.length;
    }

    /** Returns whether the buffered bytes may hold a complete message, so that parsing is worth a try. */
    public boolean mayHaveMessage() {
        return available() > 0 && (isInputEnded || available() >= messageMinBytes);
    }

    /**
     * Parses the next message; returns null if it is not complete yet.
     *
     * @throws IOException if the parser fails
     */
    public <T> T readMessage(Parser<T> parser) throws IOException {
        try {
            startMessage();
            T message = parser.read(this);
            releaseEmptyBuffer();
            startMessage();
            return message;
        } catch (IncompleteMessageException e) {
            position = messageStart;
            return null;
        }
    }

    private void startMessage() {
        messageStart = position;
        messageMinBytes = 0;
    }

    private void releaseEmptyBuffer() {
        if (position == limit) {
            buffer = NO_BUFFER;
            position = 0;
            limit = 0;
        }
    }

    // ---- reading

    /**
     * Reads a line that ends in LF or CRLF and returns it without the line end; returns null at the end of
     * the stream.
     *
     * @throws ProtocolException if the line is longer than {@code maxBytes}
     * @throws EOFException if the stream ends inside the line
     */
    public String readLine(int maxBytes) throws IOException {
        if (!awaitByte()) {
            return null;
        }
        int end = indexOfLineFeed();
        if (end < limit && end - position <= maxBytes) { // the usual case: the whole line is buffered
            return takeBufferedLine(end);
        }
        StringBuilder line = new StringBuilder();
        while (true) {
            line.append(decode(position, end));
            if (line.length() > maxBytes + 1) {
                throw new ProtocolException("a line of over " + maxBytes + " bytes");
            }
            if (end < limit) {
                position = end + 1;
                return withoutCarriageReturn(line);
            }
            position = limit;
            if (!awaitByte()) {
                throw new EOFException("end of stream inside a line, expected a line feed");
            }
            end = indexOfLineFeed();
        }
    }

    /** Returns the index of the next line feed in the buffer; the limit if there is none. */
    private int indexOfLineFeed() {
        int end = position;
        while (end < limit && buffer[end] != '\n') {
            end++;
        }
        return end;
    }

    private String takeBufferedLine(int end) {
        int textEnd = end > position && buffer[end - 1] == '\r' ? end - 1 : end;
        String line = decode(position, textEnd);
        position = end + 1;
        return line;
    }

    private String decode(int from, int to) {
        return new String(buffer, from, to - from, StandardCharsets.ISO_8859_1);
    }

    private static String withoutCarriageReturn(StringBuilder line) {
        int length = line.length();
        if (length > 0 && line.charAt(length - 1) == '\r') {
            line.setLength(length - 1);
        }
        return line.toString();
    }

    /**
     * Reads a line as {@link #readLine} does, but fails at the end of the stream.
     *
     * @throws ProtocolException if there is no line, or if it is longer than {@code maxBytes}
     */
    String readRequiredLine(int maxBytes) throws IOException {
        String line = readLine(maxBytes);
        if (line == null) {
            throw new ProtocolException("end of stream, expected a line");
        }
        return line;
    }

    /** Reads from 1 to {@code maxBytes} bytes into an array; returns their number, or -1 at the end. */
    int read(byte[] into, int from, int maxBytes) throws IOException {
        if (!awaitByte()) {
            return -1;
        }
        int count = Math.min(limit - position, maxBytes);
        System.arraycopy(buffer, position, into, from, count);
        position += count;
        return count;
    }

    /** Returns whether a byte can be read without blocking. */
    public boolean isReady() throws IOException {
        return position < limit || in != null && in.available() > 0;
    }

    /**
     * Requires a fed source to have {@code count} buffered bytes, so that callers allocate no memory for
     * bytes that have not arrived.
     *
     * @throws IncompleteMessageException if bytes are missing and the input has not ended
     */
    void awaitBytes(int count) throws IncompleteMessageException {
        if (in == null && !isInputEnded && limit - position < count) {
            messageMinBytes = position - messageStart + count;
            throw IncompleteMessageException.INSTANCE;
        }
    }

    /** Reads exactly {@code count} bytes into a new array. */
    byte[] readFully(int count) throws IOException {
        awaitBytes(count);
        byte[] bytes = new byte[count];
        readFully(bytes, 0, count);
        return bytes;
    }

    /**
     * Reads exactly {@code count} bytes into an array.
     *
     * @throws EOFException if the stream ends before that
     */
    public void readFully(byte[] into, int from, int count) throws IOException {
        awaitBytes(count);
        int end = from + count;
        for (int next = from; next < end;) {
            int read = read(into, next, end - next);
            if (read < 0) {
                throw new EOFException("end of stream inside a value");
            }
            next += read;
        }
    }

    /**
     * Reads the CRLF that follows a value.
     *
     * @throws ProtocolException if other bytes follow
     */
    public void readLineEnd() throws IOException {
        byte[] end = new byte[LINE_END.length];
        readFully(end, 0, end.length);
        if (!Arrays.equals(end, LINE_END)) {
            throw new ProtocolException("expected CRLF after a value");
        }
    }
}
