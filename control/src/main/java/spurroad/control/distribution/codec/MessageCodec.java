package spurroad.control.distribution.codec;

import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import spurroad.control.distribution.message.Message;

/**
 * Encodes and decodes messages: a byte for the kind, the fields in the order of the record, and a CRC32C of
 * both. A message is decoded completely or not at all. Framing is left to the transport. Stateless and
 * thread-safe.
 */
public final class MessageCodec {
    private static final List<MessageFormat<?>> FORMATS = Stream
        .of(SubscriptionFormats.ALL, LeaseFormats.ALL, ReplicationFormats.ALL)
        .<MessageFormat<?>>flatMap(List::stream).toList();
    private static final Map<Class<?>, MessageFormat<?>> BY_TYPE = indexBy(MessageFormat::type);
    private static final Map<Integer, MessageFormat<?>> BY_KIND = indexBy(MessageFormat::kind);

    private MessageCodec() {}

    private static <K> Map<K, MessageFormat<?>> indexBy(Function<MessageFormat<?>, K> key) {
        return FORMATS.stream().collect(Collectors.toUnmodifiableMap(key, Function.identity()));
    }

    /** Returns the bytes of a message, including the checksum. */
    public static byte[] encode(Message message) {
        MessageFormat<?> format = BY_TYPE.get(message.getClass());
        if (format == null) {
            throw new IllegalArgumentException("no wire format for message type " + message.getClass());
        }
        MessageWriter out = new MessageWriter();
        format.write(out, message);
        return out.toByteArray();
    }

    /**
     * Decodes a message, which must use all of the bytes.
     *
     * @throws MalformedMessageException if the bytes are truncated, corrupted, inconsistent, or followed by
     *     more bytes
     */
    public static Message decode(byte[] bytes) throws MalformedMessageException {
        MessageReader in = new MessageReader(bytes);
        try {
            Message message = formatOf(in.readByte()).read(in);
            in.requireFullyRead();
            return message;
        } catch (IllegalArgumentException inconsistent) {
            throw new MalformedMessageException(inconsistent.getMessage(), inconsistent);
        }
    }

    private static MessageFormat<?> formatOf(int kind) throws MalformedMessageException {
        MessageFormat<?> format = BY_KIND.get(kind);
        if (format == null) {
            throw new MalformedMessageException("unknown message kind " + kind);
        }
        return format;
    }
}
