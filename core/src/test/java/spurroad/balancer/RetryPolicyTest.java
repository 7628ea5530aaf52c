package spurroad.balancer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;
import static spurroad.balancer.BalancerFixture.DEDUPLICATED;
import static spurroad.balancer.BalancerFixture.MS;
import static spurroad.balancer.BalancerFixture.NON_IDEMPOTENT;
import static spurroad.balancer.BalancerFixture.READ;
import static spurroad.balancer.GossipFixture.fleet;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.model.Decisions;
import spurroad.model.DeduplicationScope;
import spurroad.model.Outcome;
import spurroad.model.RequestClassId;

/** Tests which requests are retried, at which endpoints, and how often. */
public class RetryPolicyTest {
    private static final long KEY = 42;

    /**
     * Request class, outcome of the first attempt, whether a retry starts, and if not, whether the request is
     * rejected.
     */
    @DataProvider
    Object[][] effects() {
        return new Object[][] {
            {READ, Outcome.FAILED, true, false}, {READ, Outcome.REJECTED, true, false},
            {READ, Outcome.TIMED_OUT, true, false}, {READ, Outcome.NOT_SENT, false, true},
            {DEDUPLICATED, Outcome.FAILED, true, false}, {DEDUPLICATED, Outcome.CONNECTION_LOST, true, false},
            {DEDUPLICATED, Outcome.NO_CONNECTION, true, false},
            {NON_IDEMPOTENT, Outcome.REJECTED, true, false},
            {NON_IDEMPOTENT, Outcome.NO_CONNECTION, true, false},
            {NON_IDEMPOTENT, Outcome.CACHE_MISS, true, false},
            {NON_IDEMPOTENT, Outcome.FAILED, false, false}, {NON_IDEMPOTENT, Outcome.TIMED_OUT, false, false},
            {NON_IDEMPOTENT, Outcome.CONNECTION_LOST, false, false},
            {NON_IDEMPOTENT, Outcome.CANCELLED, false, false}};
    }

    @Test(dataProvider = "effects")
    public void retriesOnlyIfEffectAllows(RequestClassId requestClass, Outcome outcome,
                                          boolean isRetried, boolean isRejected) {
        BalancerFixture fixture = BalancerFixture.of(6, false);
        long firstEndpoint = fixture.targetOf(1, requestClass, KEY);
        Decisions decisions = fixture.endAttempt(1, 0, outcome);
        assertEquals(decisions.attemptsToStart.size(), isRetried ? 1 : 0);
        assertEquals(decisions.responses.size(), isRetried ? 0 : 1);
        if (isRetried) {
            assertNotEquals(decisions.attemptsToStart.get(0).endpoint().value(), firstEndpoint);
        } else {
            assertEquals(decisions.responses.get(0).rejected(), isRejected);
        }
    }

    @Test
    public void limitsRetriesToDeduplicationWindow() {
        BalancerFixture fixture = BalancerFixture.of(6, false);
        fixture.request(1, DEDUPLICATED, KEY);
        assertEquals(fixture.decisions.attemptsToStart.get(0).sendDeadlineNanos(), Long.MAX_VALUE,
            "the first attempt is not a repeat");
        fixture.nowNanos += 300 * MS;
        assertEquals(
            fixture.endAttempt(1, 0, Outcome.NO_CONNECTION).attemptsToStart.get(0).sendDeadlineNanos(),
            Long.MAX_VALUE,
            "no earlier attempt has run");
        long firstRunNanos = fixture.nowNanos;
        fixture.nowNanos += 300 * MS;
        assertEquals(
            fixture.endAttempt(1, 1, Outcome.CONNECTION_LOST).attemptsToStart.get(0).sendDeadlineNanos(),
            firstRunNanos + 800 * MS);
        fixture.request(2, READ, KEY);
        fixture.nowNanos += 300 * MS;
        assertEquals(
            fixture.endAttempt(2, 0, Outcome.CONNECTION_LOST).attemptsToStart.get(0).sendDeadlineNanos(),
            Long.MAX_VALUE, "an idempotent request may run twice");
    }

    /**
     * Deduplication scope, milliseconds until the first attempt fails, and number of endpoints that a retry
     * may use.
     */
    @DataProvider
    Object[][] deduplicationScopes() {
        return new Object[][] {{DeduplicationScope.ALL, 100, 6}, {DeduplicationScope.ZONE, 100, 3},
            {DeduplicationScope.CELL, 100, 2},
            {DeduplicationScope.ALL, 900, 0}, {DeduplicationScope.ZONE, 900, 0}};
    }

