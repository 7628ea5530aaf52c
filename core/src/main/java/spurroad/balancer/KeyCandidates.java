package spurroad.balancer;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import spurroad.balancer.endpoint.Ring;
import spurroad.model.CacheKey;
import spurroad.model.Endpoint;
import spurroad.model.EndpointId;
import spurroad.model.EndpointKindId;
import spurroad.model.EndpointPhase;

/**
 * The candidates of a key on the hash ring that the load balancer builds from an endpoint list, for display
 * to operators. The load balancer itself also excludes endpoints because of what it observes.
 *
 * @param point position of the key on the ring
 * @param ringPoints number of points on the ring
 * @param candidates the first ready cache endpoints clockwise of the key, at most {@link Ring#CANDIDATES}
 */
public record KeyCandidates(long point, int ringPoints, List<Candidate> candidates) {
    private static final double RING_LENGTH = 0x1p64;

    /**
     * A candidate endpoint of a key.
     *
     * @param ringDistance clockwise distance from the key's point to the endpoint's, as a fraction of the
     *     ring
     * @param ringFraction fraction of the ring that the endpoint owns
     */
    public record Candidate(EndpointId endpoint, double ringDistance, double ringFraction) {}

    /** Finds the candidates of a key in a complete endpoint list; endpoints of the origin's kind are none. */
    public static KeyCandidates of(List<Endpoint> endpoints, EndpointKindId originKind, CacheKey key) {
        List<Endpoint> ready = endpoints.stream().filter(endpoint -> endpoint.phase() == EndpointPhase.READY)
            .filter(endpoint -> !endpoint.kind().equals(originKind)).toList();
        Ring ring = new Ring(ready);
        long keyPoint = Ring.hash(key.value());
        int firstPoint = ring.firstPointFrom(keyPoint);
        Set<Integer> seenOwners = new HashSet<>();
        List<Candidate> candidates = new ArrayList<>();
        for (int i = 0; i < ring.size() && candidates.size() < Ring.CANDIDATES; i++) {
            int owner = ring.owner(firstPoint + i);
            if (seenOwners.add(owner)) {
                double distance = distance(keyPoint, ring.position(firstPoint + i));
                candidates.add(new Candidate(ready.get(owner).id(), distance, ring.fraction(owner)));
            }
        }
        return new KeyCandidates(keyPoint, ring.size(), candidates);
    }

    private static double distance(long from, long to) {
        return ((double) to - from) / RING_LENGTH + (to < from ? 1 : 0);
    }
}
