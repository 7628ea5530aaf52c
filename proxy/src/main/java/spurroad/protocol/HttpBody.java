package spurroad.protocol;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.Arrays;

/** Reads HTTP response bodies: of a declared length, chunked, or up to the end of the connection. */
final class HttpBody {
    /** Maximum bytes of a body of unknown length that are read at once. */
    private static final int MAX_BUFFERED_BYTES = MetaCommand.MAX_BUFFERED_VALUE_BYTES;
    /** Maximum bytes of all lines with chunk sizes and extensions in a body that is read at once. */
    private static final int MAX_CHUNK_LINE_BYTES = MAX_BUFFERED_BYTES;

    /**
     * As much of a body as was read at once.
     *
     * @param rest decodes the rest of the body; null if the body is complete
     */
    record Start(byte[] bytes, HttpBodyDecoder rest) {}

    private HttpBody() {}

    /**
     * Reads a whole body.
     *
     * @throws ProtocolException if the body is too long or its chunks are malformed
     */
    static byte[] readWhole(ByteSource in, Http.Head head) throws IOException {
        Start start = readStart(in, head, MAX_BUFFERED_BYTES);
        if (start.rest != null) {
            throw invalidLength();
        }
        return start.bytes;
    }

    /**
     * Reads a whole body, or the start of a long one of unknown length. Nothing of a chunk is read if the
     * body is a long one with it.
     *
     * @param maxBytes the longest body of unknown length that is read whole
     * @throws ProtocolException if the declared length is over the maximum, or a chunk is malformed
     */
    static Start readStart(ByteSource in, Http.Head head, int maxBytes) throws IOException {
        if (!head.definesBodyLength()) {
            return readUpToEnd(in, maxBytes);
        }
        return head.isChunked() ? readChunks(in, maxBytes)
            : new Start(readExactly(in, head.contentLength("0")), null);
    }

    private static Start readUpToEnd(ByteSource in, int maxBytes) throws IOException {
        byte[] body = new byte[maxBytes + 1];
        int length = 0;
        for (int read = 0; read >= 0 && length < body.length;) {
            length += read;
            read = in.read(body, length, body.length - length);
        }
        HttpBodyDecoder rest = length < body.length ? null : HttpBodyDecoder.upToEnd(length);
        return new Start(Arrays.copyOf(body, length), rest);
    }

    private static Start readChunks(ByteSource in, int maxBytes) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        String line = readChunkLine(in);
        long lineBytes = line.length();
        for (long size = parseChunkSize(line); size > 0; size = parseChunkSize(line)) {
            if (body.size() + size > maxBytes || lineBytes > MAX_CHUNK_LINE_BYTES) {
                return new Start(body.toByteArray(), HttpBodyDecoder.insideChunk(body.size(), size));
            }
            body.writeBytes(readExactly(in, size));
            in.readLineEnd();
            line = readChunkLine(in);
            lineBytes += line.length();
        }
        skipTrailers(in);
        return new Start(body.toByteArray(), null);
    }

    private static void skipTrailers(ByteSource in) throws IOException {
        for (int i = 0; !in.readRequiredLine(Http.MAX_HEAD_LINE_BYTES).isEmpty(); i++) {
            if (i > Http.MAX_HEADERS) {
                throw tooManyHeaders();
            }
        }
    }

    private static byte[] readExactly(ByteSource in, long length) throws IOException {
        if (length < 0 || length > MetaCommand.MAX_VALUE_BYTES) {
            throw invalidLength();
        }
        return in.readFully((int) length);
    }

    static ProtocolException tooManyHeaders() {
        return new ProtocolException("too many headers");
    }

    static ProtocolException invalidLength() {
        return new ProtocolException("HTTP body length malformed or over the maximum");
    }

    /** Reads the line before a chunk; returns the chunk size in bytes, which is zero for the last chunk. */
    static long readChunkSize(ByteSource in) throws IOException {
        return parseChunkSize(readChunkLine(in));
    }

    private static String readChunkLine(ByteSource in) throws IOException {
        return in.readRequiredLine(Http.MAX_HEAD_LINE_BYTES);
    }

    private static long parseChunkSize(String line) throws ProtocolException {
        long size = parseHexadecimal(line.split(";", 2)[0].strip());
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
