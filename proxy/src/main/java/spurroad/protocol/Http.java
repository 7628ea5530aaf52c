package spurroad.protocol;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import spurroad.model.CacheStatus;
import spurroad.model.LoadReport;
import spurroad.model.Outcome;

/** Encodes HTTP/1.1 requests to the origin and to discovery, and reads their responses. */
public final class Http {
    static final int MAX_LIST_BYTES = 4 * 1024 * 1024; // 1,024 endpoints with long names, indented
    static final int MAX_HEAD_LINE_BYTES = 8192; // the usual limit of HTTP servers
    static final int MAX_HEADERS = 100; // the usual limit of HTTP servers

    private static final String VERSION_PREFIX = "HTTP/1.";
    private static final int OK = 200;
    private static final int FIRST_FINAL_STATUS = 200; // lower ones are informational
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final String CONTENT_LENGTH = "content-length";
    private static final String TRANSFER_ENCODING = "transfer-encoding";
    private static final Set<String> LENGTH_HEADERS = Set.of(CONTENT_LENGTH, TRANSFER_ENCODING);
    private static final String UNRESERVED_PUNCTUATION = "-._~"; // not escaped in paths

    /**
     * The head of a response.
     *
     * @param headers the header values by lower-case header name
     */
    public record Head(int status, Map<String, String> headers) {
        boolean isChunked() {
            return header(TRANSFER_ENCODING).toLowerCase(Locale.ROOT).contains("chunked");
        }

        /**
         * Returns whether the head defines the end of the body; otherwise the body ends with the connection.
         */
        boolean definesBodyLength() {
            return isChunked() || headers.containsKey(CONTENT_LENGTH) || status == NO_CONTENT
                || status == NOT_MODIFIED;
        }

        boolean isKeepAlive() {
            return definesBodyLength() && !header("connection").equalsIgnoreCase("close");
        }

        /**
         * Returns the Content-Length in bytes, parsed from the header or else from a default text; -1 if that
         * is not a number.
         */
        long contentLength(String defaultText) {
            return NumberParser.parseWhole(headers.getOrDefault(CONTENT_LENGTH, defaultText));
        }

        LoadReport loadReport() {
            return KeyValueList.toLoadReport(KeyValueList.parse(header("x-load")));
        }

        private String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }

    private Http() {}

    // ---- requests

    /** Returns a GET request without headers other than Host. */
    public static byte[] get(String target, String host) {
        return request("GET", target, host, Map.of(), 0, null);
    }

    /**
     * Returns the request to the origin for a command, without a long value. The request id and the
     * attributes are passed on unchanged, except for the timeout, which is the time that the proxy will wait.
     */
    public static byte[] forOrigin(MetaCommand command, long timeoutMillis, String host) {
        Map<String, String> headers = Map.of("X-Request-Id", command.id(), "X-Extras",
            command.attributesWithTimeout(timeoutMillis));
        String target = "/" + percentEncode(command.key());
        return command.kind == MetaCommand.Kind.WRITE
            ? request("PUT", target, host, headers, command.valueLength(), command.value)
            : request("GET", target, host, headers, 0, null);
    }

    /**
     * Encodes a request.
     *
     * @param contentLength the length of the body in bytes, which may follow later
     * @param body the body; null if the request has none, shorter than {@code contentLength} if it follows
     *     later
     */
    private static byte[] request(String method, String target, String host, Map<String, String> headers,
                                  int contentLength, byte[] body) {
        StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        if (body != null) {
            head.append("Content-Length: ").append(contentLength).append("\r\n");
        }
        byte[] headBytes = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
        if (body == null) {
            return headBytes;
        }
        byte[] message = Arrays.copyOf(headBytes, headBytes.length + body.length);
        System.arraycopy(body, 0, message, headBytes.length, body.length);
        return message;
    }

    private static String percentEncode(String key) {
        StringBuilder path = new StringBuilder();
        for (char c : key.toCharArray()) {
            boolean isUnreserved = c < 128 && Character.isLetterOrDigit(c)
                || UNRESERVED_PUNCTUATION.indexOf(c) >= 0;
            path.append(isUnreserved ? String.valueOf(c) : String.format("%%%02X", (int) c));
        }
        return path.toString();
    }

    // ---- response heads

    /**
     * Reads the head of the final response and skips informational responses before it.
     *
     * @throws ProtocolException if a head is malformed, or defines the body's length in two ways
     */
    public static Head readFinalHead(ByteSource in) throws IOException {
        Head head = readSingleHead(in);
        for (int i = 0; head.status < FIRST_FINAL_STATUS && i < MAX_HEADERS; i++) {
            head = readSingleHead(in);
        }
        return head;
    }

    private static Head readSingleHead(ByteSource in) throws IOException {
        int status = parseStatus(in.readRequiredLine(MAX_HEAD_LINE_BYTES));
        Map<String, String> headers = new HashMap<>();
        for (int i = 0; i < MAX_HEADERS; i++) {
            String line = in.readRequiredLine(MAX_HEAD_LINE_BYTES);
            if (line.isEmpty()) {
                if (headers.keySet().containsAll(LENGTH_HEADERS)) {
                    throw new ProtocolException("a length beside chunks");
                }
                return new Head(status, headers);
            }
            addHeader(headers, line);
        }
        throw new ProtocolException("too many headers");
    }

