package spurroad.control.distribution.codec;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.zip.CRC32C;

/**
 * Reads the primitive types that a {@link MessageWriter} writes. Verifies the checksum first, and then each
 * value, so that invalid bytes cause no other exception, and no array larger than the message. Not
 * thread-safe.
 */
final class MessageReader {
    private static final int CHECKSUM_BYTES = 4;

    private final byte[] bytes;
    private final int end;
    private int position;

    MessageReader(byte[] bytes) throws MalformedMessageException {
        this.bytes = bytes;
        end = bytes.length - CHECKSUM_BYTES;
        if (end < 1) {
            throw new MalformedMessageException(
                "message has " + bytes.length + " bytes: expected at least 5");
        }
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, 0, end);
        if ((int) checksum.getValue() != ByteBuffer.wrap(bytes).getInt(end)) {
            throw new MalformedMessageException("checksum does not match the content");
        }
    }

    /** Reads an unsigned byte, from 0 to 255. */
    int readByte() throws MalformedMessageException {
        requireRemaining(1);
        return bytes[position++] & 0xFF;
    }

    boolean readBoolean() throws MalformedMessageException {
        int value = readByte();
        if (value > 1) {
            throw new MalformedMessageException("boolean: expected 0 or 1, got " + value);
        }
        return value == 1;
    }

    /** Reads a number of 0 or more (LEB128), which must be in its shortest encoding. */
    long readVarint() throws MalformedMessageException {
        long value = 0;
        for (int shift = 0; shift < 63; shift += 7) {
            int next = readByte();
            value |= (long) (next & 0x7F) << shift;
            if (next < 0x80) {
                if (next == 0 && shift > 0) {
                    throw new MalformedMessageException(
                        "varint has a redundant zero byte: expected the shortest encoding");
                }
                return value;
            }
        }
        throw new MalformedMessageException("varint has more than 63 bits");
    }

    /** Reads a number of -1 or more, where -1 stands for no value. */
    long readVarintOrNone() throws MalformedMessageException {
        return readVarint() - 1;
    }

    /** Reads the number of elements that follow, each of at least {@code minBytesEach} bytes. */
    int readCount(int minBytesEach) throws MalformedMessageException {
        long count = readVarint();
        if (count > (end - position) / minBytesEach) {
            throw new MalformedMessageException(
                "count or length of " + count + " exceeds the " + (end - position) + " remaining bytes");
        }
        return (int) count;
    }

    /** Reads a long of eight bytes in big-endian order. */
    long readFixed64() throws MalformedMessageException {
        requireRemaining(Long.BYTES);
        long value = ByteBuffer.wrap(bytes).getLong(position);
        position += Long.BYTES;
        return value;
    }

    /** Reads a string in UTF-8, preceded by its length in bytes. */
    String readString() throws MalformedMessageException {
        byte[] encoded = readBytes();
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(encoded)).toString();
        } catch (CharacterCodingException invalid) {
            throw new MalformedMessageException("string is not valid UTF-8", invalid);
        }
    }

    /** Reads bytes, preceded by their number, into a new array. */
    byte[] readBytes() throws MalformedMessageException {
        int length = readCount(1);
        position += length;
        return Arrays.copyOfRange(bytes, position - length, position);
    }

    /** Throws an exception unless all bytes before the checksum were read. */
    void requireFullyRead() throws MalformedMessageException {
        if (position != end) {
            throw new MalformedMessageException(end - position + " unread bytes after the last field");
        }
    }

    private void requireRemaining(int byteCount) throws MalformedMessageException {
        if (end - position < byteCount) {
            throw new MalformedMessageException("message is truncated: a field ends after the last byte");
        }
    }
}
