package spurroad.routing;

import java.util.concurrent.atomic.AtomicLong;
import spurroad.transport.EventLog;

/**
 * Checks invariants at run time, immediately after an action, against the state at that moment rather than
 * the decision that led to the action. A violation is a bug of the proxy: it is counted and logged with the
 * request's id. Used on the event loop; any thread may read the count.
 */
final class RuleMonitor {
    /** Violations that must never happen. Logged under their own names. */
    enum Rule {
        /** An attempt was sent to an endpoint that accepts no requests. */
        SENT_TO_CLOSED_NODE,
        /** An attempt was sent for a client that has disconnected. */
        SENT_FOR_LEFT_CLIENT,
        /** An attempt was sent after the request's deadline, or stated more time than was left. */
        SENT_TOO_LATE,
        /** A connection was closed by the proxy while requests awaited their responses. */
        CLOSED_OVER_REQUESTS,
        /** A request got a second response. */
        ANSWERED_TWICE,
        /** A request was answered so late that it counts as lost. */
        ANSWERED_TOO_LATE
    }

    /**
     * State of an attempt when its first byte was sent. The component names are part of the logged subject.
     *
     * @param id id of the request that the attempt belongs to
     * @param node name of the endpoint
     * @param nodeTakesNew whether the endpoint accepts requests
     * @param clientLeft whether the client has disconnected
     * @param toldMs time left as stated in the message to the endpoint, in milliseconds
     * @param leftNs time left until the request's deadline, in nanoseconds; negative after it
     */
    record Sent(String id, String node, boolean nodeTakesNew, boolean clientLeft, long toldMs, long leftNs) {}

    private static final long NANOS_PER_MILLI = 1_000_000L;
    /** Tolerated delay between reading the clock and writing. */
    private static final long CLOCK_TOLERANCE_NANOS = 150_000_000L;
    /** Grace period after the deadline; a later response is useless to the client. */
    private static final long RESPONSE_GRACE_NANOS = 500_000_000L;

    private final EventLog log;
    private final AtomicLong violations = new AtomicLong();

    RuleMonitor(EventLog log) {
        this.log = log;
    }

    /** Returns the number of violations since the start of the process. */
    long violations() {
        return violations.get();
    }

    /** Checks an attempt whose first byte was just sent. */
    void onSent(Sent attempt) {
        if (!attempt.nodeTakesNew) {
            report(Rule.SENT_TO_CLOSED_NODE, attempt);
        }
        if (attempt.clientLeft) {
            report(Rule.SENT_FOR_LEFT_CLIENT, attempt);
        }
        long excessNanos = attempt.toldMs * NANOS_PER_MILLI - Math.max(NANOS_PER_MILLI, attempt.leftNs);
        if (excessNanos > CLOCK_TOLERANCE_NANOS || attempt.leftNs < -CLOCK_TOLERANCE_NANOS) {
            report(Rule.SENT_TOO_LATE, attempt);
        }
    }

    /** Checks the close of a client connection, given the number of its requests without a response. */
    void onClosed(CloseReason reason, int unanswered, Object client) {
        if (unanswered > 0 && !reason.givesUpRequests) {
            report(Rule.CLOSED_OVER_REQUESTS, unanswered + " of " + client + ", " + reason);
        }
    }

    /**
     * Checks a final response, given whether the request had one before and how many nanoseconds after its
     * deadline it comes.
     */
    void onResponse(String id, boolean duplicate, long lateNanos) {
        if (duplicate) {
            report(Rule.ANSWERED_TWICE, id);
        }
        if (lateNanos > RESPONSE_GRACE_NANOS) {
            report(Rule.ANSWERED_TOO_LATE, id + ", " + lateNanos / NANOS_PER_MILLI + " ms after its time");
        }
    }

    private void report(Rule rule, Object subject) {
        violations.incrementAndGet();
        log.warn("rule violated", "rule=" + rule + " subject=" + subject);
    }
}
