package spurroad.control.distribution.codec;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.zip.CRC32C;

/** Writes primitive types into a growing array. Not thread-safe. */
final class MessageWriter {
    private static final int INITIAL_BYTES = 64;

    private byte[] bytes = new byte[INITIAL_BYTES];
    private int length;

    /** Writes the low eight bits of a value. */
    void writeByte(int value) {
        ensureCapacity(1);
        bytes[length++] = (byte) value;
    }

    void writeBoolean(boolean value) {
        writeByte(value ? 1 : 0);
    }

    /** Writes a number of 0 or more with seven bits per byte, the low ones first (LEB128). */
    void writeVarint(long value) {
        long remaining = value;
        while ((remaining & ~0x7FL) != 0) {
            writeByte((int) ((remaining & 0x7F) | 0x80));
            remaining >>>= 7;
        }
        writeByte((int) remaining);
    }

    /** Writes a number of -1 or more, where -1 stands for no value. */
    void writeVarintOrNone(long value) {
        writeVarint(value + 1);
    }

    /** Writes a long as eight bytes in big-endian order. */
    void writeFixed64(long value) {
        ensureCapacity(Long.BYTES);
        for (int shift = 56; shift >= 0; shift -= 8) {
            bytes[length++] = (byte) (value >>> shift);
        }
    }

    /** Writes a string in UTF-8, preceded by its length in bytes. */
    void writeString(String value) {
        writeBytes(value.getBytes(StandardCharsets.UTF_8));
    }

    /** Writes bytes, preceded by their number. */
    void writeBytes(byte[] value) {
        writeVarint(value.length);
        ensureCapacity(value.length);
        System.arraycopy(value, 0, bytes, length, value.length);
        length += value.length;
    }

    private void ensureCapacity(int additionalBytes) {
        if (length + additionalBytes > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(bytes.length * 2, length + additionalBytes));
        }
    }

    /** Appends the checksum of all written bytes; returns the bytes including the checksum. */
    byte[] toByteArray() {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, 0, length);
        int crc = (int) checksum.getValue();
        for (int shift = 24; shift >= 0; shift -= 8) {
            writeByte(crc >>> shift);
        }
        return Arrays.copyOf(bytes, length);
    }
}
