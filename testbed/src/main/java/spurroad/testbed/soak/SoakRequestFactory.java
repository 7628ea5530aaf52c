package spurroad.testbed.soak;

import java.util.Random;
import spurroad.testbed.soak.SoakRequest.Effect;

/** Draws the requests of one client. Not thread-safe. */
final class SoakRequestFactory {
    private static final double READS_BELOW = 0.7;
    private static final double DEDUPLICATED_WRITES_BELOW = 0.85;
    private static final int READ_KEYS = 500;

    private final int proxy;
    private final String clientName;
    private final Random random;
    private int requestCount;
    /** The key of a rejected unsafe write, which the next request retries; null if there is none. */
    private String rejectedWriteKey;

    SoakRequestFactory(int proxy, String clientName, Random random) {
        this.proxy = proxy;
        this.clientName = clientName;
        this.random = random;
    }

    /** Lets the next request retry an unsafe write, which is safe because the write was rejected. */
    void retryRejectedWrite(String key) {
        rejectedWriteKey = key;
    }

    SoakRequest next(SoakConnection connection, boolean willBeAbandoned) {
        double kind = random.nextDouble();
        Effect effect = rejectedWriteKey != null ? Effect.UNSAFE_WRITE : effect(kind);
        String id = clientName + "x" + ++requestCount;
        String key = nextKey(effect, id);
        rejectedWriteKey = null;
        int timeoutMs = SoakSettings.MIN_TIMEOUT_MS
            + random.nextInt(SoakSettings.MAX_TIMEOUT_MS - SoakSettings.MIN_TIMEOUT_MS);
        return new SoakRequest(id, proxy, effect, key, timeoutMs, willBeAbandoned, connection.use(),
            connection.connectedAtNanos());
    }

    private static Effect effect(double kind) {
        if (kind < READS_BELOW) {
            return Effect.READ;
        }
        return kind < DEDUPLICATED_WRITES_BELOW ? Effect.DEDUPLICATED_WRITE : Effect.UNSAFE_WRITE;
    }

    private String nextKey(Effect effect, String id) {
        if (effect == Effect.READ) {
            return "k" + random.nextInt(READ_KEYS);
        }
        return rejectedWriteKey != null ? rejectedWriteKey : "w" + id;
    }
}
