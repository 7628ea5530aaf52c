package spurroad.balancer;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.model.CacheKey;
import spurroad.model.CellId;
import spurroad.model.Endpoint;
import spurroad.model.EndpointId;
import spurroad.model.EndpointKindId;
import spurroad.model.EndpointPhase;
import spurroad.model.ZoneId;

/**
 * Verifies that decisions are unchanged to the bit: the same events result in the same decisions in the same
 * order, with the same random draws. A commit that changes decisions updates the digests and gives the
 * reason; one that only moves or renames code must not.
 */
public class DecisionTraceTest {
    private static final long CALLS = 7_000;

    @DataProvider
    Object[][] traces() {
        return new Object[][] {
            {TracedDeployment.standalone(),
                "0827ff3de2800715ab9035d1d82d983f6504714ea7f0fb781da63c6706d1ae0d"},
            {TracedDeployment.withoutOrigin(),
                "892697ee80206d50b5a6e0e55f7e0eb5d2c0ded7290f7bdc80eee819bdc65dd2"},
            {TracedDeployment.oneEndpoint(),
                "d5f00334e6769a38a9c1b33c9b469a9b83e8d8ee4eb961b0d62670a29e54c702"},
            {TracedDeployment.largeFleet(),
                "eab20a188296971444fddd8eab5c8e23c08783969187c5307d515fcaee03cef4"},
            {TracedDeployment.gossip(),
                "9862df132a2c221574cde2715cb3e827373910036ca57f8c2c2af7f513ae9788"},
            {TracedDeployment.gossipWithOrigin(),
                "69ad8326283a136fa68e04ccc5c46e727cfdf10f9c9adfd6aaa05de0cfebc0f9"},
            {TracedDeployment.gossipLargeFleet(),
                "1f9706db86afe8941a2763b4fd212e43fc61d864e73c1880cda5d4cd101646a3"},
            {TracedDeployment.quiet(),
                "c42e45e338f74c5a12dde42d3af67bae3833b352cb9c40623a70ea5a119e130b"},
            {TracedDeployment.overloaded(),
                "7515e2910670ec822dee5d6f771b8cd35474fbd0c2c9fc5d46bebd4c60ae56d8"},
        };
    }

    @Test(dataProvider = "traces")
    public void makesUnchangedDecisions(TracedDeployment traced, String digest) {
        DecisionTrace trace = new DecisionTrace(traced.name());
        new TracedFleet(traced, trace).run(CALLS);
        assertEquals(trace.digest(), digest, traced.name());
    }

    @Test
    public void findsUnchangedCandidates() {
        DecisionTrace trace = new DecisionTrace("candidates");
        Random random = new Random(5);
        for (int i = 0; i < 200; i++) {
            traceCandidates(random, trace);
        }
        assertEquals(trace.digest(),
            "f437d24a2b0f2ca16c322cbd56e7d2fc2b995c14c5f6ab2fead0c48da21891cb");
    }

    private static void traceCandidates(Random random, DecisionTrace trace) {
        List<Endpoint> entries = new ArrayList<>();
        for (int index = 0; index < 1 + random.nextInt(40); index++) {
            EndpointPhase phase = random.nextInt(6) == 0 ? EndpointPhase.DRAINING : EndpointPhase.READY;
            entries.add(
                new Endpoint(new EndpointId(random.nextLong()), new EndpointKindId(random.nextInt(8) / 7),
                    new ZoneId(0), new CellId(0), 0, 1 + random.nextInt(4), phase));
        }
        CacheKey key = new CacheKey(random.nextLong());
        KeyCandidates found = KeyCandidates.of(entries, new EndpointKindId(1), key);
        trace.recordCall('K', key.value(), found.point(), found.ringPoints());
        found.candidates().forEach(
            candidate -> trace.recordCall('k', candidate.endpoint().value(), candidate.ringDistance(),
                candidate.ringFraction()));
    }
}
