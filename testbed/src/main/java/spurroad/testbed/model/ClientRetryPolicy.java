package spurroad.testbed.model;

import java.util.OptionalLong;
import spurroad.testbed.scenario.Scenario.Clients;

/** Decides whether and when a client retries a request. */
final class ClientRetryPolicy {
    /** Mean pause of clients that spread their retries. */
    private static final long MEAN_BACKOFF_NANOS = 100_000_000L;

    private final Clients clients;
    private final RandomStream random;

    ClientRetryPolicy(Clients clients, RandomStream random) {
        this.clients = clients;
        this.random = random;
    }

    /** Returns when the client stops waiting for the request, over all its attempts. */
    long giveUpAtNanos(ClientRequest request) {
        return request.due + clients.patienceNs();
    }

    /**
     * Returns how long the client waits before its next attempt; empty if it makes none.
     *
     * @param retryAfterNanos how long the proxy asked the client to wait
     */
    OptionalLong pauseNanos(ClientRequest request, long nowNanos, long retryAfterNanos) {
        long giveUpAtNanos = giveUpAtNanos(request);
        if (request.attempts >= clients.tries() || nowNanos >= giveUpAtNanos) {
            return OptionalLong.empty();
        }
        long pauseNanos = switch (clients.retry()) {
            case AT_ONCE -> 0;
            case AS_TOLD -> retryAfterNanos;
            case SPREAD -> random.nextDurationNanos(MEAN_BACKOFF_NANOS, 1);
        };
        return nowNanos + pauseNanos >= giveUpAtNanos ? OptionalLong.empty() : OptionalLong.of(pauseNanos);
    }
}
