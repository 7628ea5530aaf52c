package spurroad.overload;

import spurroad.transport.EventLoop;

/**
 * One request of a {@link LoadGenerator} over all its attempts. Its outcome is counted in the interval in
 * which it fell due.
 */
final class LoadRequest {
    private static final long NANOS_PER_MICRO = 1_000L;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int KEYS = 2000; // few enough for most reads to hit at their cache nodes
    private static final double KEY_SKEW = 2; // exponent; low keys are more popular
    private static final long CONNECTION_POLL_NANOS = 5 * NANOS_PER_MILLI;
    private static final long MEAN_SPREAD_NANOS = 100 * NANOS_PER_MILLI;

    private final LoadGenerator generator;
    private final EventLoop loop;
    private final LoadPlan plan;
    private final LoadStatistics statistics;
    private final long dueNanos;
    private final int key;
    private final EventLoop.Timer timeout;
    private LoadConnection connection;
    private int attempts;
    private boolean ended;
    private boolean waitedForConnection;

    LoadRequest(LoadGenerator generator, LoadPlan plan, long dueNanos, LoadStatistics statistics) {
        this.generator = generator;
        this.plan = plan;
        this.dueNanos = dueNanos;
        this.statistics = statistics;
        loop = generator.loop();
        key = (int) (KEYS * Math.pow(generator.random().nextDouble(), KEY_SKEW));
        statistics.offered++;
        timeout = loop.schedule(remainingNanos(), this::onTimeout);
    }

    /** Sends the next attempt, once a connection is free. */
    void send() {
        if (ended) {
            return;
        }
        connection = generator.acquireConnection();
        if (connection != null) {
            connection.send(this);
            return;
        }
        if (!waitedForConnection) {
            statistics.connectionWaits++;
            waitedForConnection = true;
        }
        loop.schedule(CONNECTION_POLL_NANOS, this::send);
    }

    /** Returns the command of an attempt, with the rest of the timeout as its deadline. */
    String command() {
        long remainingMillis = Math.max(1, remainingNanos() / NANOS_PER_MILLI);
        return "mg k" + key + " v O" + generator.nextRequestId() + " Pc=read,t=acme,d=" + remainingMillis
            + "\r\n";
    }

    private long remainingNanos() {
        return dueNanos + plan.timeoutNanos() - loop.now();
    }

    /** Handles the complete response with the value. */
    void onServed() {
        if (!end()) {
            return;
        }
        long latencyNanos = loop.now() - dueNanos;
        if (latencyNanos <= plan.latencyObjectiveNanos()) {
            statistics.inTime++;
        } else {
            statistics.late++;
        }
        statistics.latencyMicros.recordValue(Math.max(0, latencyNanos / NANOS_PER_MICRO));
    }

    /** Handles the rejection of an attempt by the proxy. */
    void onRejected(long retryAfterMillis) {
        connection = null;
        statistics.rejections++;
        attempts++;
        if (attempts >= plan.maxAttempts()) {
            onFailed();
            return;
        }
        switch (plan.retry()) {
            case AT_ONCE -> loop.execute(this::send);
            case AS_TOLD -> loop.schedule(retryAfterMillis * NANOS_PER_MILLI, this::send);
            case SPREAD -> loop.schedule((long) (2 * MEAN_SPREAD_NANOS * generator.random().nextDouble()),
                this::send);
        }
    }

    /** Handles a connection that ended before the response was complete; this counts as a rejection, too. */
    void onDisconnected(boolean responseBegun) {
        statistics.disconnected++;
        if (responseBegun) {
            statistics.truncated++;
        }
        onRejected(0);
    }

    /** Handles a response that is neither a value nor a rejection, or the lack of a remaining attempt. */
    void onFailed() {
        if (end()) {
            statistics.failed++;
        }
    }

    private void onTimeout() {
        LoadConnection inUse = connection;
        if (!end()) {
            return;
        }
        statistics.timedOut++;
        if (inUse != null) {
            inUse.abandon();
        }
    }

    /** Marks the request as ended, and returns whether it had not ended before. */
    private boolean end() {
        connection = null;
        if (ended) {
            return false;
        }
        ended = true;
        timeout.cancel();
        return true;
    }
}
