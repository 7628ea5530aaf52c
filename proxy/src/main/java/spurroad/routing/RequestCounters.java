package spurroad.routing;

import java.util.EnumMap;
import java.util.Map;
import spurroad.admission.ServiceLevel;
import spurroad.model.Outcome;

/**
 * Counts requests, their results and the outcomes of attempts since the last log line. Used by the load
 * balancer's thread only.
 */
final class RequestCounters {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    /**
     * Interval between log lines: short compared with an incident, long compared with the time to read a
     * line.
     */
    private static final long LOG_INTERVAL_NANOS = 10_000_000_000L;
    private final Map<Outcome, Integer> attempts = new EnumMap<>(Outcome.class);
    private int requests;
    private int succeeded;
    private int rejected;
    private int failed;
    private int disconnected;
    private long periodStartNanos;
    private long stalledNanosAtLastLine; // total since the start, as of the last log line
    private long rejectedByAdmission;
    private ServiceLevel level = ServiceLevel.FULL;
    private ServiceLevel worstLevel = ServiceLevel.FULL;
    private double admittedFraction = 1;

    void onRequest() {
        requests++;
    }

    void onSucceeded() {
        succeeded++;
    }

    void onResponse(boolean isRejection) {
        rejected += isRejection ? 1 : 0;
        failed += isRejection ? 0 : 1;
    }

    void onClientDisconnect() {
        disconnected++;
    }

    /**
     * Notes a new measurement of the admission controller.
     *
     * @param admitted fraction of requests that it admits from now on
     * @param newlyRejected number of requests that it has rejected since the last call
     */
    void onServiceLevel(ServiceLevel newLevel, double admitted, long newlyRejected) {
        level = newLevel;
        worstLevel = newLevel.atLeast(worstLevel) ? newLevel : worstLevel;
        admittedFraction = admitted;
        rejectedByAdmission += newlyRejected;
    }

    void onAttemptEnd(Outcome outcome) {
        attempts.merge(outcome, 1, Integer::sum);
    }

    /**
     * Returns a log line about the counts and resets them; null if the last line is too recent.
     *
     * @param totalStalledNanos how long the process has been stalled since its start, in total
     */
    String takeLineIfDue(long now, long totalStalledNanos) {
        if (now - periodStartNanos > 2 * LOG_INTERVAL_NANOS) {
            periodStartNanos = now; // no requests or attempts in the meantime
        }
        if (now - periodStartNanos < LOG_INTERVAL_NANOS || requests + attempts.size() == 0) {
            return null;
        }
        String line = line(now - periodStartNanos, totalStalledNanos - stalledNanosAtLastLine);
        reset();
        stalledNanosAtLastLine = totalStalledNanos;
        periodStartNanos = now;
        return line;
    }

    private String line(long periodNanos, long stalledInPeriodNanos) {
        return "requests=" + requests + " seconds=" + periodNanos / NANOS_PER_SECOND
            + " succeeded=" + succeeded + " rejected=" + rejected + " failed=" + failed
            + " disconnected=" + disconnected + " attempts=" + attempts
            + " stalledMillis=" + stalledInPeriodNanos / NANOS_PER_MILLI
            + " level=" + level + " worstLevel=" + worstLevel
            + " admittedPercent=" + Math.round(100 * admittedFraction)
            + " rejectedByAdmission=" + rejectedByAdmission;
    }

    private void reset() {
        rejectedByAdmission = 0;
        worstLevel = level;
        requests = succeeded = rejected = failed = disconnected = 0;
        attempts.clear();
    }
}
