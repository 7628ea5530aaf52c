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

/** Tests invariants of the load balancer as a whole. */
public class LoadBalancerTest {
    private static final long KEY = 42;

    /**
     * Regression: each release adds endpoints with new ids, and removed endpoints were retained for the
     * lifetime of the proxy.
     */
    @Test
    public void forgetsRemovedEndpointsBeyondLimit() throws Exception {
        BalancerFixture fixture = BalancerFixture.of(4, true);
        long endpointInUse = fixture.targetOf(1, READ, KEY);
        for (long id = 100; id < 3 * EndpointTable.MAX_KNOWN_ENDPOINTS; id++) {
            fixture.updateEndpoint(id, EndpointPhase.READY, 0);
            fixture.updateEndpoint(id, EndpointPhase.REMOVED, 0);
        }
        fixture.updateEndpoint(endpointInUse, EndpointPhase.REMOVED, 0);
        int knownCount = fixture.balancer.knownEndpointCount();
        assertTrue(
            knownCount <= EndpointTable.MAX_KNOWN_ENDPOINTS
                && knownCount > EndpointTable.MAX_KNOWN_ENDPOINTS / 2,
            "known endpoints: " + knownCount);
        assertEquals(fixture.endAttempt(1, 0, Outcome.SUCCEEDED).responses, List.of(),
            "an attempt in flight at the removed endpoint ends as usual");
        assertEquals(fixture.balancer.adminStatus().listedEndpoints(), 3);
        assertTrue(fixture.targetOf(2, READ, KEY) != endpointInUse);
    }

    /** Endpoint lists without a ready cache endpoint. */
    @DataProvider
    Object[][] unusableLists() {
        return new Object[][] {{List.of()}, {List.of(BalancerFixture.endpoint(0, EndpointPhase.DRAINING, 0))},
            {List.of(BalancerFixture.endpoint(0, EndpointPhase.REMOVED, 0))},
            {BalancerFixture.endpoints(0, true)}};
    }

    @Test(dataProvider = "unusableLists")
    public void respondsImmediatelyIfNoCacheEndpointIsReady(List<Endpoint> endpoints) {
        BalancerFixture fixture = new BalancerFixture(true, DeduplicationScope.ALL);
        fixture.updateEndpoints(true, endpoints);
        for (RequestClassId requestClass : List.of(READ, NON_IDEMPOTENT)) {
            Decisions decisions = fixture.request(requestClass.value(), requestClass, KEY);
            boolean toOrigin = requestClass.equals(NON_IDEMPOTENT) && endpoints.size() == 1
                && endpoints.get(0).kind().equals(BalancerFixture.ORIGIN);
            assertEquals(decisions.attemptsToStart.size(), toOrigin ? 1 : 0);
            assertEquals(decisions.responses.size(), toOrigin ? 0 : 1);
        }
    }

    @Test
    public void respondsImmediatelyAfterDeadlineAndIgnoresLateEvents() {
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
    public void endsWaitsBeforeDeadline() {
        BalancerFixture fixture = BalancerFixture.of(3, false);
        int startedCount = 0;
        int endedCount = 0;
        for (long id = 0; id < 60; id++) {
            startedCount += fixture.request(id, READ, KEY, 1, 12 * MS).attemptsToStart.size();
            endedCount += fixture.decisions.responses.size();
        }
        endedCount += fixture.advance(7).responses.size();
        assertTrue(endedCount > 0);
        assertEquals(startedCount + endedCount, 60);
    }
}
