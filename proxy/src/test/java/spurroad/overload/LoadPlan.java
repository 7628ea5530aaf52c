package spurroad.overload;

/**
 * Load that a {@link LoadGenerator} sends.
 *
 * @param requestsPerSecond mean rate at which requests fall due
 * @param maxConnections maximum number of client connections
 * @param latencyObjectiveNanos latency up to which a response counts as in time
 * @param timeoutNanos how long a client waits over all attempts
 * @param maxAttempts maximum number of attempts of a request
 */
record LoadPlan(double requestsPerSecond, int maxConnections, long latencyObjectiveNanos, long timeoutNanos,
                int maxAttempts, Retry retry) {
    /** When a client retries a rejected request; the names are values of the drivers' property "retry". */
    enum Retry {
        /** Without a pause. */
        AT_ONCE,
        /** After the Retry-After of the response. */
        AS_TOLD,
        /** After a random pause. */
        SPREAD
    }

    private static final int CLIENT_MAX_ATTEMPTS = 4;
    private static final long NANOS_PER_MS = 1_000_000L;

    /** The clients of the load drivers: an objective of 300 ms, a timeout of 1.5 s. */
    static LoadPlan of(double requestsPerSecond, int maxConnections, Retry retry) {
        return new LoadPlan(requestsPerSecond, maxConnections, 300 * NANOS_PER_MS, 1500 * NANOS_PER_MS,
            CLIENT_MAX_ATTEMPTS, retry);
    }
}
