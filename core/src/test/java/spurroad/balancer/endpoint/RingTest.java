package spurroad.balancer.endpoint;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.testng.annotations.Test;
import spurroad.model.CellId;
import spurroad.model.Endpoint;
import spurroad.model.EndpointId;
import spurroad.model.EndpointKindId;
import spurroad.model.EndpointPhase;
import spurroad.model.ZoneId;

public class RingTest {
    private static Endpoint endpoint(long id, double weight) {
        return new Endpoint(new EndpointId(id), new EndpointKindId(0), new ZoneId(0), new CellId(0), 0,
            weight,
            EndpointPhase.READY);
    }

    private static List<Endpoint> endpoints(int count) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int id = 1; id <= count; id++) {
            endpoints.add(endpoint(id, 1));
        }
        return endpoints;
    }

    private static EndpointId owner(List<Endpoint> endpoints, long key) {
        Ring ring = new Ring(endpoints);
        return endpoints.get(ring.owner(ring.firstPointFrom(Ring.hash(key)))).id();
    }

    @Test
    public void ownersDoNotDependOnTheOrderOfEndpoints() {
        List<Endpoint> reversed = endpoints(10);
        Collections.reverse(reversed);
        for (long key = 0; key < 500; key++) {
            assertEquals(owner(reversed, key), owner(endpoints(10), key));
        }
    }

    @Test
    public void migratesOnlyTheKeysOfARemovedEndpoint() {
        List<Endpoint> remaining = endpoints(10);
        EndpointId removed = remaining.remove(4).id();
        for (long key = 0; key < 500; key++) {
            EndpointId before = owner(endpoints(10), key);
            assertTrue(before.equals(removed) || owner(remaining, key).equals(before));
        }
    }

    @Test
    public void assignsPointsByWeightUpToAMaximum() {
        Ring ring = new Ring(List.of(endpoint(1, 1), endpoint(2, 1), endpoint(3, 2)));
        assertEquals(ring.fraction(2), 2 * ring.fraction(0), 0.01);
        List<Endpoint> skewed = new ArrayList<>(endpoints(9));
        skewed.add(endpoint(10, 1_000));
        int meanPoints = 96;
        assertEquals(new Ring(skewed).size(), 9 + 3 * meanPoints,
            "each endpoint has at least one point and at most three times the mean");
    }

    @Test
    public void wrapsAroundAfterTheLastPoint() {
        Ring ring = new Ring(endpoints(3));
        assertEquals(ring.owner(ring.firstPointFrom(-1)), ring.owner(ring.firstPointFrom(-1) + ring.size()));
        assertEquals(new Ring(List.of()).size(), 0);
    }

    @Test
    public void mapsHashesToUniformNumbers() {
        double sum = 0;
        for (long hash = 0; hash < 10_000; hash++) {
            double value = Ring.uniform(hash);
            assertTrue(value >= 0 && value < 1);
            sum += value;
        }
        assertEquals(sum / 10_000, 0.5, 0.02);
    }
}
