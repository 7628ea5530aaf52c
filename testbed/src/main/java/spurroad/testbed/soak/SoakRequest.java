package spurroad.testbed.soak;

import java.util.ArrayList;
import java.util.List;

/**
 * One client request and all that was observed of it. Times are of {@link System#nanoTime}. The mutable state
 * belongs to {@link InvariantChecker}, which reads and writes it under its lock.
 */
final class SoakRequest {
    /** What a request does, and so whether it may run again. */
    enum Effect {
        /** Idempotent. */
        READ("read"),
        /** A write with an idempotency key, by which the origin recognizes a repeat. */
        DEDUPLICATED_WRITE("put"),
        /** A write that nothing protects from a second effect. */
        UNSAFE_WRITE("once");

        /** The name of the request class in the proxies' settings. */
        final String className;

        Effect(String className) {
            this.className = className;
        }
    }

    /** How a request ended for its client. */
    enum End {
        /** Not yet, or it was never sent completely. */
        OPEN,
        /** Served. */
        SERVED,
        /** Rejected as busy. */
        REJECTED,
        /** Answered by an error. */
        FAILED,
        /** The proxy closed the connection without a complete response. */
        DISCONNECTED,
        /** No response came long after the deadline. */
        TIMED_OUT,
        /** The client itself disconnected before the response. */
        ABANDONED
    }

    /** The state of the connection when the request was sent. */
    enum ConnectionUse {
        /** Just established: the proxy has no reason to close it. */
        FRESH,
        /** Idle since it was established: perhaps not accepted yet, perhaps closed meanwhile. */
        NEVER_USED,
        /** Responses have arrived on it. */
        USED
    }

    /**
     * One attempt of a proxy at the request.
     *
     * @param timeNanos when its first line arrived from the proxy
     * @param server the name of the server that it was sent to
     */
    record Attempt(long timeNanos, String server) {}

    static final long NOT_YET = Long.MAX_VALUE;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    final String id;
    final int proxy;
    final Effect effect;
    /** The cache key; it identifies a write over the client's retries. */
    final String key;
    final long timeoutMs;
    /** Whether the client is going to disconnect before the response. */
    final boolean willBeAbandoned;
    final ConnectionUse connectionUse;
    final long connectedAtNanos;

    long sentAtNanos = NOT_YET;
    long abandonedAtNanos = NOT_YET;
    long endedAtNanos = NOT_YET;
    /** When the response to the request before it on the connection arrived; 0 if there was none. */
    long precedingAnsweredAtNanos;
    End end = End.OPEN;
    String answer = "";
    /**
     * Whether the client could have seen, right before it sent the request, that the connection had ended.
     */
    boolean sentAfterEnd;
    /** How late the soak's own threads ran when the request ended. */
    long delayMillisAtEnd;
    final List<Attempt> attempts = new ArrayList<>(2);
    int executions;

    SoakRequest(String id, int proxy, Effect effect, String key, long timeoutMs, boolean willBeAbandoned,
                ConnectionUse connectionUse, long connectedAtNanos) {
        this.id = id;
        this.proxy = proxy;
        this.effect = effect;
        this.key = key;
        this.timeoutMs = timeoutMs;
        this.willBeAbandoned = willBeAbandoned;
        this.connectionUse = connectionUse;
        this.connectedAtNanos = connectedAtNanos;
    }

    boolean isSent() {
        return sentAtNanos != NOT_YET;
    }

    boolean isAbandoned() {
        return abandonedAtNanos != NOT_YET;
    }

    /** Returns from when on the proxy could work on the request. */
    long startNanos() {
        return Math.max(sentAtNanos, precedingAnsweredAtNanos);
    }

    /** Returns the command as the client writes it. */
    String command() {
        String flags = " O" + id + " Pc=" + effect.className + ",t=acme,d=" + timeoutMs;
        return switch (effect) {
            case READ -> "mg " + key + " v" + flags + "\r\n";
            case DEDUPLICATED_WRITE -> "ms " + key + " 3" + flags + ",k=" + key + "\r\nabc\r\n";
            case UNSAFE_WRITE -> "ms " + key + " 3" + flags + "\r\nabc\r\n";
        };
    }

    @Override
    public String toString() {
        boolean timed = isSent() && endedAtNanos != NOT_YET;
        String duration = timed ? Long.toString((endedAtNanos - sentAtNanos) / NANOS_PER_MILLI) : "?";
        return effect + " " + id + " at p-" + proxy + ", timeout " + timeoutMs + " ms, " + end + " '" + answer
            + "' after " + duration + " ms, abandoned " + isAbandoned() + ", executions " + executions
            + ", attempts " + attempts.stream().map(this::describe).toList();
    }

    private String describe(Attempt attempt) {
        return attempt.server + " +" + (attempt.timeNanos - sentAtNanos) / NANOS_PER_MILLI + " ms";
    }
}
