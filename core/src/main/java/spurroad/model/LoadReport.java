package spurroad.model;

/**
 * The load that an endpoint reports of itself; a value that was not reported is NaN.
 *
 * @param inFlight number of requests in flight at the endpoint
 * @param queued number of those that wait in its queue
 */
public record LoadReport(double inFlight, double queued) {
    /** A report without any value. */
    public static final LoadReport NONE = new LoadReport(Double.NaN, Double.NaN);

    /** Returns the requests in flight or, if not reported, the queued ones; NaN if neither was reported. */
    public double load() {
        return Double.isNaN(inFlight) ? queued : inFlight;
    }
}
