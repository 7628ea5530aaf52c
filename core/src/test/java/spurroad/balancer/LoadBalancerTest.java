package spurroad.balancer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static spurroad.balancer.BalancerFixture.MS;
import static spurroad.balancer.BalancerFixture.NON_IDEMPOTENT;
import static spurroad.balancer.BalancerFixture.READ;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.balancer.endpoint.EndpointTable;
import spurroad.model.Decisions;
import spurroad.model.DeduplicationScope;
import spurroad.model.Endpoint;
import spurroad.model.EndpointPhase;
import spurroad.model.Outcome;
import spurroad.model.RequestClassId;

/** Invariants of the load balancer as a whole. */
public class LoadBalancerTest {
    private static final long KEY = 42;

    /**
     * Regression: each release adds endpoints with other ids, and removed ones were retained for the lifetime
     * of the proxy.
     */
    @Test
    public void forgetsRemovedEndpointsBeyondTheBound() throws Exception {
        BalancerFixture fixture = BalancerFixture.of(4, true);
        long inUse = fixture.targetOf(1, READ, KEY);
        for (long n = 100; n < 3 * EndpointTable.MAX_KNOWN_ENDPOINTS; n++) {
            fixture.updateEndpoint(n, EndpointPhase.READY, 0);
            fixture.updateEndpoint(n, EndpointPhase.REMOVED, 0);
        }
        fixture.updateEndpoint(inUse, EndpointPhase.REMOVED, 0);
        int known = fixture.balancer.knownEndpointCount();
        assertTrue(
            known <= EndpointTable.MAX_KNOWN_ENDPOINTS && known > EndpointTable.MAX_KNOWN_ENDPOINTS / 2,
            "known: " + known);
        assertEquals(fixture.endAttempt(1, 0, Outcome.SUCCEEDED).responses, List.of(),
            "an attempt in flight there ends as usual");
        assertEquals(fixture.balancer.adminStatus().listedEndpoints(), 3);
        assertTrue(fixture.targetOf(2, READ, KEY) != inUse);
    }

    /** Endpoint lists without a ready cache endpoint. */
    @DataProvider
    Object[][] unusableLists() {
        return new Object[][] {{List.of()}, {List.of(BalancerFixture.endpoint(0, EndpointPhase.DRAINING, 0))},
            {List.of(BalancerFixture.endpoint(0, EndpointPhase.REMOVED, 0))},
            {BalancerFixture.endpoints(0, true)}};
    }

    @Test(dataProvider = "unusableLists")
    public void rejectsWithoutWaitingWhereNoEndpointIsReady(List<Endpoint> entries) {
        BalancerFixture fixture = new BalancerFixture(true, DeduplicationScope.ALL);
        fixture.updateEndpoints(true, entries);
        for (RequestClassId requestClass : List.of(READ, NON_IDEMPOTENT)) {
            Decisions decisions = fixture.request(requestClass.value(), requestClass, KEY);
            boolean toOrigin = requestClass.equals(NON_IDEMPOTENT) && entries.size() == 1
                && entries.get(0).kind().equals(BalancerFixture.ORIGIN);
            assertEquals(decisions.attemptsToStart.size(), toOrigin ? 1 : 0);
            assertEquals(decisions.responses.size(), toOrigin ? 0 : 1);
        }
    }

    @Test
    public void respondsImmediatelyAfterTheDeadlineAndIgnoresLateEvents() {
        BalancerFixture fixture = BalancerFixture.of(4, false);
        assertEquals(fixture.request(1, READ, KEY, 1, 0).responses.size(), 1);
        fixture.endAttempt(1, 0, Outcome.SUCCEEDED);
        fixture.endAttempt(77, 3, Outcome.FAILED);
        fixture.disconnectClient(77);
        assertEquals(fixture.request(2, READ, KEY).attemptsToStart.size(), 1);
        fixture.disconnectClient(2);
        assertEquals(fixture.decisions.attemptsToCancel.size(), 1);
        Decisions decisions = fixture.endAttempt(2, 0, Outcome.CANCELLED);
        assertTrue(decisions.responses.isEmpty() && decisions.attemptsToStart.isEmpty());
    }

    /** Regression: a request near its deadline was queued and released in an endless loop. */
    @Test(timeOut = 20_000)
    public void endsWaitsBeforeTheDeadline() {
        BalancerFixture fixture = BalancerFixture.of(3, false);
        int started = 0;
        int ended = 0;
        for (long id = 0; id < 60; id++) {
            started += fixture.request(id, READ, KEY, 1, 12 * MS).attemptsToStart.size();
            ended += fixture.decisions.responses.size();
        }
        ended += fixture.advance(7).responses.size();
        assertTrue(ended > 0);
        assertEquals(started + ended, 60);
    }
}
