package spurroad;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;

/** A consistent hash ring: each node owns some points, and a key's nodes lie clockwise from its hash. */
final class Ring {
    private record Point(long at, Node node) { }

    private static final Comparator<Point> CLOCKWISE = Comparator.comparingLong(Point::at);
    private final List<Point> points = new ArrayList<>();

    void add(Node node, int count) {
        long id = mix(node.entry.id().value());
        for (int i = 1; i <= count; i++) {
            points.add(new Point(mix(id + i), node));
        }
    }

    void close() {
        points.sort(CLOCKWISE.thenComparingLong(p -> p.node.entry.id().value()));
    }

    int size() {
        return points.size();
    }

    /** The place of the first point at or after a hash. */
    int from(long hash) {
        int at = Collections.binarySearch(points, new Point(hash, null), CLOCKWISE);
        return at < 0 ? -at - 1 : at;
    }

    Node at(int place) {
        return points.get(place % points.size()).node;
    }

    /** Spreads the bits of an id evenly (the finisher of SplitMix64). */
    static long mix(long x) {
        long z = x + 0x9e3779b97f4a7c15L;
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }
}
