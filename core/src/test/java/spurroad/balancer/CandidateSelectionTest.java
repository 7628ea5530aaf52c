package spurroad.balancer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static spurroad.balancer.BalancerFixture.DEDUPLICATED;
import static spurroad.balancer.BalancerFixture.MS;
import static spurroad.balancer.BalancerFixture.READ;
import static spurroad.balancer.GossipFixture.ENDPOINTS;
import static spurroad.balancer.GossipFixture.fleet;
import static spurroad.balancer.GossipFixture.targetOfSuccessfulRead;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.model.CacheKey;
import spurroad.model.Decisions;
import spurroad.model.EndpointPhase;
import spurroad.model.Outcome;
import spurroad.model.ZoneId;

/** Which candidate a request is sent to. */
public class CandidateSelectionTest {
    private static final long KEY = 42;

    /**
     * Reported queues of the first candidate and the others, and the index of the candidate that is chosen.
     */
    @DataProvider
    Object[][] queues() {
        return new Object[][] {{0.0, new double[] {0, 0}, 0}, {500.0, new double[] {400, 0}, 2},
            {500.0, new double[] {400, 300}, 2}, {100.0, new double[] {400, 300}, 0},
            {500.0, new double[] {0, 0}, 1}, {Double.NaN, new double[] {0, 0}, 0}};
    }

    @Test(dataProvider = "queues")
    public void choosesBySoftLimitThenFirstReplyThenShortestQueue(double first, double[] others, int chosen) {
        List<Long> candidates = BalancerFixture.candidatesOf(KEY);
        BalancerFixture fixture = BalancerFixture.of(8, false);
        fixture.endLoadProbe(candidates.get(0), Outcome.SUCCEEDED, first);
        Decisions decisions = fixture.request(1, READ, KEY);
        for (int i = 0; decisions.attemptsToStart.isEmpty() && i < 2; i++) {
            decisions = fixture.endLoadProbe(candidates.get(i + 1), Outcome.SUCCEEDED, others[i]);
        }
        if (!decisions.attemptsToStart.isEmpty()) {
            assertEquals(decisions.attemptsToStart.get(0).endpoint().value(), (long) candidates.get(chosen));
        } else {
            // every candidate would be too late: rejected in the same call
            assertTrue(decisions.responses.get(0).rejected());
            assertTrue(first >= 100 && others[0] > 0);
        }
    }

    /**
     * The other candidates' reports are older than the request, and so prove nothing although they show
     * longer queues.
     */
    @Test
    public void probesTheOtherCandidatesDespiteOlderReportsOfLongerQueues() {
        List<Long> candidates = BalancerFixture.candidatesOf(KEY);
        BalancerFixture fixture = BalancerFixture.of(8, false);
        for (int i = 0; i < 3; i++) {
            fixture.endLoadProbe(candidates.get(i), Outcome.SUCCEEDED, i == 0 ? 5 : 9);
        }
        Decisions decisions = fixture.request(1, READ, KEY);
        assertTrue(decisions.attemptsToStart.isEmpty());
        assertEquals(decisions.loadProbes.stream().map(n -> n.value()).toList(), candidates.subList(1, 3));
    }

    @Test
    public void choosesAtRandomWithoutAnyReply() {
        Set<Long> targets = new TreeSet<>();
        List<Long> candidates = BalancerFixture.candidatesOf(KEY);
        for (long id = 1; id <= 30; id++) {
            BalancerFixture fixture = BalancerFixture.of(8, false);
            fixture.request(100, READ, 0);
            fixture.endLoadProbe(candidates.get(0), Outcome.SUCCEEDED, 3);
            for (int i = 0; i < id % 7; i++) {
                fixture.request(200 + i, READ, 0);
            }
            assertTrue(fixture.request(id, READ, KEY).attemptsToStart.isEmpty());
            targets.add(fixture.advance(25).attemptsToStart.get(0).endpoint().value());
        }
        assertTrue(candidates.containsAll(targets) && targets.size() > 1, targets + " of " + candidates);
    }

    @Test
    public void migratesOnlyTheKeysOfARemovedEndpoint() {
        BalancerFixture before = BalancerFixture.of(8, false);
        BalancerFixture after = BalancerFixture.of(8, false);
        after.updateEndpoint(3, EndpointPhase.REMOVED, 0);
        int moved = 0;
        for (long key = 1; key <= 300; key++) {
            long was = before.targetOf(key, READ, key);
            long is = after.targetOf(key, READ, key);
            before.endAttempt(key, 0, Outcome.SUCCEEDED);
            after.endAttempt(key, 0, Outcome.SUCCEEDED);
            assertTrue(was == is || (was == 3 && is != 3));
            moved += was == 3 ? 1 : 0;
        }
        assertTrue(moved > 10 && moved < 90, "moved " + moved);
    }

    /**
     * Regression: after slow first requests all later ones were rejected, so that the estimate never
     * improved.
     */
    @Test
    public void sendsToAnIdleEndpointWhateverItsPastServiceTime() {
        for (boolean withOrigin : new boolean[] {false, true}) {
            BalancerFixture fixture = BalancerFixture.of(6, withOrigin);
            for (int i = 0; i < 20; i++) {
                assertEquals(fixture.request(i, withOrigin ? DEDUPLICATED : READ, KEY).attemptsToStart.size(),
                    1);
                fixture.nowNanos += (withOrigin ? 2500 : 600) * MS;
                fixture.endAttempt(i, 0, Outcome.SUCCEEDED);
            }
        }
    }

    /**
     * Regression: a proxy short of processor time attributed its own stalls to endpoints, and rejected for
     * seconds.
     */
    @Test
    public void excludesTheProxysDelayFromServiceTimes() {
        for (boolean isDelayReported : new boolean[] {true, false}) {
            BalancerFixture fixture = BalancerFixture.of(6, false);
            for (int i = 0; i < 20; i++) {
                fixture.request(i, READ, KEY);
                fixture.nowNanos += 600 * MS;
                fixture.proxyDelayNanos = isDelayReported ? 580 * MS : 0;
                fixture.endAttempt(i, 0, Outcome.SUCCEEDED);
            }
            assertEquals(
                fixture.request(100, READ, KEY).attemptsToStart.size()
                    + fixture.request(101, READ, KEY).attemptsToStart.size(),
                isDelayReported ? 2 : 1);
        }
    }

    @DataProvider
    Object[][] zones() {
        return new Object[][] {{new ZoneId(0)}, {new ZoneId(1)}, {new ZoneId(7)}, {null}};
    }

    /**
     * The first candidate in the proxy's own zone is preferred; without one the order of the ring applies.
     */
    @Test(dataProvider = "zones")
    public void prefersTheCandidateInItsOwnZone(ZoneId own) {
        BalancerFixture fixture = fleet(own).get(0);
        int ringOrderCount = 0;
        for (long key = 1; key <= 200; key++) {
            List<Long> ringOrder = KeyCandidates
                .of(BalancerFixture.endpoints(ENDPOINTS, false), BalancerFixture.ORIGIN, new CacheKey(key))
                .candidates().stream().map(f -> f.endpoint().value()).toList();
            long to = targetOfSuccessfulRead(fixture, key, key);
            long expected = ringOrder.stream().filter(n -> own != null && n % 2 == own.value()).findFirst()
                .orElse(ringOrder.get(0));
            assertEquals(to, expected);
            ringOrderCount += to == ringOrder.get(0) ? 1 : 0;
        }
        assertEquals(ringOrderCount == 200, own == null || own.value() == 7);
    }
}
