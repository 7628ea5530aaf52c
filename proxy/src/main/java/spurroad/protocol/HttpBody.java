package spurroad.protocol;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.Arrays;

/** Reads HTTP response bodies: of a declared length, chunked, or up to the end of the connection. */
final class HttpBody {
    // maximum length of a body without Content-Length
    private static final int MAX_UNDECLARED_BYTES = MetaCommand.MAX_BUFFERED_VALUE_BYTES;

    private HttpBody() {}

    /**
     * Reads a whole body.
     *
     * @throws ProtocolException if the body is too long or its chunks are malformed
     */
    static byte[] readWhole(ByteSource in, Http.Head head) throws IOException {
        if (!head.definesBodyLength()) {
            return readToEnd(in);
        }
        return head.isChunked() ? readChunks(in) : readExactly(in, head.contentLength("0"));
    }

    private static byte[] readToEnd(ByteSource in) throws IOException {
        byte[] body = new byte[MAX_UNDECLARED_BYTES + 1];
        int length = 0;
        for (int read = 0; read >= 0 && length < body.length;) {
            length += read;
            read = in.read(body, length, body.length - length);
        }
        if (length == body.length) {
            throw invalidLength();
        }
        return Arrays.copyOf(body, length);
    }

    private static byte[] readChunks(ByteSource in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        for (long size = readChunkSize(in); size > 0; size = readChunkSize(in)) {
            byte[] chunk = readExactly(in, size);
            in.readLineEnd();
            if (body.size() + chunk.length > MAX_UNDECLARED_BYTES) {
                throw invalidLength();
            }
            body.writeBytes(chunk);
        }
        skipTrailers(in);
        return body.toByteArray();
    }

    private static void skipTrailers(ByteSource in) throws IOException {
        for (int i = 0; !in.readRequiredLine(Http.MAX_HEAD_LINE_BYTES).isEmpty(); i++) {
            if (i > Http.MAX_HEADERS) {
                throw new ProtocolException("too many headers");
            }
        }
    }

    private static byte[] readExactly(ByteSource in, long length) throws IOException {
        if (length < 0 || length > MetaCommand.MAX_VALUE_BYTES) {
            throw invalidLength();
        }
        return in.readFully((int) length);
    }

    private static ProtocolException invalidLength() {
        return new ProtocolException("HTTP body length malformed or over the maximum");
    }

    /** Reads the line before a chunk; returns the chunk size in bytes, which is zero for the last chunk. */
    private static long readChunkSize(ByteSource in) throws IOException {
        String digits = in.readRequiredLine(Http.MAX_HEAD_LINE_BYTES).split(";", 2)[0].strip();
        long size = parseHexadecimal(digits);
        if (size < 0 || size > Http.MAX_LIST_BYTES) {
            throw new ProtocolException("HTTP chunk size malformed or over the maximum");
        }
        return size;
    }

    /** Parses a number that consists of hexadecimal digits only; returns -1 for any other text. */
    private static long parseHexadecimal(String digits) {
        try {
            long number = Long.parseLong(digits, 16);
            boolean hasSign = Character.digit(digits.charAt(0), 16) < 0;
            return hasSign ? -1 : number;
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    /** A streaming body, decoded from its chunks, that ends with the last chunk or with the connection. */
    static final class BodyInputStream extends InputStream {
        private final ByteSource in;
        private final boolean isChunked;
        private long chunkRemaining;
        private boolean isEnded;

        BodyInputStream(ByteSource in, boolean isChunked) {
            this.in = in;
            this.isChunked = isChunked;
        }

        @Override
        public int read() throws IOException {
            byte[] single = new byte[1];
            return read(single, 0, 1) < 0 ? -1 : single[0] & 0xff;
        }

        @Override
        public int read(byte[] into, int from, int maxBytes) throws IOException {
            if (!isChunked) {
                return in.read(into, from, maxBytes);
            }
            if (!isEnded && chunkRemaining == 0) {
                chunkRemaining = readChunkSize(in);
                isEnded = chunkRemaining == 0;
            }
            if (isEnded) {
                return -1;
            }
            int count = (int) Math.min(chunkRemaining, maxBytes);
            in.readFully(into, from, count);
            chunkRemaining -= count;
            if (chunkRemaining == 0) {
                in.readLineEnd();
            }
            return count;
        }
    }
}
