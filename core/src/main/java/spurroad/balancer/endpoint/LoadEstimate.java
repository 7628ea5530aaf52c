package spurroad.balancer.endpoint;

import spurroad.model.LoadReport;
import spurroad.model.PeerUpdate;

/**
 * The estimated queue length of an endpoint: the last report, from the endpoint itself or from its owner,
 * plus the attempts that this proxy has sent since. Without a fresh report, the estimate is the number of
 * this proxy's own attempts in flight.
 *
 * <p>Invariant: the estimate is never lower than this proxy's attempts in flight.
 */
public final class LoadEstimate {
    private static final long REPORT_MAX_AGE_NANOS = 900_000_000L; // the design requires less than a second

    private double reportedQueueLength = Double.NaN;
    private long reportedNanos = Long.MIN_VALUE / 2;
    private int sentSinceReport;
    private double ownerServiceTimeNanos;
    private boolean loadProbeInFlight;

    /** Returns whether the last report is recent enough to be used. */
    public boolean isFresh(long now) {
        return now - reportedNanos < REPORT_MAX_AGE_NANOS;
    }

    /** Returns whether a report has ever been received, even if it is no longer fresh. */
    public boolean hasReport() {
        return !Double.isNaN(reportedQueueLength);
    }

    /** Returns the source of the queue length at the given time. */
    public LoadSource source(long now) {
        return isFresh(now) ? LoadSource.REPORTED : LoadSource.OWN_ATTEMPTS;
    }

    double queueLength(long now, int inFlight) {
        return isFresh(now) ? Math.max(reportedQueueLength + sentSinceReport, inFlight) : inFlight;
    }

    /**
     * Returns the last reported queue length in requests, even if it is no longer fresh; NaN without a
     * report.
     */
    double reportedQueueLength() {
        return reportedQueueLength;
    }

    /**
     * Returns the service time that the endpoint's owner published last, in nanoseconds per request in the
     * queue; zero if it has published none.
     */
    double ownerServiceTimeNanos() {
        return ownerServiceTimeNanos;
    }

    /** Returns whether a load probe to the endpoint has neither been answered nor failed yet. */
    public boolean isLoadProbeInFlight() {
        return loadProbeInFlight;
    }

    void setLoadProbeInFlight(boolean isInFlight) {
        loadProbeInFlight = isInFlight;
    }

    void onAttemptStart() {
        sentSinceReport++;
    }

    /** Applies the endpoint's own report, if it contains a queue length. */
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
