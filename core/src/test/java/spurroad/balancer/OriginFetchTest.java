package spurroad.balancer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;
import static spurroad.balancer.BalancerFixture.DEDUPLICATED;
import static spurroad.balancer.BalancerFixture.MS;
import static spurroad.balancer.BalancerFixture.NON_IDEMPOTENT;
import static spurroad.balancer.BalancerFixture.READ;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.model.CellId;
import spurroad.model.Decisions;
import spurroad.model.Endpoint;
import spurroad.model.EndpointId;
import spurroad.model.EndpointPhase;
import spurroad.model.Outcome;
import spurroad.model.ZoneId;

/**
 * Tests which requests are sent to an origin that the proxy itself fetches from, and how many concurrently.
 */
public class OriginFetchTest {
    private static final long KEY = 42;

    @Test
    public void coalescesFetchesOfKeyThenRetriesCache() {
        BalancerFixture fixture = BalancerFixture.of(5, true);
        fixture.request(1, READ, KEY);
        fixture.request(2, READ, KEY);
        assertEquals(fixture.endAttempt(1, 0, Outcome.CACHE_MISS).attemptsToStart.get(0).endpoint().value(),
            99);
        assertTrue(fixture.endAttempt(2, 0, Outcome.CACHE_MISS).attemptsToStart.isEmpty());
        Decisions decisions = fixture.endAttempt(1, 1, Outcome.SUCCEEDED);
        assertEquals(decisions.attemptsToStart.get(0).request().value(), 2);
        assertNotEquals(decisions.attemptsToStart.get(0).endpoint().value(), 99L);
    }

    /** What happens to the origin while a write is in flight there. */
    @DataProvider
    Object[][] originChanges() {
        return new Object[][] {{EndpointPhase.READY, 0L}, {EndpointPhase.DRAINING, 0L},
            {EndpointPhase.REMOVED, 0L}, {EndpointPhase.READY, 99_000 * MS}};
    }

    /**
     * Guards against calling off a write that the origin still executes: an origin that drains, was removed
     * or started anew counted as an unresponsive cache node.
     */
    @Test(dataProvider = "originChanges")
    public void leavesWritesInFlightToAnOriginThatIsNoLongerReady(EndpointPhase phase, long startedNanos) {
        BalancerFixture fixture = BalancerFixture.of(5, true);
        for (long id = 1; id <= 2; id++) {
            assertEquals(fixture.targetOf(id, DEDUPLICATED, id), 99);
        }
        fixture.updateEndpoints(false, List.of(BalancerFixture.origin(phase, startedNanos)));
        for (int waitedMillis = 0; waitedMillis < 3_900; waitedMillis += 50) {
            Decisions decisions = fixture.advance(50);
            assertEquals(decisions.attemptsToCancel.size(), 0, "after " + waitedMillis + " ms");
            assertEquals(decisions.responses.size(), 0, "after " + waitedMillis + " ms");
        }
    }

    /**
     * Guards against using a second ready origin, as listed while the origin moves, as a cache node: it would
     * get a share of all reads, and far fewer than these bring it to a stop.
     */
    @Test
    public void sendsNoReadsToSecondOriginBeforeTheyMiss() {
        BalancerFixture fixture = BalancerFixture.of(5, true);
        Endpoint second = new Endpoint(new EndpointId(98), BalancerFixture.ORIGIN, new ZoneId(0),
            new CellId(0),
            0, 1, EndpointPhase.READY);
        fixture.updateEndpoints(false, List.of(second));
        for (long key = 0; key < 200; key++) {
            long target = fixture.targetOf(key, READ, key);
            assertTrue(target < 5, "key " + key + " went to " + target);
            fixture.endAttempt(key, 0, Outcome.SUCCEEDED);
        }
    }

    @Test
    public void startsNoOriginFetchForDisconnectedClients() {
        BalancerFixture fixture = BalancerFixture.of(5, true);
        int started = 0;
        for (long id = 0; id < 30; id++) {
            started += fixture.request(id, NON_IDEMPOTENT, id).attemptsToStart.size();
        }
        assertTrue(started >= 2 && started < 30, "started fetches: " + started);
        fixture.disconnectClient(77);
        fixture.disconnectClient(29);
        for (long id = 0; id < 30; id++) {
            for (Decisions.StartAttempt attempt : List
                .copyOf(fixture.endAttempt(id, 0, Outcome.SUCCEEDED).attemptsToStart)) {
                assertNotEquals(attempt.request().value(), 29L);
                started++;
            }
        }
        assertEquals(started, 29);
    }

