package spurroad.protocol;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import spurroad.model.CacheStatus;
import spurroad.model.LoadReport;
import spurroad.model.Outcome;

/** Reads the responses of cache nodes to meta commands, and encodes the responses to clients. */
public final class MetaResponse {
    private static final int MAX_STAT_LINES = 64; // a load report has four at most
    private static final String LINE_END = "\r\n";
    private static final char ID_FLAG = 'O';
    private static final char RECEIPT_FLAG = 'c';
    private static final char HIT_FLAG = 'h';
    private static final String FETCH_PENDING_FLAG = "Z";
    private static final String LOAD_FLAG = "L";
    private static final byte[] LOAD_PROBE = encodeLine("stats load");

    private MetaResponse() {}

    // ---- responses of cache nodes

    /**
     * Reads a cache node's response to the request with an id, with its value unless that is longer than
     * {@link MetaCommand#MAX_BUFFERED_VALUE_BYTES}.
     *
     * @throws ProtocolException if the response is malformed, or carries the id of another request
     */
    public static UpstreamReply read(ByteSource in, String id) throws IOException {
        return read(in, id, MetaCommand.MAX_BUFFERED_VALUE_BYTES);
    }

    /**
     * Reads a cache node's response to the request with an id.
     *
     * @param maxValueBytes a longer value is left in the source
     * @throws ProtocolException if the response is malformed, or carries the id of another request
     */
    public static UpstreamReply read(ByteSource in, String id, int maxValueBytes) throws IOException {
        String line = in.readRequiredLine(MetaCommand.MAX_LINE_BYTES);
        String[] tokens = tokens(line);
        LoadReport load = loadReport(tokens);
        CacheStatus status = cacheStatus(tokens);
        return switch (tokens[0]) {
            case "VA" -> readValue(in, line, tokens, id, maxValueBytes, status, load);
            case "HD" -> {
                requireId(tokens, id);
                byte[] receipt = receipt(id, flag(tokens, RECEIPT_FLAG));
                yield new UpstreamReply(Outcome.SUCCEEDED, status, load, receipt, true);
            }
            case "EN" -> {
                requireId(tokens, id);
                yield new UpstreamReply(Outcome.CACHE_MISS, status, load, null, true);
            }
            case "SERVER_ERROR" -> {
                boolean isBusy = tokens.length > 1 && tokens[1].equals("busy");
                Outcome outcome = isBusy ? Outcome.REJECTED : Outcome.FAILED;
                yield new UpstreamReply(outcome, status, load, null, true);
            }
            default -> throw new ProtocolException("answered " + line);
        };
    }

    private static UpstreamReply readValue(ByteSource in, String line, String[] tokens, String id,
                                           int maxValueBytes, CacheStatus status, LoadReport load)
        throws IOException {
        long length = tokens.length < 2 ? -1 : NumberParser.parseWhole(tokens[1]);
        if (length < 0 || length > MetaCommand.MAX_VALUE_BYTES) {
            throw new ProtocolException("a value of impossible length, " + line);
        }
        if (length > maxValueBytes) {
            requireId(tokens, id);
            return new UpstreamReply(Outcome.SUCCEEDED, status, load, valueHead(length, id), true,
                new UpstreamReply.StreamedBody(length, true));
        }
        int valueBytes = (int) length;
        in.awaitBytes(valueBytes);
        byte[] response = allocateMessage(valueLine(length, id), valueBytes);
        in.readFully(response, valueOffset(response, valueBytes), valueBytes);
        in.readLineEnd();
        requireId(tokens, id);
        return new UpstreamReply(Outcome.SUCCEEDED, status, load, response, true);
    }

    /**
     * Reads a cache node's response to a load probe.
     *
     * @throws ProtocolException if the report has more than the maximum number of lines
     */
    public static UpstreamReply readProbeResponse(ByteSource in) throws IOException {
        Map<String, String> report = new LinkedHashMap<>();
        for (int i = 0; i < MAX_STAT_LINES; i++) {
            String[] tokens = tokens(in.readRequiredLine(MetaCommand.MAX_LINE_BYTES));
            if (tokens[0].equals("STAT") && tokens.length > 2) {
                report.put(tokens[1], tokens[2]);
            } else if (tokens[0].equals("END")) {
                return new UpstreamReply(Outcome.SUCCEEDED, CacheStatus.NONE,
                    KeyValueList.toLoadReport(report), null,
                    true);
            } else {
                return new UpstreamReply(Outcome.FAILED, CacheStatus.NONE, LoadReport.NONE, null, true);
            }
        }
        throw new ProtocolException("an endless report");
    }

