package spurroad;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

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

    /** The owners of the points from a hash on, once around; a node comes as often as it owns points. */
    Stream<Node> clockwise(long hash) {
        int at = Collections.binarySearch(points, new Point(hash, null), CLOCKWISE);
        int from = at < 0 ? -at - 1 : at;
        return IntStream.range(0, points.size()).mapToObj(i -> points.get((from + i) % points.size()).node);
    }

    /** Spreads the bits of an id evenly (the finisher of SplitMix64). */
    static long mix(long x) {
        long z = x + 0x9e3779b97f4a7c15L;
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }
}
