package spurroad.testbed.fleet;

import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * What one run of a simulated fleet showed. Latencies in milliseconds of simulated time.
 *
 * @param changes from handing a change to the core until it is in force at a proxy
 * @param purges the same of purges
 * @param changesAfterCut of what was handed in during a cut, at the proxies that were cut off, from its end
 * @param starts from a proxy's start until it has the state
 * @param unfreshProxySeconds in which proxies did not serve as fresh
 * @param wronglyFresh looks at a proxy that served as fresh without a purge accepted 7 s earlier
 * @param behind proxies that lacked something in the end
 * @param resets proxies that were told to forget purges rather than sent them
 * @param traffic of each role
 */
public record FleetResult(FleetShape shape, FleetScenario scenario, long seed, Histogram changes,
                          Histogram purges,
                          Histogram changesAfterCut, Histogram purgesAfterCut, Histogram starts,
                          double unfreshProxySeconds,
                          long wronglyFresh, long behind, long resets, Map<String, Traffic> traffic,
                          double simulatedSeconds,
                          double cpuSeconds) {
    /**
     * The largest and the mean of a role's processes, a second; the processor time is that of a sampled one.
     */
    public record Traffic(int processes, int mostChildren, double meanBytesIn, double meanBytesOut,
                          double mostBytesIn, double mostBytesOut, double mostMessages, double cpuPercent) {}

    /** Changes that took longer than the bound of 4 s, of those that no cut held up. */
    public long lateChanges() {
        return later(changes, 4_000);
    }

    /** Purges that took longer than the bound of 7 s, of those that no cut held up. */
    public long latePurges() {
        return later(purges, 7_000);
    }

    private static long later(Histogram histogram, long millis) {
        return histogram.getTotalCount() == 0 ? 0
            : histogram.getTotalCount() - histogram.getCountBetweenValues(0, millis);
    }
}