    /** Returns the tokens of a line; one empty token if the line is blank. */
    private static String[] tokens(String line) {
        String[] tokens = line.split(" ");
        return tokens.length == 0 ? new String[] {""} : tokens;
    }

    private static void requireId(String[] tokens, String id) throws ProtocolException {
        if (!id.equals(flag(tokens, ID_FLAG))) {
            throw new ProtocolException("an answer for another query");
        }
    }

    /** Returns the text after the letter of a flag; empty if there is no such flag. */
    private static String flag(String[] tokens, char letter) {
        for (int i = 1; i < tokens.length; i++) {
            if (!tokens[i].isEmpty() && tokens[i].charAt(0) == letter) {
                return tokens[i].substring(1);
            }
        }
        return "";
    }

    private static LoadReport loadReport(String[] tokens) {
        String last = tokens[tokens.length - 1];
        return last.startsWith(LOAD_FLAG) ? KeyValueList.toLoadReport(KeyValueList.parse(last.substring(1)))
            : LoadReport.NONE;
    }

    private static CacheStatus cacheStatus(String[] tokens) {
        return switch (flag(tokens, HIT_FLAG)) {
            case "1" -> CacheStatus.HIT;
            case "0" -> Arrays.asList(tokens).contains(FETCH_PENDING_FLAG) ? CacheStatus.FETCH_PENDING
                : CacheStatus.MISS;
            default -> CacheStatus.NONE;
        };
    }

    /** Returns the command that requests the load report of a cache node. The array must not be modified. */
    public static byte[] loadProbe() {
        return LOAD_PROBE;
    }

    // ---- responses to clients

    /** Returns the response to a read. */
    public static byte[] value(byte[] value, String id) {
        return withValue(valueLine(value.length, id), value);
    }

    /** Returns the message before a value of the given length in bytes. */
    public static byte[] valueHead(long length, String id) {
        return encodeLine(valueLine(length, id));
    }

    /** Returns the line before a value, without its line end. */
    static String valueLine(long length, String id) {
        return "VA " + length + " " + ID_FLAG + id;
    }

    /** Returns a message of a line, a value, and the line end after the value. */
    static byte[] withValue(String line, byte[] value) {
        byte[] message = allocateMessage(line, value.length);
        System.arraycopy(value, 0, message, valueOffset(message, value.length), value.length);
        return message;
    }

    /** Returns the message of a line and a value, with zero bytes in place of the value. */
    private static byte[] allocateMessage(String line, int valueBytes) {
        byte[] head = encodeLine(line);
        byte[] message = Arrays.copyOf(head, head.length + valueBytes + LINE_END.length());
        message[message.length - 2] = '\r';
        message[message.length - 1] = '\n';
        return message;
    }

    private static int valueOffset(byte[] message, int valueBytes) {
        return message.length - LINE_END.length() - valueBytes;
    }

    /**
     * Returns the response to a write.
     *
     * @throws ProtocolException if the receipt is empty or has a character other than visible ASCII
     */
    public static byte[] receipt(String id, String receipt) throws ProtocolException {
        if (!CommandLine.isToken(receipt)) {
            throw new ProtocolException("no receipt");
        }
        return encodeLine("HD " + ID_FLAG + id + " " + RECEIPT_FLAG + receipt);
    }

    /**
     * Returns the response to a rejected request.
     *
     * @param retryAfterMillis the delay after which the client may retry; not sent if zero or less
     */
    public static byte[] rejected(long retryAfterMillis) {
        return encodeLine(
            retryAfterMillis > 0 ? "SERVER_ERROR busy " + retryAfterMillis : "SERVER_ERROR busy");
    }

    /** Returns the response to a failed request. */
    public static byte[] failed() {
        return encodeLine("SERVER_ERROR failed");
    }

    /** Returns the response to a readiness check. */
    public static byte[] ready() {
        return encodeLine("MN");
    }

    /** Returns the line end after a value. */
    public static byte[] lineEnd() {
        return encodeLine("");
    }

    /** Returns the ISO 8859-1 bytes of a line, with CRLF appended. */
    public static byte[] encodeLine(String line) {
        return (line + LINE_END).getBytes(StandardCharsets.ISO_8859_1);
    }
}
