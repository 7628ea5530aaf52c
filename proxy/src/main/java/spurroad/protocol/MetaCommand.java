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
    public enum Kind { READ, WRITE, READY, FAULT }

    /** The maximum length in bytes of a value of clients and cache nodes. */
    public static final int MOST_VALUE = 4 * 1024 * 1024;
    /** The maximum length in bytes of a value that is read with its command; longer ones follow in chunks. */
    public static final int LONG_VALUE = 64 * 1024;
    static final int MAX_LINE_BYTES = 2048; // several times the length of a command with all attributes

    private static final long MAX_TIMEOUT_MILLIS = 3_600_000;
    private static final String TIMEOUT = "d"; // attribute names on the wire
    private static final String COST_HINT = "h";
    private static final byte[] NO_VALUE = {};
    private static final MetaCommand READINESS_CHECK = new MetaCommand(Kind.READY, null, false,
        CommandLine.NONE, NO_VALUE, 0);

    public final Kind kind;
    /** The error response to an invalid command, without its line end; null for any other command. */
    public final String fault;
    /** Whether the command is invalid and the start of the next command can't be found in the stream. */
    public final boolean lost;
    /** The value of a write; empty for a long value. Must not be modified. */
    public final byte[] value;
    private final int longValueBytes; // zero if there is no long value
    private final CommandLine line;
    private List<byte[]> pieces = List.of();
    private String id;

    private MetaCommand(Kind kind, String fault, boolean lost, CommandLine line, byte[] value,
                        int longValueBytes) {
        this.kind = kind;
        this.fault = fault;
        this.lost = lost;
        this.line = line;
        this.value = value;
        this.longValueBytes = longValueBytes;
    }

    /** Returns an invalid command after which the next command can be read. */
    private static MetaCommand invalid(String answer) {
        return new MetaCommand(Kind.FAULT, answer, false, CommandLine.NONE, NO_VALUE, 0);
    }

    /** Returns an invalid command after which nothing more can be read from the connection. */
    private static MetaCommand unreadable(String answer) {
        return new MetaCommand(Kind.FAULT, answer, true, CommandLine.NONE, NO_VALUE, 0);
    }

    // ---- reading

    /**
     * Reads the next command, without the value if that is a long one; returns null at the end of the stream.
     *
     * @throws IOException if reading fails, or the stream ends inside the command
     */
    public static MetaCommand read(ByteSource in) throws IOException {
        String line;
        try {
            line = in.line(MAX_LINE_BYTES);
        } catch (ProtocolException e) {
            return unreadable("CLIENT_ERROR line too long");
        }
        if (line == null) {
            return null;
        }
        line = withoutTrailingBlanks(line);
        int commandEnd = line.indexOf(' ');
        return switch (commandEnd < 0 ? line : line.substring(0, commandEnd)) {
            case "mn" -> READINESS_CHECK;
            case "mg" -> request(Kind.READ, line, NO_VALUE, 0);
            case "ms" -> readWrite(line, in);
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

    private static MetaCommand readWrite(String line, ByteSource in) throws IOException {
        long length = valueLength(line);
        if (length < 0 || length > MOST_VALUE) {
            return unreadable("CLIENT_ERROR bad length");
        }
        if (length > LONG_VALUE) {
            MetaCommand write = request(Kind.WRITE, line, NO_VALUE, (int) length);
            return write.kind == Kind.FAULT ? unreadable(write.fault) : write;
        }
        byte[] value = in.bytes((int) length);
        try {
            in.lineEnd();
        } catch (ProtocolException e) {
            return unreadable("CLIENT_ERROR bad data chunk");
        }
        return request(Kind.WRITE, line, value, 0);
    }

    /** Returns the value length in bytes, which is the third token; -1 if that is not a number. */
    private static long valueLength(String line) {
        int keyFrom = line.indexOf(' ') + 1;
        int lengthFrom = keyFrom == 0 ? 0 : line.indexOf(' ', keyFrom) + 1;
        if (lengthFrom == 0) {
            return -1;
        }
        int lengthTo = line.indexOf(' ', lengthFrom);
        return NumberParser.parseWhole(line, lengthFrom, lengthTo < 0 ? line.length() : lengthTo);
    }

    private static MetaCommand request(Kind kind, String text, byte[] value, int longValueBytes) {
        CommandLine line = CommandLine.scan(text);
        if (!line.hasKey()) {
            return invalid("CLIENT_ERROR bad key");
        }
        if (!line.hasId()) {
            return invalid("CLIENT_ERROR no request id");
        }
        Attributes attributes = line.attributes();
        long timeoutMillis = attributes.wholeNumber(TIMEOUT);
        if (timeoutMillis < 0 || timeoutMillis > MAX_TIMEOUT_MILLIS) {
            return invalid("CLIENT_ERROR no time to wait");
        }
        boolean isCostHintValid = !attributes.has(COST_HINT) || attributes.wholeNumber(COST_HINT) >= 0;
        if (!line.isWellFormed(kind == Kind.WRITE) || !isCostHintValid) {
            return invalid("CLIENT_ERROR bad command line format");
        }
        return new MetaCommand(kind, null, false, line, value, longValueBytes);
    }

    // ---- the value

    /** Returns the length of the value in bytes; zero for a command without one. */
    public int length() {
        return Math.max(longValueBytes, value.length);
    }

    /** Returns whether the value is a long one, which follows the command in chunks. */
    public boolean isLong() {
        return longValueBytes > 0;
    }

    /** Sets the chunks of the long value when it has arrived completely. */
    public void pieces(List<byte[]> whole) {
        pieces = whole;
    }

    /** Returns the chunks of the long value; empty until it has arrived. They must not be modified. */
    public List<byte[]> pieces() {
        return pieces;
    }

    // ---- the line

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
    public boolean has(String name) {
        return line.attributes().has(name);
    }

    /** Returns the value of an attribute; empty if the request does not have it. */
    public String figure(String name) {
        return line.attributes().value(name);
    }

    /** Returns the attribute list as received, with the timeout replaced by the time the proxy will wait. */
    public String extras(long timeoutMillis) {
        return line.attributes().with(TIMEOUT, timeoutMillis);
    }

    /** Returns how long the client waits, in milliseconds; -1 for a command that is not a request. */
    public long timeoutMillis() {
        return line.attributes().wholeNumber(TIMEOUT);
    }

    /** Returns the client's estimate of the request's cost in microseconds; zero if it sent none. */
    public long costHintMicros() {
        return Math.max(0, line.attributes().wholeNumber(COST_HINT));
    }

    /**
     * Returns the message to a cache node: the command as received, with the timeout replaced by the time the
     * proxy will wait, and with its value unless that is a long one.
     */
    public byte[] forEndpoint(long timeoutMillis) {
        String forwarded = line.withAttribute(TIMEOUT, timeoutMillis);
        return kind == Kind.READ || isLong() ? MetaResponse.text(forwarded)
            : MetaResponse.withValue(forwarded, value);
    }
}