    @Test(dataProvider = "deduplicationScopes")
    public void limitsRetriesToDeduplicationScope(DeduplicationScope scope, long failAfterMillis,
                                                  int endpointsInScope) {
        BalancerFixture fixture = new BalancerFixture(false, scope);
        fixture.updateEndpoints(true, BalancerFixture.endpoints(6, false));
        for (long id = 1; id <= 40; id++) {
            long firstTarget = fixture.targetOf(id, DEDUPLICATED, id);
            fixture.nowNanos += failAfterMillis * MS;
            Decisions decisions = fixture.endAttempt(id, 0, Outcome.FAILED);
            decisions = decisions.attemptsToStart.isEmpty() && decisions.responses.isEmpty()
                ? fixture.advance(25) : decisions;
            for (Decisions.StartAttempt attempt : decisions.attemptsToStart) {
                long target = attempt.endpoint().value();
                assertTrue(endpointsInScope == 6
                    || (endpointsInScope == 3 ? target % 2 == firstTarget % 2
                        : target / 2 == firstTarget / 2));
            }
            assertTrue(endpointsInScope > 0 || decisions.attemptsToStart.isEmpty());
            assertEquals(decisions.attemptsToStart.size() + decisions.responses.size(), 1);
            boolean isRejectionSafe = scope == DeduplicationScope.ALL && failAfterMillis < 800;
            assertTrue(
                decisions.responses.isEmpty() || decisions.responses.get(0).rejected() == isRejectionSafe);
            fixture.nowNanos += 20_000 * MS;
            fixture.endAttempt(id, 1, Outcome.SUCCEEDED);
        }
    }

    /** Regression: every request was sent to one full endpoint after another. */
    @Test
    public void stopsAfterThreeRejectionsWithoutRetryBudget() {
        BalancerFixture fixture = BalancerFixture.of(12, false);
        int retries = 0;
        int rejected = 0;
        for (long id = 1; id <= 60; id++) {
            fixture.request(id, READ, id);
            for (int i = 0; i < 4 && fixture.decisions.responses.isEmpty(); i++) {
                Decisions decisions = fixture.endAttempt(id, i, Outcome.REJECTED);
                retries += i >= 2 ? decisions.attemptsToStart.size() : 0;
                rejected += i == 2 && !decisions.responses.isEmpty()
                    && decisions.responses.get(0).retryAfterNanos() > 0 ? 1 : 0;
            }
            fixture.nowNanos += 20 * MS;
        }
        assertTrue(retries > 0 && retries <= 20 && rejected >= 10,
            retries + " retries, " + rejected + " rejected");
    }

    /**
     * Regression: every request that a full endpoint rejected was retried at two others and missed the cache
     * at both.
     */
    @Test
    public void allowsOneRetryPerTwentyRequestsWithGossip() {
        BalancerFixture fixture = fleet(null).get(0);
        int retries = 0;
        for (int id = 0; id < 100; id++) {
            fixture.request(id, READ, id);
            retries += fixture.endAttempt(id, 0, Outcome.REJECTED).attemptsToStart.size();
            fixture.nowNanos += 20_000 * MS;
        }
        assertTrue(retries >= 3 && retries <= 5, "retries " + retries);
    }

    /** Outcome of the only attempt of a request. */
    @DataProvider
    Object[][] failedOutcomes() {
        return new Object[][] {{Outcome.FAILED}, {Outcome.REJECTED}, {Outcome.TIMED_OUT},
            {Outcome.CONNECTION_LOST},
            {Outcome.NO_CONNECTION}, {Outcome.CANCELLED}, {Outcome.NOT_SENT}};
    }

    @Test(dataProvider = "failedOutcomes")
    public void respondsToFailedRequestInSameCall(Outcome outcome) {
        BalancerFixture fixture = fleet(null).get(0);
        for (RequestClassId requestClass : List.of(READ, DEDUPLICATED, NON_IDEMPOTENT)) {
            int id = requestClass.value();
            assertEquals(fixture.request(id, requestClass, 42).attemptsToStart.size(), 1);
            Decisions decisions = fixture.endAttempt(id, 0, outcome);
            assertEquals(decisions.responses.size(), 1, "the retry budget is empty");
            assertTrue(
                !decisions.responses.get(0).rejected() || decisions.responses.get(0).retryAfterNanos() > 0);
        }
    }
}
