package spurroad.protocol;

import java.nio.ByteBuffer;
import spurroad.model.CacheKey;
import spurroad.model.PeerUpdate;
import spurroad.model.PeerUpdate.Topic;

/**
 * Encodes and decodes the updates that proxies send to each other. A message is big-endian: a topic (u8), a
 * subject (8 bytes) and a value (f32); then, for topics with a queue, the service time in microseconds (u32)
 * and the cached fraction of keys (f32); then, for topics with a key, that key (8 bytes).
 */
public final class PeerUpdateCodec {
    private static final int COMMON_BYTES = 1 + 8 + 4;
    private static final int QUEUE_BYTES = 4 + 4;
    private static final int KEY_BYTES = 8;
    private static final double MAX_VALUE = 1e6; // of counts and proxy numbers
    private static final double WHOLE_CACHE = 1; // for topics without a cached fraction
    private static final long NANOS_PER_MICRO = 1_000L;
    private static final long MAX_U32 = 0xffffffffL;
    private static final Topic[] TOPICS = Topic.values();

    private PeerUpdateCodec() {}

    private static boolean hasKey(Topic topic) {
        return topic == Topic.IN_FLIGHT || topic == Topic.CACHE_QUERY || topic == Topic.CACHE_STATUS;
    }

    private static boolean hasQueue(Topic topic) {
        return topic == Topic.LOAD || topic == Topic.CACHE_STATUS;
    }

    private static int messageLength(Topic topic) {
        return COMMON_BYTES + (hasQueue(topic) ? QUEUE_BYTES : 0) + (hasKey(topic) ? KEY_BYTES : 0);
    }

    /** Encodes an update; a service time beyond the range of its field is sent as the largest possible. */
    public static byte[] encode(PeerUpdate update) {
        Topic topic = update.topic();
        ByteBuffer message = ByteBuffer.allocate(messageLength(topic));
        message.put((byte) topic.ordinal()).putLong(update.subject()).putFloat((float) update.value());
        if (hasQueue(topic)) {
            message.putInt((int) Math.min(MAX_U32, update.serviceTimeNanos() / NANOS_PER_MICRO))
                .putFloat((float) update.cachedFraction());
        }
        if (hasKey(topic)) {
            message.putLong(update.key().value());
        }
        return message.array();
    }

    /**
     * Decodes a message.
     *
     * @throws ProtocolException if the topic is unknown, the length is not that of the topic, or a value is
     *     out of range
     */
    public static PeerUpdate decode(byte[] message) throws ProtocolException {
        ByteBuffer fields = ByteBuffer.wrap(message);
        int ordinal = message.length == 0 ? -1 : fields.get();
        if (ordinal < 0 || ordinal >= TOPICS.length) {
            throw new ProtocolException("peer update with an unknown topic");
        }
        Topic topic = TOPICS[ordinal];
        if (message.length != messageLength(topic)) {
            throw new ProtocolException("peer update with a length other than that of its topic");
        }
        long subject = fields.getLong();
        double value = fields.getFloat();
        long serviceTimeNanos = hasQueue(topic) ? (fields.getInt() & MAX_U32) * NANOS_PER_MICRO : 0;
        double cachedFraction = hasQueue(topic) ? fields.getFloat() : WHOLE_CACHE;
        if (!isValidValue(topic, value) || !isValidCachedFraction(topic, cachedFraction)) {
            throw new ProtocolException("peer update with a value out of range");
        }
        CacheKey key = new CacheKey(hasKey(topic) ? fields.getLong() : 0);
        return new PeerUpdate(topic, subject, value, serviceTimeNanos, cachedFraction, key);
    }

    private static boolean isValidValue(Topic topic, double value) {
        return switch (topic) {
            case IN_FLIGHT -> value != 0 && value >= -1 && value <= 1;
            case LOAD, CACHE_STATUS -> value >= 0 && value <= MAX_VALUE;
            case CACHE_QUERY -> value >= 0 && value <= MAX_VALUE && value == Math.rint(value);
            case TENANT_REQUEST -> value == 1;
            case OVER_QUOTA, ORIGIN_ADMISSION -> value >= 0 && value <= 1;
            case ORIGIN_WRITE -> value == 0 || value == 1;
        };
    }

    private static boolean isValidCachedFraction(Topic topic, double fraction) {
        return topic == Topic.CACHE_STATUS ? fraction == 0 || fraction == 1 : fraction > 0 && fraction <= 1;
    }
}
