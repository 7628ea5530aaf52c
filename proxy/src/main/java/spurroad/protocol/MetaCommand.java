package spurroad.protocol;

import java.io.IOException;
import java.util.List;

/**
 * A command of a client: a read or a write of a key, a readiness check ({@code mn}), or an invalid command
 * with its error response.
 *
 * <p>Not thread-safe.
 */
public final class MetaCommand {
    /** The type of a command. */
    public enum Kind { READ, WRITE, READY, INVALID }

    /** The maximum length in bytes of a value, from clients as well as from cache nodes. */
    public static final int MAX_VALUE_BYTES = 4 * 1024 * 1024;
    /** The maximum length in bytes of a value that is read with its command; longer ones follow in chunks. */
    public static final int MAX_BUFFERED_VALUE_BYTES = 64 * 1024;
    static final int MAX_LINE_BYTES = 2048; // several times the length of a command with all attributes

    private static final long MAX_TIMEOUT_MILLIS = 3_600_000;
    private static final String TIMEOUT_ATTRIBUTE = "d"; // attribute names on the wire
    private static final String COST_HINT_ATTRIBUTE = "h";
    private static final byte[] NO_VALUE = {};
    private static final MetaCommand READINESS_CHECK = new MetaCommand(Kind.READY, null, false,
        CommandLine.NONE, NO_VALUE, 0);

    public final Kind kind;
    /** The error response to an invalid command, without its line end; null for any other command. */
    public final String errorResponse;
    /** Whether the command is invalid and the start of the next command can't be found in the stream. */
    public final boolean unrecoverable;
    /** The value of a write; empty for a long value. Must not be modified. */
    public final byte[] value;
    private final int longValueBytes; // zero if there is no long value
    private final CommandLine line;
    private List<byte[]> valueChunks = List.of();
    private String id;

    private MetaCommand(Kind kind, String errorResponse, boolean unrecoverable, CommandLine line,
                        byte[] value,
                        int longValueBytes) {
        this.kind = kind;
        this.errorResponse = errorResponse;
        this.unrecoverable = unrecoverable;
        this.line = line;
        this.value = value;
        this.longValueBytes = longValueBytes;
    }

    /** Returns an invalid command after which the next command can be read. */
    private static MetaCommand invalid(String response) {
        return invalidBeforeValue(response, 0);
    }

    /** Returns an invalid command after whose long value, if it has one, the next command can be read. */
    private static MetaCommand invalidBeforeValue(String response, int longValueBytes) {
        return new MetaCommand(Kind.INVALID, response, false, CommandLine.NONE, NO_VALUE, longValueBytes);
    }

    /** Returns an invalid command after which nothing more can be read from the connection. */
    private static MetaCommand unrecoverable(String response) {
        return new MetaCommand(Kind.INVALID, response, true, CommandLine.NONE, NO_VALUE, 0);
    }

    // ---- reading

    /**
     * Reads the next command, without the value if that is longer than {@link #MAX_BUFFERED_VALUE_BYTES};
     * returns null at the end of the stream.
     *
     * @throws IOException if reading fails, or the stream ends inside the command
     */
    public static MetaCommand read(ByteSource in) throws IOException {
        return read(in, MAX_BUFFERED_VALUE_BYTES);
    }

    /**
     * Reads the next command, without the value if that is longer than a maximum. An invalid command may have
     * a long value, too, which follows and is to be discarded.
     *
     * @param maxValueBytes the maximum, not over {@link #MAX_BUFFERED_VALUE_BYTES}
     */
    public static MetaCommand read(ByteSource in, int maxValueBytes) throws IOException {
        String line;
        try {
            line = in.readLine(MAX_LINE_BYTES);
        } catch (ProtocolException e) {
            return unrecoverable("CLIENT_ERROR line too long");
        }
        if (line == null) {
            return null;
        }
        line = withoutTrailingBlanks(line);
        int commandEnd = line.indexOf(' ');
        return switch (commandEnd < 0 ? line : line.substring(0, commandEnd)) {
            case "mn" -> READINESS_CHECK;
            case "mg" -> parseRequest(Kind.READ, line, NO_VALUE, 0);
            case "ms" -> readWriteCommand(line, in, maxValueBytes);
            default -> invalid("ERROR");
        };
    }

    private static String withoutTrailingBlanks(String line) {
        int end = line.length();
        while (end > 0 && line.charAt(end - 1) == ' ') {
            end--;
        }
        return line.substring(0, end);
    }

    private static MetaCommand readWriteCommand(String line, ByteSource in, int maxValueBytes)
        throws IOException {
        long length = parseValueLength(line);
        if (length < 0 || length > MAX_VALUE_BYTES) {
            return unrecoverable("CLIENT_ERROR bad length");
        }
        if (length > maxValueBytes) {
            return parseLongWrite(line, (int) length);
        }
        byte[] value = in.readFully((int) length);
        try {
            in.readLineEnd();
        } catch (ProtocolException e) {
            return unrecoverable("CLIENT_ERROR bad data chunk");
        }
        return parseRequest(Kind.WRITE, line, value, 0);
    }

