package spurroad.balancer.endpoint;

import java.util.Arrays;
import java.util.List;
import spurroad.model.Endpoint;
import spurroad.model.SplitMix64;

/**
 * A consistent hash ring (Karger et al., 1997) with virtual nodes: each endpoint owns several points, and a
 * key's candidates are the distinct owners found clockwise from the key's hash.
 *
 * <p>The points of an endpoint are hashed from its id alone, and their number depends on its weight.
 * Therefore all proxies with the same endpoint list build the same ring, and an endpoint that is removed
 * moves only its own keys. Immutable.
 */
public final class Ring {
    /** Number of candidates of a key, as the design requires. */
    public static final int CANDIDATES = 3;

    // shares of equal endpoints differ by about a tenth, and finding the candidates takes few steps
    private static final int MEAN_POINTS_PER_ENDPOINT = 96;
    // limits the share of a heavy endpoint, as a multiple of the mean weight
    private static final double MAX_WEIGHT_MULTIPLE = CANDIDATES;
    private static final int INDEX_BITS = 16;
    private static final long INDEX_MASK = (1L << INDEX_BITS) - 1;

    // sorted positions; the lowest bits of each hold the index of the owning endpoint
    private final long[] points;
    private final int[] pointCounts;

    /** Builds the ring of at most 65,536 endpoints, which are referred to by their index in the list. */
    public Ring(List<Endpoint> endpoints) {
        double meanWeight = endpoints.stream().mapToDouble(Endpoint::weight).average().orElse(1);
        pointCounts = endpoints.stream().mapToInt(endpoint -> pointCount(endpoint.weight() / meanWeight))
            .toArray();
        points = new long[Arrays.stream(pointCounts).sum()];
        int next = 0;
        for (int index = 0; index < pointCounts.length; index++) {
            long id = hash(endpoints.get(index).id().value());
            for (int i = 1; i <= pointCounts[index]; i++) {
                points[next] = (hash(id + i) & ~INDEX_MASK) | (index & INDEX_MASK);
                next++;
            }
        }
        Arrays.sort(points);
    }

    private static int pointCount(double relativeWeight) {
        return (int) Math.max(1, MEAN_POINTS_PER_ENDPOINT * Math.min(MAX_WEIGHT_MULTIPLE, relativeWeight));
    }

    /**
     * Returns the number of points. They are numbered clockwise from 0, and numbers beyond the last one wrap
     * around.
     */
    public int size() {
        return points.length;
    }

    /**
     * Returns the number of the first point at or clockwise from a hash; the result may be {@link #size},
     * which wraps around.
     */
    public int firstPointFrom(long hash) {
        int searchResult = Arrays.binarySearch(points, hash & ~INDEX_MASK);
        return searchResult < 0 ? -searchResult - 1 : searchResult;
    }

    /** Returns the position of a point, as a hash without its lowest bits. */
    public long position(int point) {
        return points[point % points.length] & ~INDEX_MASK;
    }

    /** Returns the index of the endpoint that owns a point. */
    public int owner(int point) {
        return (int) (points[point % points.length] & INDEX_MASK);
    }

    /** Returns the fraction of the points that an endpoint owns, from 0 to 1. */
    public double fraction(int endpointIndex) {
        return (double) pointCounts[endpointIndex] / points.length;
    }

    /** Mixes the bits of an id, so that it can serve as a position on the ring. */
    public static long hash(long id) {
        return SplitMix64.mix(id + SplitMix64.GAMMA);
    }

    /**
     * Returns a uniformly distributed number from 0 to 1, exclusive, which every proxy computes alike from
     * the hash.
     */
    public static double uniform(long hash) {
        return (hash(hash) >>> 11) * 0x1p-53;
    }
}
