package spurroad.protocol;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Decodes an HTTP response body of unknown length from a fed source, as its bytes arrive: chunked, or up to
 * the end of the connection. Chunk sizes, extensions and trailers are dropped at once, so the decoder holds
 * no memory that grows with the body.
 *
 * <p>Not thread-safe.
 */
public final class HttpBodyDecoder {
    /** What decoding waits for. */
    public enum Progress {
        /** All bytes in the source were decoded; more have to be fed. */
        BYTES_NEEDED,
        /** The target is full. */
        SPACE_NEEDED,
        /** The body is complete. */
        COMPLETE
    }

    private enum State { CHUNK_SIZE, CHUNK_DATA, CHUNK_END, TRAILERS, UP_TO_END, COMPLETE }

    private State state;
    private long chunkRemaining; // bytes of the current chunk still expected
    private long totalBytes; // of the body, as far as it is decoded or announced
    private int trailers;

    private HttpBodyDecoder(State state, long totalBytes, long chunkRemaining) {
        this.state = state;
        this.totalBytes = totalBytes;
        this.chunkRemaining = chunkRemaining;
    }

    /**
     * Creates a decoder that continues inside a chunk.
     *
     * @param precedingBytes bytes of the body before this chunk
     * @param chunkBytes size of the chunk, of which nothing has been read
     * @throws ProtocolException if the body is over the maximum
     */
    static HttpBodyDecoder insideChunk(long precedingBytes, long chunkBytes) throws ProtocolException {
        HttpBodyDecoder decoder = new HttpBodyDecoder(State.CHUNK_DATA, precedingBytes, 0);
        decoder.beginChunk(chunkBytes);
        return decoder;
    }

    /** Creates a decoder that continues a body that ends with the connection. */
    static HttpBodyDecoder upToEnd(long precedingBytes) {
        return new HttpBodyDecoder(State.UP_TO_END, precedingBytes, 0);
    }

    /**
     * Moves decoded bytes from the source into the target, as many as there are and as it has space for.
     *
     * @throws IOException if the body is malformed, is over the maximum length, or ends too early
     */
    public Progress decode(ByteSource in, ByteBuffer target) throws IOException {
        while (state != State.COMPLETE) {
            Progress obstacle = switch (state) {
                case CHUNK_SIZE -> decodeChunkSize(in);
                case CHUNK_DATA -> decodeChunkData(in, target);
                case CHUNK_END -> decodeChunkEnd(in);
                case TRAILERS -> decodeTrailer(in);
                default -> decodeUpToEnd(in, target);
            };
            if (obstacle != null) {
                return obstacle;
            }
        }
        return Progress.COMPLETE;
    }

    // Each of the following decodes one part; returns null if it was decoded, or else what it waits for.

    private Progress decodeChunkSize(ByteSource in) throws IOException {
        Long size = in.readMessage(HttpBody::readChunkSize);
        if (size == null) {
            return Progress.BYTES_NEEDED;
        }
        if (size == 0) {
            state = State.TRAILERS;
        } else {
            beginChunk(size);
        }
        return null;
    }

    /** Checks the length of the body before any byte of the chunk is read. */
    private void beginChunk(long chunkBytes) throws ProtocolException {
        totalBytes += chunkBytes;
        if (totalBytes > MetaCommand.MAX_VALUE_BYTES) {
            throw HttpBody.invalidLength();
        }
        chunkRemaining = chunkBytes;
        state = State.CHUNK_DATA;
    }

    private Progress decodeChunkData(ByteSource in, ByteBuffer target) throws IOException {
        if (in.isAtEnd()) {
            throw new EOFException("end of stream inside a chunk");
        }
        if (in.available() == 0) {
            return Progress.BYTES_NEEDED;
        }
        if (!target.hasRemaining()) {
            return Progress.SPACE_NEEDED;
        }
        chunkRemaining -= in.moveBuffered(target, chunkRemaining);
        state = chunkRemaining == 0 ? State.CHUNK_END : State.CHUNK_DATA;
        return null;
    }

    private Progress decodeChunkEnd(ByteSource in) throws IOException {
        Boolean isRead = in.readMessage(source -> {
            source.readLineEnd();
            return Boolean.TRUE;
        });
        if (isRead == null) {
            return Progress.BYTES_NEEDED;
        }
        state = State.CHUNK_SIZE;
        return null;
    }

    private Progress decodeTrailer(ByteSource in) throws IOException {
        String line = in.readMessage(source -> source.readRequiredLine(Http.MAX_HEAD_LINE_BYTES));
        if (line == null) {
            return Progress.BYTES_NEEDED;
        }
        if (line.isEmpty()) {
            state = State.COMPLETE;
        } else if (trailers++ >= Http.MAX_HEADERS) {
            throw HttpBody.tooManyHeaders();
        }
        return null;
    }

    private Progress decodeUpToEnd(ByteSource in, ByteBuffer target) throws IOException {
        if (in.isAtEnd()) {
            state = State.COMPLETE;
            return null;
        }
        if (in.available() == 0) {
            return Progress.BYTES_NEEDED;
        }
        if (totalBytes == MetaCommand.MAX_VALUE_BYTES) {
            throw HttpBody.invalidLength();
        }
        if (!target.hasRemaining()) {
            return Progress.SPACE_NEEDED;
        }
        totalBytes += in.moveBuffered(target, MetaCommand.MAX_VALUE_BYTES - totalBytes);
        return null;
    }
}
