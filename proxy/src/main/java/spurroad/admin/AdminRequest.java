package spurroad.admin;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import spurroad.protocol.ByteSource;
import spurroad.protocol.ProtocolException;

/**
 * An HTTP/1.x request. Headers and the body are skipped, except for the header with the body's length.
 *
 * @param target the path and the query, as sent
 */
record AdminRequest(String method, String target) {
    static final int MAX_LINE_BYTES = 2048; // several times the longest request line in use
    private static final int MAX_HEADERS = 64; // HTTP clients send about a dozen
    private static final int MAX_BODY_BYTES = 4096; // HTTP clients may send a body; no route reads it
    private static final String EXPECTED_REQUEST_LINE = "expected METHOD /PATH HTTP/1.1";

    /**
     * Reads one request.
     *
     * @throws ProtocolException if the request is malformed; its message says what was expected
     */
    static AdminRequest read(ByteSource in) throws IOException {
        String[] requestLine = readLine(in).split(" ");
        if (requestLine.length != 3 || !requestLine[1].startsWith("/")
            || !requestLine[2].startsWith("HTTP/1.")) {
            throw new ProtocolException(EXPECTED_REQUEST_LINE);
        }
        skipBody(in, readContentLength(in));
        return new AdminRequest(requestLine[0], requestLine[1]);
    }

    /** Reads all headers; returns the length of the body in bytes, zero if no header defines it. */
    private static int readContentLength(ByteSource in) throws IOException {
        int contentLength = 0;
        for (int i = 0; i <= MAX_HEADERS; i++) {
            String header = readLine(in);
            if (header.isEmpty()) {
                return contentLength;
            }
            int colon = header.indexOf(':');
            if (colon <= 0) {
                throw new ProtocolException("expected headers of the form NAME: VALUE");
            }
            String name = header.substring(0, colon);
            if (name.equalsIgnoreCase("content-length")) {
                contentLength = parseContentLength(header.substring(colon + 1).strip());
            } else if (name.equalsIgnoreCase("transfer-encoding")) {
                throw new ProtocolException("expected Content-Length, if there is a body");
            }
        }
        throw new ProtocolException("expected " + MAX_HEADERS + " headers at most");
    }

    private static void skipBody(ByteSource in, int length) throws IOException {
        in.readFully(new byte[length], 0, length);
    }

    private static String readLine(ByteSource in) throws IOException {
        String line = in.readLine(MAX_LINE_BYTES);
        if (line == null) {
            throw new ProtocolException(EXPECTED_REQUEST_LINE);
        }
        return line;
    }

    private static int parseContentLength(String text) throws ProtocolException {
        try {
            int length = Integer.parseInt(text);
            if (length >= 0 && length <= MAX_BODY_BYTES) {
                return length;
            }
        } catch (NumberFormatException e) {
            // rejected below, like a number out of range
        }
        throw new ProtocolException("expected a Content-Length from 0 to " + MAX_BODY_BYTES);
    }

    /** Returns the path without the query; percent escapes are not decoded. */
    String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /** Decodes the percent escapes in a part of a path; returns null if an escape is malformed. */
    static String percentDecoded(String part) {
        byte[] bytes = new byte[part.length()];
        int length = 0;
        for (int i = 0; i < part.length(); i++) {
            char c = part.charAt(i);
            if (c == '%') {
                int high = i + 2 < part.length() ? Character.digit(part.charAt(i + 1), 16) : -1;
                int low = high < 0 ? -1 : Character.digit(part.charAt(i + 2), 16);
                if (low < 0) {
                    return null;
                }
                bytes[length++] = (byte) (high * 16 + low);
                i += 2;
            } else {
                bytes[length++] = (byte) c;
            }
        }
        return new String(bytes, 0, length, StandardCharsets.UTF_8);
    }
}
