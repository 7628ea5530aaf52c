package spurroad;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** A consistent hash ring: each node owns some points, and a key's nodes lie clockwise from its hash. */
final class Ring {
    private static final int INDEX_BITS = 16;
    private static final long INDEX = (1L << INDEX_BITS) - 1;
    private final List<Node> nodes = new ArrayList<>();
    // a point's place on the ring, its lowest bits replaced by the index of the node that owns it
    private long[] points = new long[0];
    private int count;

    void add(Node node, int share) {
        long id = mix(node.entry.id().value());
        points = points.length < count + share ? Arrays.copyOf(points, 2 * count + share) : points;
        for (int i = 1; i <= share; i++) {
            points[count++] = mix(id + i) & ~INDEX | nodes.size() & INDEX;
        }
        nodes.add(node);
    }

    void close() {
        points = Arrays.copyOf(points, count);
        Arrays.sort(points);
    }

    /** How many points there are, each by its place clockwise from a hash. */
    int size() {
        return count;
    }

    int from(long hash) {
        int at = Arrays.binarySearch(points, hash & ~INDEX);
        return at < 0 ? -at - 1 : at;
    }

    Node owner(int place) {
        return nodes.get((int) (points[place % count] & INDEX));
    }

    /** Spreads the bits of an id evenly (the finisher of SplitMix64). */
    static long mix(long x) {
        long z = x + 0x9e3779b97f4a7c15L;
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }
}
