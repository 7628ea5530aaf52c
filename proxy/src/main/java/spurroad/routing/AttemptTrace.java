package spurroad.routing;

import java.util.function.LongSupplier;
import spurroad.model.Decisions;
import spurroad.model.Outcome;
import spurroad.transport.EventLog;

/**
 * Logs the life of each attempt as debug lines, so that a request can be followed by its id: every attempt
 * with its endpoint, when its last byte was sent, its cancellation and its outcome, and the final response.
 * The outcome of an attempt is the reason for the one that follows it. Thread-safe.
 */
final class AttemptTrace {
    private static final long NANOS_PER_MICRO = 1_000L;

    private final EventLog log;
    private final LongSupplier nowNanos;

    /**
     * Creates a trace.
     *
     * @param nowNanos returns the current time, Unix nanoseconds
     */
    AttemptTrace(EventLog log, LongSupplier nowNanos) {
        this.log = log;
        this.nowNanos = nowNanos;
    }

    /** Traces an attempt that the load balancer has decided on. */
    void onDecided(UpstreamRequest attempt) {
        if (log.isDebugEnabled()) {
            log("attempt decided", attempt, "");
        }
    }

    /** Traces an attempt whose last byte was sent. */
    void onFullySent(UpstreamRequest attempt) {
        if (log.isDebugEnabled()) {
            log("attempt sent", attempt, "");
        }
    }

    /** Traces the request to cancel an attempt. */
    void onCancel(UpstreamRequest attempt) {
        if (log.isDebugEnabled()) {
            log("attempt cancelled", attempt, " fullySent=" + attempt.fullySent);
        }
    }

    /** Traces the end of an attempt. */
    void onEnd(UpstreamRequest attempt, Outcome outcome) {
        if (log.isDebugEnabled()) {
            log("attempt ended", attempt, " outcome=" + outcome + " fullySent=" + attempt.fullySent);
        }
    }

    /** Traces a final response without a value, which the load balancer has decided on. */
    void onResponse(ProxiedRequest request, Decisions.FinalResponse response) {
        if (log.isDebugEnabled()) {
            log.debug("request not served", "request=" + request.command.id() + " attempts="
                + request.attempts.size() + " rejected=" + response.rejected() + " atMicros=" + nowMicros());
        }
    }

    private void log(String event, UpstreamRequest attempt, String fields) {
        log.debug(event, attempt + " endpoint=" + attempt.pool + fields + " atMicros=" + nowMicros());
    }

    private long nowMicros() {
        return nowNanos.getAsLong() / NANOS_PER_MICRO;
    }
}
