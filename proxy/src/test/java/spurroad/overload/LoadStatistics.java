package spurroad.overload;

import org.HdrHistogram.Histogram;

/** Counts the outcomes of the requests that fell due in one interval; owned by the generator's loop. */
final class LoadStatistics {
    private static final long MAX_LATENCY_MICROS = 60_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;

    /** Requests that fell due. */
    long offered;
    /** Requests served within the latency objective. */
    long inTime;
    /** Requests served after the latency objective. */
    long late;
    /** Attempts that were rejected or whose connection ended. */
    long rejections;
    /** Requests that failed or had no attempt left. */
    long failed;
    /** Requests whose client stopped waiting. */
    long timedOut;
    /** Requests that found no connection free. */
    long connectionWaits;
    /** Attempts whose connection ended before the response was complete. */
    long disconnected;
    /** Disconnected attempts whose response had begun. */
    long truncated;
    /** Connections opened. */
    long connectionsOpened;
    /** Latency of the served requests, from when they fell due. */
    final Histogram latencyMicros = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);

    /** Returns the requests that were served, in time or late. */
    long served() {
        return inTime + late;
    }
}
