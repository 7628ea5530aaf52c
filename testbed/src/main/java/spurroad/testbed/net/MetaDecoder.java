package spurroad.testbed.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Decodes commands and responses of the memcache meta protocol: a line each, some with a data block. */
final class MetaDecoder extends ByteToMessageDecoder {
    /**
     * One command or response.
     *
     * @param words the line, split at its spaces
     * @param value the data block; empty if there is none
     */
    record Message(String[] words, byte[] value) {
        /** Returns the value of a flag; empty if the line doesn't have the flag. */
        String flag(char letter) {
            for (int i = 1; i < words.length; i++) {
                if (!words[i].isEmpty() && words[i].charAt(0) == letter) {
                    return words[i].substring(1);
                }
            }
            return "";
        }
    }

    /** The bytes received are no message; the connection can't be used any more. */
    static final class MalformedMessageException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        MalformedMessageException(String message) {
            super(message);
        }
    }

    private static final int MAX_LINE_BYTES = 4096;
    private static final int MAX_VALUE_BYTES = 4 << 20;
    private static final int LINE_FEED_BYTES = 1;
    private static final int CRLF_BYTES = 2;
    private static final int NO_VALUE = -1;
    private static final byte[] EMPTY = {};

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
        int lineBytes = in.bytesBefore((byte) '\n');
        if (lineBytes < 0) {
            if (in.readableBytes() > MAX_LINE_BYTES) {
                throw new MalformedMessageException("line without end");
            }
            return;
        }
        String[] words = peekLine(in, lineBytes).split(" ");
        int valueBytes = valueBytes(words);
        if (valueBytes == NO_VALUE) {
            in.skipBytes(lineBytes + LINE_FEED_BYTES);
            out.add(new Message(words, EMPTY));
        } else if (in.readableBytes() >= lineBytes + LINE_FEED_BYTES + valueBytes + CRLF_BYTES) {
            in.skipBytes(lineBytes + LINE_FEED_BYTES);
            out.add(new Message(words, readValue(in, valueBytes)));
        }
    }

    private static String peekLine(ByteBuf in, int lineBytes) {
        int start = in.readerIndex();
        boolean endsWithCr = lineBytes > 0 && in.getByte(start + lineBytes - 1) == '\r';
        return in.toString(start, endsWithCr ? lineBytes - 1 : lineBytes, StandardCharsets.ISO_8859_1);
    }

    private static byte[] readValue(ByteBuf in, int valueBytes) {
        byte[] value = new byte[valueBytes];
        in.readBytes(value);
        if (in.readByte() != '\r' || in.readByte() != '\n') {
            throw new MalformedMessageException("value longer than its stated length");
        }
        return value;
    }

    /** Returns the length of the data block that follows a line; {@link #NO_VALUE} if none follows. */
    private static int valueBytes(String[] words) {
        if (words.length > 2 && words[0].equals("ms")) {
            return parseLength(words[2]);
        }
        if (words.length > 1 && words[0].equals("VA")) {
            return parseLength(words[1]);
        }
        return NO_VALUE;
    }

    private static int parseLength(String word) {
        try {
            int length = Integer.parseInt(word);
            if (length >= 0 && length <= MAX_VALUE_BYTES) {
                return length;
            }
        } catch (NumberFormatException e) {
            // reported below, like a length out of range
        }
        throw new MalformedMessageException("malformed length: " + word);
    }
}
