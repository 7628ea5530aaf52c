package spurroad.protocol;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** A stream read by lines and lengths, both bounded; its text is one character a byte, so nothing is lost. */
public final class ByteSource {
    private static final int BUFFER_BYTES = 4096; // bytes; a few commands; one a connection
    private final InputStream in;
    private final byte[] buffer = new byte[BUFFER_BYTES];
    private int from, to;

    public ByteSource(InputStream in) {
        this.in = in;
    }

    /** Waits until there is something to read; false at the end of the stream. */
    public boolean await() throws IOException {
        if (from == to) {
            from = 0;
            to = Math.max(0, in.read(buffer));
        }
        return from < to;
    }

    /** A line without its end, CRLF or LF; null at the end of the stream before its first byte. */
    public String line(int most) throws IOException {
        if (!await()) {
            return null;
        }
        StringBuilder text = new StringBuilder();
        while (true) {
            int end = from;
            while (end < to && buffer[end] != '\n') {
                end++;
            }
            text.append(new String(buffer, from, end - from, StandardCharsets.ISO_8859_1));
            if (text.length() > most + 1) {
                throw new ProtocolException("a line of over " + most + " bytes");
            }
            if (end < to) {
                from = end + 1;
                int length = text.length();
                if (length > 0 && text.charAt(length - 1) == '\r') {
                    text.setLength(length - 1);
                }
                return text.toString();
            }
            from = to;
            if (!await()) {
                throw new EOFException("the stream ended inside a line");
            }
        }
    }

    /** A line where there has to be one. */
    String needLine(int most) throws IOException {
        String line = line(most);
        if (line == null) {
            throw new ProtocolException("the stream ended");
        }
        return line;
    }

    /** What there is, up to a count, into an array at a place; -1 at the end of the stream. */
    int some(byte[] into, int at, int most) throws IOException {
        if (!await()) {
            return -1;
        }
        int n = Math.min(to - from, most);
        System.arraycopy(buffer, from, into, at, n);
        from += n;
        return n;
    }

    /** Drops what has been read and not taken, and tells how much that was. */
    public int drop() {
        int dropped = to - from;
        from = to;
        return dropped;
    }

    /** Whether more has come than was taken. */
    public boolean more() throws IOException {
        return from < to || in.available() > 0;
    }

    /** As many bytes, into an array at a place. */
    public void bytes(byte[] into, int at, int count) throws IOException {
        int end = at + count;
        for (int next = at; next < end; ) {
            int n = some(into, next, end - next);
            if (n < 0) {
                throw new EOFException("the stream ended inside a value");
            }
            next += n;
        }
    }

    /** The empty line end that follows a value. */
    public void lineEnd() throws IOException {
        byte[] end = new byte[2];
        bytes(end, 0, 2);
        if (end[0] != '\r' || end[1] != '\n') {
            throw new ProtocolException("no line end after a value");
        }
    }
}
