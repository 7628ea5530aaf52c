package spurroad.testbed.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * The sizes of a fleet and how unevenly they are distributed. The size of a site goes with its rank to the
 * power of -0.4, the number of a region's sites with its rank to the power of -0.5: the largest site has some
 * nine times the mean, the largest region some three times.
 *
 * @param proxies in all
 * @param sites in all, of at least one proxy each
 * @param nodes cache nodes in all
 * @param regions in all, of at least one site each
 * @param zones in all, of at least one a region
 * @param controlMachines members of the core
 */
public record FleetShape(int proxies, int sites, int nodes, int regions, int zones, int controlMachines) {
    private static final double SITE_SKEW = 0.4;
    private static final double REGION_SKEW = 0.5;
    private static final double EXPECTED_PROXIES = 16_000;
    private static final double EXPECTED_SITES = 940;
    private static final double EXPECTED_NODES = 6_800;
    private static final int EXPECTED_REGIONS = 45;
    private static final int EXPECTED_ZONES = 173;
    private static final int EXPECTED_CONTROL_MACHINES = 24;

    /** A site's place and size. */
    public record Site(int region, int zone, int proxies, int nodes) {}

    /**
     * Returns the expected fleet at another number of proxies; sites and nodes grow with it, regions do not.
     */
    public static FleetShape of(int proxies) {
        int sites = (int) Math.max(EXPECTED_REGIONS, Math.round(proxies * EXPECTED_SITES / EXPECTED_PROXIES));
        int nodes = (int) Math.round(proxies * EXPECTED_NODES / EXPECTED_PROXIES);
        return new FleetShape(proxies, sites, nodes, EXPECTED_REGIONS, EXPECTED_ZONES,
            EXPECTED_CONTROL_MACHINES);
    }

    /** Returns a fleet of three regions, for tests and for long runs. */
    public static FleetShape small(int proxies) {
        int sites = Math.max(6, proxies / 17);
        return new FleetShape(proxies, sites, proxies * 7 / 17, 3, 9, 5);
    }

    /** Returns all sites, the largest first. */
    public List<Site> layOut() {
        int[] proxiesOf = parts(proxies, sites, SITE_SKEW);
        int[] nodesOf = parts(nodes, sites, SITE_SKEW);
        int[] sitesOf = parts(sites, regions, REGION_SKEW);
        int[] zonesOf = parts(zones, regions, REGION_SKEW);
        List<Integer> regionOfSite = new ArrayList<>();
        for (int region = 0; region < regions; region++) {
            regionOfSite.addAll(Collections.nCopies(sitesOf[region], region));
        }
        Collections.shuffle(regionOfSite, new Random(sites));
        int[] nextZone = new int[regions];
        List<Site> layout = new ArrayList<>();
        for (int i = 0; i < sites; i++) {
            int region = regionOfSite.get(i);
            int zone = nextZone[region]++ % zonesOf[region];
            layout.add(new Site(region, zone, proxiesOf[i], nodesOf[i]));
        }
        return layout;
    }

    /** Splits a total into parts of at least one, by rank. */
    private static int[] parts(int total, int count, double skew) {
        double weightSum = 0;
        for (int rank = 1; rank <= count; rank++) {
            weightSum += Math.pow(rank, -skew);
        }
        int[] parts = new int[count];
        int remainder = total - count; // after one for each part
        double cumulativeShare = 0;
        int assigned = 0;
        for (int rank = 1; rank <= count; rank++) {
            cumulativeShare += Math.pow(rank, -skew) / weightSum;
            int cumulative = (int) Math.round(remainder * cumulativeShare);
            parts[rank - 1] = 1 + cumulative - assigned;
            assigned = cumulative;
        }
        return parts;
    }
}
