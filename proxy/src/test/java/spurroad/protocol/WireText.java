package spurroad.protocol;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Converts protocol texts, with one character per byte, to bytes and streams. */
final class WireText {
    private WireText() {}

    /** Returns a blocking source that provides the text and then ends. */
    static ByteSource stream(String text) {
        return new ByteSource(new ByteArrayInputStream(bytes(text)));
    }

    /**
     * Returns a blocking source that provides the first bytes at the first reads, and the rest at later ones.
     */
    static ByteSource streamInTwoParts(String text, int firstBytes) {
        byte[] all = bytes(text);
        return new ByteSource(new InputStream() {
            private int position;

            @Override
            public int read() {
                return position < all.length ? all[position++] & 0xff : -1;
            }

            @Override
            public int read(byte[] into, int from, int maxBytes) {
                if (position == all.length) {
                    return -1;
                }
                int remaining = position < firstBytes ? firstBytes - position : all.length - position;
                int count = Math.min(maxBytes, remaining);
                System.arraycopy(all, position, into, from, count);
                position += count;
                return count;
            }
        });
    }

    /** Reads a message from a source that is fed byte by byte; returns null if the text is incomplete. */
    static <T> T readByteByByte(String text, ByteSource.Parser<T> parser) throws IOException {
        ByteSource source = new ByteSource();
        T message = null;
        for (byte next : bytes(text)) {
            source.feed(ByteBuffer.wrap(new byte[] {next}));
            if (message == null && source.mayHaveMessage()) {
                message = source.readMessage(parser);
            }
        }
        return message;
    }

    /** Returns the ISO 8859-1 bytes of a text. */
    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Returns the ISO 8859-1 text of bytes; null for null. */
    static String text(byte[] bytes) {
        return bytes == null ? null : new String(bytes, StandardCharsets.ISO_8859_1);
    }
}
