package spurroad.testbed.capacity;

/**
 * The size of a fleet and what happens to it in a day.
 *
 * <p>Regions and sites are not alike: the one of rank {@code k} is taken to be {@code k} to the power of
 * minus the skew as large as the first (Zipf's law). A skew of zero makes all alike.
 *
 * @param requestsPerSecond of all proxies at the peak
 * @param bitsPerSecond sent to clients at the peak
 * @param objects that are kept
 * @param purgesPerSecond of all the fleet
 * @param configurationChangesPerDay of all the fleet
 * @param nodeChangesPerDay nodes that fail, restart or are replaced; each is two changes of the list
 * @param controlMachines that are set aside for control
 * @param regionSkew exponent by which regions differ
 * @param siteSkew exponent by which sites differ
 */
public record FleetPlan(int proxies, int nodes, int sites, int zones, int regions, double requestsPerSecond,
                        double bitsPerSecond, double objects, double purgesPerSecond,
                        double configurationChangesPerDay,
                        double nodeChangesPerDay, int controlMachines, double regionSkew, double siteSkew) {
    private static final double SECONDS_PER_DAY = 86_400;

    /** The fleet that operators expect within two years; the skews are assumptions of ours. */
    public static FleetPlan expected() {
        return new FleetPlan(16_000, 6_800, 940, 173, 45, 12e6, 54e12, 1.2e9, 450, 54_000, 7_600 + 41, 24, 1,
            0.5);
    }

    /** Part of the fleet in the largest region. */
    public double largestRegion() {
        return largest(regions, regionSkew);
    }

    /** Part of the fleet in the largest zone, taken to differ as regions do. */
    public double largestZone() {
        return largest(zones, regionSkew);
    }

    /** Part of the fleet at the largest site. */
    public double largestSite() {
        return largest(sites, siteSkew);
    }

    private static double largest(int count, double skew) {
        double all = 0;
        for (int rank = 1; rank <= count; rank++) {
            all += Math.pow(rank, -skew);
        }
        return 1 / all;
    }

    /** Requests of one proxy in the mean. */
    public double requestsPerProxy() {
        return requestsPerSecond / proxies;
    }

    /** Changes of the list in the mean over a day; each node that goes comes back. */
    public double listChangesPerSecond() {
        return 2 * nodeChangesPerDay / SECONDS_PER_DAY;
    }

    /** Changes of configuration in the mean over a day. */
    public double configurationChangesPerSecond() {
        return configurationChangesPerDay / SECONDS_PER_DAY;
    }
}
