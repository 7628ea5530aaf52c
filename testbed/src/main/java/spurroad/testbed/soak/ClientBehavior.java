package spurroad.testbed.soak;

import java.util.Random;

/** What a client does next, with how often it does that. */
enum ClientBehavior {
    /** Sends one request, and reads the response. */
    SINGLE(60),
    /** Sends several requests at once. */
    PIPELINED(10),
    /** Disconnects before the response. */
    DISCONNECTS(9),
    /** Sends a request in two parts. */
    WRITES_SLOWLY(6),
    /** Sends a request, and half of another. */
    HALF_COMMAND(4),
    /** Sends a request, and many bytes that are no request. */
    FLOODS(1),
    /** Sends a command that doesn't exist. */
    INVALID_COMMAND(3),
    /** Leaves its connection idle. */
    IDLES(4),
    /** Connects anew, and sends nothing for a while. */
    CONNECTS_ONLY(3);

    private final int weight;

    ClientBehavior(int weight) {
        this.weight = weight;
    }

    static ClientBehavior draw(Random random) {
        int totalWeight = 0;
        for (ClientBehavior behavior : values()) {
            totalWeight += behavior.weight;
        }
        int remaining = random.nextInt(totalWeight);
        for (ClientBehavior behavior : values()) {
            remaining -= behavior.weight;
            if (remaining < 0) {
                return behavior;
            }
        }
        throw new IllegalStateException("the weights don't add up to " + totalWeight);
    }
}
