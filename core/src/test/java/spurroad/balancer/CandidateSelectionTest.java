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

/** Tests which candidate a request is sent to. */
public class CandidateSelectionTest {
    private static final long KEY = 42;

    /** Reported queues of the first candidate and of the others, and the index of the chosen candidate. */
    @DataProvider
    Object[][] queues() {
        return new Object[][] {{0.0, new double[] {0, 0}, 0}, {500.0, new double[] {400, 0}, 2},
            {500.0, new double[] {400, 300}, 2}, {100.0, new double[] {400, 300}, 0},
            {500.0, new double[] {0, 0}, 1}, {Double.NaN, new double[] {0, 0}, 0}};
    }

    @Test(dataProvider = "queues")
    public void choosesBySoftLimitThenFirstReplyThenShortestQueue(double firstQueue, double[] otherQueues,
                                                                  int chosenIndex) {
        List<Long> candidates = BalancerFixture.candidatesOf(KEY);
        BalancerFixture fixture = BalancerFixture.of(8, false);
        fixture.endLoadProbe(candidates.get(0), Outcome.SUCCEEDED, firstQueue);
        Decisions decisions = fixture.request(1, READ, KEY);
        for (int i = 0; decisions.attemptsToStart.isEmpty() && i < 2; i++) {
            decisions = fixture.endLoadProbe(candidates.get(i + 1), Outcome.SUCCEEDED, otherQueues[i]);
        }
        if (!decisions.attemptsToStart.isEmpty()) {
            assertEquals(decisions.attemptsToStart.get(0).endpoint().value(),
                (long) candidates.get(chosenIndex));
        } else {
            // the request would be late at every candidate: rejected in the same call
            assertTrue(decisions.responses.get(0).rejected());
            assertTrue(firstQueue >= 100 && otherQueues[0] > 0);
        }
    }

    /**
     * Load reports that are older than the request prove nothing, even if they show longer queues at the
     * other candidates.
     */
    @Test
    public void probesOtherCandidatesDespiteOlderReportsOfLongerQueues() {
        List<Long> candidates = BalancerFixture.candidatesOf(KEY);
        BalancerFixture fixture = BalancerFixture.of(8, false);
        for (int i = 0; i < 3; i++) {
            fixture.endLoadProbe(candidates.get(i), Outcome.SUCCEEDED, i == 0 ? 5 : 9);
        }
        Decisions decisions = fixture.request(1, READ, KEY);
        assertTrue(decisions.attemptsToStart.isEmpty());
        assertEquals(decisions.loadProbes.stream().map(endpoint -> endpoint.value()).toList(),
            candidates.subList(1, 3));
    }

    @Test
    public void choosesRandomCandidateWithoutAnyReply() {
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
    public void migratesOnlyKeysOfRemovedEndpoint() {
        BalancerFixture fixtureBefore = BalancerFixture.of(8, false);
        BalancerFixture fixtureAfter = BalancerFixture.of(8, false);
        fixtureAfter.updateEndpoint(3, EndpointPhase.REMOVED, 0);
        int movedKeys = 0;
        for (long key = 1; key <= 300; key++) {
            long targetBefore = fixtureBefore.targetOf(key, READ, key);
            long targetAfter = fixtureAfter.targetOf(key, READ, key);
            fixtureBefore.endAttempt(key, 0, Outcome.SUCCEEDED);
            fixtureAfter.endAttempt(key, 0, Outcome.SUCCEEDED);
            assertTrue(targetBefore == targetAfter || (targetBefore == 3 && targetAfter != 3));
            movedKeys += targetBefore == 3 ? 1 : 0;
        }
        assertTrue(movedKeys > 10 && movedKeys < 90, "moved keys: " + movedKeys);
    }

    /**
     * Regression: after slow first requests all later ones were rejected, so that the estimate of the service
     * time never improved.
     */
    @Test
    public void sendsToIdleEndpointRegardlessOfPastServiceTime() {
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
     * Regression: a proxy that got too little CPU time attributed its own stalls to endpoints and rejected
     * requests for seconds.
     */
    @Test
    public void excludesProxyDelayFromServiceTimes() {
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
     * The first candidate in the proxy's own zone is preferred; if there is none, the order of the ring
     * applies.
     */
    @Test(dataProvider = "zones")
    public void prefersCandidateInOwnZone(ZoneId ownZone) {
        BalancerFixture fixture = fleet(ownZone).get(0);
        int ringOrderCount = 0;
        for (long key = 1; key <= 200; key++) {
            List<Long> ringOrder = KeyCandidates
                .of(BalancerFixture.endpoints(ENDPOINTS, false), BalancerFixture.ORIGIN, new CacheKey(key))
                .candidates().stream().map(candidate -> candidate.endpoint().value()).toList();
            long target = targetOfSuccessfulRead(fixture, key, key);
            long expected = ringOrder.stream()
                .filter(endpoint -> ownZone != null && endpoint % 2 == ownZone.value()).findFirst()
                .orElse(ringOrder.get(0));
            assertEquals(target, expected);
            ringOrderCount += target == ringOrder.get(0) ? 1 : 0;
        }
        assertEquals(ringOrderCount == 200, ownZone == null || ownZone.value() == 7);
    }
}