    private static int parseStatus(String line) throws ProtocolException {
        String[] parts = line.split(" ", 3);
        boolean isHttp = parts.length >= 2 && parts[0].startsWith(VERSION_PREFIX);
        long status = isHttp ? NumberParser.parseWhole(parts[1]) : -1;
        if (status < 100 || status > 999) {
            throw new ProtocolException("no HTTP answer");
        }
        return (int) status;
    }

    private static void addHeader(Map<String, String> headers, String line) throws ProtocolException {
        int separator = line.indexOf(':');
        if (separator <= 0) {
            throw new ProtocolException("a header without a name");
        }
        String name = line.substring(0, separator).toLowerCase(Locale.ROOT);
        String previous = headers.put(name, line.substring(separator + 1).strip());
        if (previous != null && LENGTH_HEADERS.contains(name)) {
            throw new ProtocolException("two headers " + name);
        }
    }

    // ---- responses of the origin

    /**
     * Reads the origin's response to a command, with its value unless that is longer than
     * {@link MetaCommand#MAX_BUFFERED_VALUE_BYTES}.
     *
     * @throws ProtocolException if the response is malformed
     */
    public static UpstreamReply read(ByteSource in, MetaCommand command) throws IOException {
        return read(in, command, MetaCommand.MAX_BUFFERED_VALUE_BYTES);
    }

    /**
     * Reads the origin's response to a command.
     *
     * @param maxValueBytes a longer value is left in the source, but for its start if its length is unknown
     * @throws ProtocolException if the response is malformed
     */
    public static UpstreamReply read(ByteSource in, MetaCommand command, int maxValueBytes)
        throws IOException {
        Head head = readFinalHead(in);
        if (hasStreamedBody(head, command, maxValueBytes)) {
            return streamedReply(head, command);
        }
        if (mayHaveLongValue(head, command)) {
            HttpBody.Start start = HttpBody.readStart(in, head, maxValueBytes);
            return start.rest() == null ? reply(head, command, start.bytes())
                : UpstreamReply.unsized(head.loadReport(), head.isKeepAlive(),
                    new UpstreamReply.UnsizedBody(start.bytes(), start.rest()));
        }
        if (hasLongErrorBody(head)) {
            return errorWithoutBody(head);
        }
        return reply(head, command, HttpBody.readWhole(in, head));
    }

    /** Returns whether a body that nobody uses is too long to be read with its reply. */
    private static boolean hasLongErrorBody(Head head) {
        return head.status != OK && !head.isChunked()
            && head.contentLength("0") > MetaCommand.MAX_BUFFERED_VALUE_BYTES;
    }

    /** Returns the reply of an error whose body is left unread, so that its connection can't be reused. */
    private static UpstreamReply errorWithoutBody(Head head) {
        return new UpstreamReply(outcome(head), CacheStatus.NONE, head.loadReport(), null, false);
    }

    /** Returns whether the body is a value, which may be longer than other bodies. */
    private static boolean mayHaveLongValue(Head head, MetaCommand command) {
        return head.status == OK && command != null && command.kind == MetaCommand.Kind.READ;
    }

    private static UpstreamReply reply(Head head, MetaCommand command, byte[] body) throws ProtocolException {
        Outcome outcome = outcome(head);
        byte[] response = outcome == Outcome.SUCCEEDED && command != null ? response(command, body) : null;
        return new UpstreamReply(outcome, CacheStatus.NONE, head.loadReport(), response, head.isKeepAlive());
    }

    private static UpstreamReply streamedReply(Head head, MetaCommand command) {
        long length = head.contentLength("");
        byte[] line = MetaResponse.valueHead(length, command.id());
        return new UpstreamReply(Outcome.SUCCEEDED, CacheStatus.NONE, head.loadReport(), line,
            head.isKeepAlive(), new UpstreamReply.StreamedBody(length, false));
    }

    /** Reads the origin's response to a load probe; the load report is in a header. */
    public static UpstreamReply readProbeResponse(ByteSource in) throws IOException {
        return read(in, null);
    }

    private static boolean hasStreamedBody(Head head, MetaCommand command, int maxValueBytes) {
        long length = head.isChunked() ? -1 : head.contentLength("");
        return mayHaveLongValue(head, command) && length > maxValueBytes
            && length <= MetaCommand.MAX_VALUE_BYTES;
    }

    private static Outcome outcome(Head head) {
        if (head.status == OK) {
            return Outcome.SUCCEEDED;
        }
        boolean isOverload = head.status == SERVICE_UNAVAILABLE || head.status == GATEWAY_TIMEOUT;
        return isOverload && head.header("x-not-run").equals("1") ? Outcome.REJECTED : Outcome.FAILED;
    }

    private static byte[] response(MetaCommand command, byte[] body) throws ProtocolException {
        return command.kind == MetaCommand.Kind.READ ? MetaResponse.value(body, command.id())
            : MetaResponse.receipt(command.id(), new String(body, StandardCharsets.ISO_8859_1).strip());
    }

    // ---- discovery streams

    /** Returns the body of a streaming response, without chunk boundaries, which may be inside lines. */
    public static ByteSource bodyStream(ByteSource in, Head head) {
        return new ByteSource(new HttpBody.BodyInputStream(in, head.isChunked()));
    }

    /**
     * Reads the next endpoint list, which is one JSON object of one or more lines, or an empty line; returns
     * null at the end of the stream.
     */
    public static String readListText(ByteSource stream) throws IOException {
        return JsonObjectStream.next(stream, MAX_LIST_BYTES);
    }
}
