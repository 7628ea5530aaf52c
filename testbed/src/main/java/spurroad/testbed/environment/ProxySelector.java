package spurroad.testbed.environment;

import java.util.Arrays;
import spurroad.testbed.model.RandomStream;

/** Selects a proxy for each attempt of a client at random; learns late that a proxy has gone or is back. */
public final class ProxySelector {
    /** Nanoseconds after which the selector knows that a proxy has gone or is back. */
    public static final long NOTICE_NS = 1_000_000_000L;

    private final RandomStream random;
    private final boolean[] isOffered;

    /** Creates a selector that offers all of so many proxies. */
    public ProxySelector(int proxies, long seed) {
        random = new RandomStream(seed, "front");
        isOffered = new boolean[proxies];
        Arrays.fill(isOffered, true);
    }

    /** Returns an offered proxy; any proxy where none is offered. */
    public int choose() {
        int count = isOffered.length;
        int first = random.below(count);
        for (int i = 0; i < count; i++) {
            int candidate = (first + i) % count;
            if (isOffered[candidate]) {
                return candidate;
            }
        }
        return first;
    }

    /** Sets whether a proxy is offered from now on. */
    public void offer(int proxy, boolean on) {
        isOffered[proxy] = on;
    }
}
