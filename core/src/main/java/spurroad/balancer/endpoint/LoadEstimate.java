package spurroad.balancer.endpoint;

import spurroad.model.LoadReport;
import spurroad.model.PeerUpdate;

/**
 * The queue length of an endpoint as far as it is known: the last report, of the endpoint itself or of its
 * owner, plus what this proxy has sent since; without a fresh report this proxy's own attempts in flight.
 *
 * <p>Invariant: it is never lower than the attempts in flight from here.
 */
public final class LoadEstimate {
    private static final long REPORT_MAX_AGE_NANOS = 900_000_000L; // the design requires under a second

    private double reportedQueueLength = Double.NaN;
    private long reportedNanos = Long.MIN_VALUE / 2;
    private int sentSinceReport;
    private double ownerServiceTimeNanos;
    private boolean loadProbeInFlight;

    /** Returns whether the last report is young enough to be used. */
    public boolean isFresh(long now) {
        return now - reportedNanos < REPORT_MAX_AGE_NANOS;
    }

    /** Returns whether any report, however old, has come. */
    public boolean hasReport() {
        return !Double.isNaN(reportedQueueLength);
    }

    /** Returns where the queue length comes from now. */
    public LoadSource source(long now) {
        return isFresh(now) ? LoadSource.REPORTED : LoadSource.OWN_ATTEMPTS;
    }

    double queueLength(long now, int inFlight) {
        return isFresh(now) ? Math.max(reportedQueueLength + sentSinceReport, inFlight) : inFlight;
    }

    /** Returns the last reported queue length in requests, however old; NaN without a report. */
    double reportedQueueLength() {
        return reportedQueueLength;
    }

    /**
     * Returns the service time that the endpoint's owner published last, in nanoseconds per request in the
     * queue.
     */
    double ownerServiceTimeNanos() {
        return ownerServiceTimeNanos;
    }

    /** Returns whether a load probe has been sent and not answered. */
    public boolean isLoadProbeInFlight() {
        return loadProbeInFlight;
    }

    void setLoadProbeInFlight(boolean isInFlight) {
        loadProbeInFlight = isInFlight;
    }

    void onAttemptStart() {
        sentSinceReport++;
    }

    /** Applies the endpoint's own report, where it has a queue length. */
    void onReport(LoadReport report, long now) {
        if (!Double.isNaN(report.load())) {
            setReported(Math.max(0, report.load()), now);
        }
    }

    /** Applies an update from the endpoint's owner. */
    void onOwnerUpdate(PeerUpdate update, long now) {
        onOwnerUpdate(update.value(), (double) update.serviceTimeNanos(), now);
    }

    void onOwnerUpdate(double queueLength, double serviceTimeNanos, long now) {
        ownerServiceTimeNanos = serviceTimeNanos;
        setReported(queueLength, now);
    }

    private void setReported(double queueLength, long now) {
        reportedQueueLength = queueLength;
        reportedNanos = now;
        sentSinceReport = 0;
    }
}