    /**
     * Regression: one proxy had two fetches in flight and rejected cache misses, while another had eight in
     * flight and rejected none.
     */
    @Test
    public void raisesOriginLimitWhileResponsesAreInTime() {
        BalancerFixture fixture = BalancerFixture.of(5, true);
        List<Long> inFlight = new ArrayList<>();
        List<Long> startedNanos = new ArrayList<>();
        for (int step = 0; step < 4000; step++) {
            fixture.request(step, DEDUPLICATED, step).attemptsToStart
                .forEach(attempt -> inFlight.add(attempt.request().value()));
            while (startedNanos.size() < inFlight.size()) {
                startedNanos.add(fixture.nowNanos);
            }
            fixture.nowNanos += 10 * MS;
            if (!inFlight.isEmpty()
                && fixture.nowNanos - startedNanos.get(0) >= (step < 2000 ? 600 : 900) * MS) {
                startedNanos.remove(0);
                fixture.endAttempt(inFlight.remove(0), 0, Outcome.SUCCEEDED).attemptsToStart
                    .forEach(attempt -> inFlight.add(attempt.request().value()));
            }
            assertTrue(step != 1999 || inFlight.size() > 6, "concurrent fetches: " + inFlight.size());
        }
        assertTrue(inFlight.size() <= 4, "concurrent fetches after late responses: " + inFlight.size());
    }

    private record Fetch(long request, int number, long endNanos) {}

    /**
     * Records the started fetches: those of writes, and those of reads after a cache miss, which is reported
     * at once.
     */
    private static void recordFetches(BalancerFixture fixture, Decisions decisions, List<Fetch> inFlight) {
        for (Decisions.StartAttempt attempt : List.copyOf(decisions.attemptsToStart)) {
            boolean isWrite = attempt.request().value() % 2 == 1;
            // reads are slow for the first four seconds, some writes all the time
            if (attempt.endpoint().value() == 99) {
                long durationMillis = isWrite ? attempt.request().value() % 3 == 0 ? 950 : 600
                    : attempt.request().value() < 1600 ? 900 : 230;
                inFlight.add(
                    new Fetch(attempt.request().value(), isWrite ? 0 : 1,
                        fixture.nowNanos + durationMillis * MS));
            } else {
                recordFetches(fixture, fixture.endAttempt(attempt.request().value(), 0, Outcome.CACHE_MISS),
                    inFlight);
            }
        }
    }

    /**
     * Regression: one of two proxies sent the origin fewer and fewer reads until most of its fetches were
     * writes, which take twice as long. Its limit fell for this reason and stayed low after the origin had
     * recovered.
     */
    @Test
    public void doesNotLowerOriginLimitForSlowWrites() {
        BalancerFixture fixture = BalancerFixture.of(5, true);
        List<Fetch> inFlight = new ArrayList<>();
        int reads = 0;
        int rejected = 0;
        for (int tick = 0; tick < 8000; tick++) {
            long request = 2L * tick + (tick % 7 == 0 ? 1 : 0);
            Decisions decisions = fixture.request(request, request % 2 == 1 ? DEDUPLICATED : READ, tick + 1);
            reads += tick > 6000 && request % 2 == 0 ? 1 : 0;
            rejected += tick > 6000 && request % 2 == 0 ? decisions.responses.size() : 0;
            recordFetches(fixture, decisions, inFlight);
            fixture.nowNanos += 5 * MS;
            for (Fetch fetch : List.copyOf(inFlight)) {
                if (fetch.endNanos <= fixture.nowNanos) {
                    inFlight.remove(fetch);
                    recordFetches(fixture, fixture.endAttempt(fetch.request, fetch.number, Outcome.SUCCEEDED),
                        inFlight);
                }
            }
        }
        assertTrue(rejected < reads / 20, rejected + " of " + reads + " reads rejected");
        assertTrue(inFlight.size() > 10, inFlight.size() + " in flight at the origin");
    }
}
