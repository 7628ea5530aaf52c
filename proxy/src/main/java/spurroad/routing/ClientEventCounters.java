package spurroad.routing;

import java.util.EnumMap;
import java.util.Map;
import spurroad.transport.EventLog;

/**
 * Counts reasons why client connections were closed and requests were rejected before they reached the load
 * balancer, since the last log line. Used on the event loop only.
 */
final class ClientEventCounters {
    private static final long LOG_INTERVAL_NANOS = 10_000_000_000L; // as in RequestCounters

    private final EventLog log;
    private final Map<CloseReason, Integer> closed = new EnumMap<>(CloseReason.class);
    private final Map<RejectionReason, Integer> rejected = new EnumMap<>(RejectionReason.class);
    private int heldBack; // times that a client was held back
    private long loggedAtNanos;

    ClientEventCounters(EventLog log, long now) {
        this.log = log;
        loggedAtNanos = now;
    }

    void onClosed(CloseReason reason) {
        closed.merge(reason, 1, Integer::sum);
    }

    void onRejected(RejectionReason reason) {
        rejected.merge(reason, 1, Integer::sum);
    }

    /** Counts a client that is held back because it sends commands too fast. */
    void onHeldBack() {
        heldBack++;
    }

    /** Logs the counts and resets them if the log interval has passed. Called periodically. */
    void logIfDue(long now) {
        if (now - loggedAtNanos < LOG_INTERVAL_NANOS) {
            return;
        }
        loggedAtNanos = now;
        if (!closed.isEmpty() || !rejected.isEmpty() || heldBack > 0) {
            log.info("client events", "closed=" + closed + " rejected=" + rejected + " heldBack=" + heldBack);
            closed.clear();
            rejected.clear();
            heldBack = 0;
        }
    }
}
