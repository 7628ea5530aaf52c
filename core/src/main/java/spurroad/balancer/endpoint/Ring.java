package spurroad.balancer.endpoint;

import java.util.Arrays;
import java.util.List;
import spurroad.model.Endpoint;
import spurroad.model.SplitMix64;

/**
 * A consistent hash ring (Karger et al., 1997) with virtual nodes: each endpoint owns some points, and a
 * key's candidates are the distinct owners met clockwise from the key's hash.
 *
 * <p>The points of an endpoint are hashed from its id alone, and their number follows from its weight. So all
 * proxies with the same list build the same ring, and an endpoint that leaves moves only its own keys.
 * Immutable.
 */
public final class Ring {
    /** Candidates of a key; the figure of the design. */
    public static final int CANDIDATES = 3;

    private static final int MEAN_POINTS = 96; // shares differ by about a tenth, walks stay short
    private static final double MAX_WEIGHT_MULTIPLE = CANDIDATES; // of the mean weight
    private static final int INDEX_BITS = 16;
    private static final long INDEX_MASK = (1L << INDEX_BITS) - 1;

    // sorted positions, the lowest bits of each replaced by the index of the endpoint that owns it
    private final long[] points;
    private final int[] pointsOf;

    /** Builds the ring of some endpoints, which are referred to by their index; at most 65,536. */
    public Ring(List<Endpoint> endpoints) {
        double meanWeight = endpoints.stream().mapToDouble(Endpoint::weight).average().orElse(1);
        pointsOf = endpoints.stream().mapToInt(endpoint -> pointCount(endpoint.weight() / meanWeight))
            .toArray();
        points = new long[Arrays.stream(pointsOf).sum()];
        int next = 0;
        for (int index = 0; index < pointsOf.length; index++) {
            long id = hash(endpoints.get(index).id().value());
            for (int i = 1; i <= pointsOf[index]; i++) {
                points[next] = (hash(id + i) & ~INDEX_MASK) | (index & INDEX_MASK);
                next++;
            }
        }
        Arrays.sort(points);
    }

    private static int pointCount(double relativeWeight) {
        return (int) Math.max(1, MEAN_POINTS * Math.min(MAX_WEIGHT_MULTIPLE, relativeWeight));
    }

    /** Returns the number of points; they are numbered clockwise, and numbers beyond the last wrap round. */
    public int size() {
        return points.length;
    }

    /** Returns the number of the first point at or clockwise from a hash. */
    public int firstPointFrom(long hash) {
        int found = Arrays.binarySearch(points, hash & ~INDEX_MASK);
        return found < 0 ? -found - 1 : found;
    }

    /** Returns where a point lies on the ring. */
    public long position(int point) {
        return points[point % points.length] & ~INDEX_MASK;
    }

    /** Returns the index of the endpoint that owns a point. */
    public int owner(int point) {
        return (int) (points[point % points.length] & INDEX_MASK);
    }

    /** Returns the fraction of the points that an endpoint owns, by its index. */
    public double fraction(int endpointIndex) {
        return (double) pointsOf[endpointIndex] / points.length;
    }

    /** Spreads the bits of an id evenly, so that it can serve as a place on the ring. */
    public static long hash(long id) {
        return SplitMix64.mix(id + SplitMix64.GAMMA);
    }

    /** Returns a number from 0 to 1 drawn from a hash, the same at every proxy. */
    public static double uniform(long hash) {
        return (hash(hash) >>> 11) * 0x1p-53;
    }
}