    private static MetaCommand parseLongWrite(String line, int length) {
        MetaCommand write = parseRequest(Kind.WRITE, line, NO_VALUE, length);
        if (write.kind != Kind.INVALID) {
            return write;
        }
        return length > MAX_BUFFERED_VALUE_BYTES ? unrecoverable(write.errorResponse)
            : invalidBeforeValue(write.errorResponse, length);
    }

    /** Returns the value length in bytes, which is the third token; -1 if that is not a number. */
    private static long parseValueLength(String line) {
        int keyFrom = line.indexOf(' ') + 1;
        int lengthFrom = keyFrom == 0 ? 0 : line.indexOf(' ', keyFrom) + 1;
        if (lengthFrom == 0) {
            return -1;
        }
        int lengthTo = line.indexOf(' ', lengthFrom);
        return NumberParser.parseWhole(line, lengthFrom, lengthTo < 0 ? line.length() : lengthTo);
    }

    private static MetaCommand parseRequest(Kind kind, String text, byte[] value, int longValueBytes) {
        CommandLine line = CommandLine.scan(text);
        if (!line.hasValidKey()) {
            return invalid("CLIENT_ERROR bad key");
        }
        if (!line.hasValidId()) {
            return invalid("CLIENT_ERROR no request id");
        }
        Attributes attributes = line.attributes();
        long timeoutMillis = attributes.wholeNumber(TIMEOUT_ATTRIBUTE);
        if (timeoutMillis < 0 || timeoutMillis > MAX_TIMEOUT_MILLIS) {
            return invalid("CLIENT_ERROR no time to wait");
        }
        boolean isCostHintValid = !attributes.has(COST_HINT_ATTRIBUTE)
            || attributes.wholeNumber(COST_HINT_ATTRIBUTE) >= 0;
        if (!line.isWellFormed(kind == Kind.WRITE) || !isCostHintValid) {
            return invalid("CLIENT_ERROR bad command line format");
        }
        return new MetaCommand(kind, null, false, line, value, longValueBytes);
    }

    // ---- the value

    /** Returns the length of the value in bytes; zero for a command without one. */
    public int valueLength() {
        return Math.max(longValueBytes, value.length);
    }

    /** Returns whether the value is a long one, which follows the command in chunks. */
    public boolean hasLongValue() {
        return longValueBytes > 0;
    }

    /** Sets the chunks of the long value when it has arrived completely. */
    public void valueChunks(List<byte[]> chunks) {
        valueChunks = chunks;
    }

    /** Returns the chunks of the long value; empty until it has arrived. They must not be modified. */
    public List<byte[]> valueChunks() {
        return valueChunks;
    }

    // ---- the line

    /** Returns the length of the line in bytes; zero for a command that is not a request. */
    public int lineLength() {
        return line.length();
    }

    /** Returns the key as the client sent it; empty for a command that is not a request. */
    public String key() {
        return line.key();
    }

    /** Returns the request id; empty for a command that is not a request. */
    public String id() {
        if (id == null) {
            id = line.id();
        }
        return id;
    }

    /** Returns whether the request has an attribute. */
    public boolean hasAttribute(String name) {
        return line.attributes().has(name);
    }

    /** Returns the value of an attribute; empty if the request does not have it. */
    public String attribute(String name) {
        return line.attributes().value(name);
    }

    /** Returns the attribute list as received, with the timeout replaced by the time the proxy will wait. */
    public String attributesWithTimeout(long timeoutMillis) {
        return line.attributes().withValue(TIMEOUT_ATTRIBUTE, timeoutMillis);
    }

    /** Returns how long the client waits, in milliseconds; -1 for a command that is not a request. */
    public long timeoutMillis() {
        return line.attributes().wholeNumber(TIMEOUT_ATTRIBUTE);
    }

    /** Returns the client's estimate of the request's cost in microseconds; zero if it sent none. */
    public long costHintMicros() {
        return Math.max(0, line.attributes().wholeNumber(COST_HINT_ATTRIBUTE));
    }

    /**
     * Returns the message to a cache node: the command as received, with the timeout replaced by the time the
     * proxy will wait, and with its value unless that is a long one.
     */
    public byte[] forEndpoint(long timeoutMillis) {
        String forwarded = line.withAttribute(TIMEOUT_ATTRIBUTE, timeoutMillis);
        return kind == Kind.READ || hasLongValue() ? MetaResponse.encodeLine(forwarded)
            : MetaResponse.withValue(forwarded, value);
    }
}
