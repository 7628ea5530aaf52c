package spurroad.balancer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static spurroad.balancer.BalancerFixture.MS;
import static spurroad.balancer.BalancerFixture.READ;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.model.Decisions;
import spurroad.model.DeduplicationScope;
import spurroad.model.Deployment;
import spurroad.model.EndpointId;
import spurroad.model.EndpointPhase;
import spurroad.model.Fleet;
import spurroad.model.Outcome;

/**
 * Tests the administrative state of endpoints together with their phase from discovery, and settings that
 * change while requests are pending.
 */
public class AdminDrainTest {
    private static final int ENDPOINTS = 4;

    /**
     * Phase from discovery, whether the endpoint is administratively drained, and whether it is expected to
     * be usable.
     */
    @DataProvider
    Object[][] phases() {
        return new Object[][] {{EndpointPhase.READY, false, true}, {EndpointPhase.READY, true, false},
            {EndpointPhase.DRAINING, false, false},
            {EndpointPhase.DRAINING, true, false}, {EndpointPhase.REMOVED, false, false},
            {EndpointPhase.REMOVED, true, false}};
    }

    @Test(dataProvider = "phases")
    public void appliesTheMoreRestrictiveState(EndpointPhase listed, boolean drained,
                                               boolean expectedUsable) {
        BalancerFixture fixture = BalancerFixture.of(1, false);
        fixture.setDrained(0, drained);
        fixture.updateEndpoint(0, listed, 0);
        assertEquals(fixture.targetOf(1, READ, 1), expectedUsable ? 0 : -1);
        assertEquals(fixture.decisions.responses.size(), expectedUsable ? 0 : 1, "rejected in the same call");
        assertEquals(fixture.balancer.adminStatus().listedEndpoints(),
            listed == EndpointPhase.REMOVED ? 0 : 1);
        assertEquals(fixture.balancer.adminStatus().unavailableAt(fixture.nowNanos),
            drained && listed != EndpointPhase.REMOVED ? 1 : 0);
    }

    /**
     * Applies random changes by discovery and operators, and expects that no attempt starts at an endpoint
     * that either of them has disabled.
     */
    @Test
    public void startsNoAttemptAtEndpointsDisabledByDiscoveryOrOperators() {
        for (long seed = 0; seed < 200; seed++) {
            Random random = new Random(seed);
            BalancerFixture fixture = BalancerFixture.of(ENDPOINTS, true);
            boolean[] drained = new boolean[ENDPOINTS];
            EndpointPhase[] listed = new EndpointPhase[ENDPOINTS];
            Arrays.fill(listed, EndpointPhase.READY);
            for (int step = 0; step < 60; step++) {
                int endpoint = random.nextInt(ENDPOINTS);
                Decisions decisions = switch (random.nextInt(4)) {
                    case 0 -> {
                        drained[endpoint] = random.nextBoolean();
                        yield fixture.setDrained(endpoint, drained[endpoint]);
                    }
                    case 1 -> {
                        listed[endpoint] = EndpointPhase.values()[random.nextInt(3)];
                        yield fixture.updateEndpoint(endpoint, listed[endpoint],
                            random.nextInt(2) * fixture.nowNanos);
                    }
                    case 2 -> fixture.advance(random.nextInt(100));
                    default -> fixture.request(1000 + step, READ, random.nextInt(50));
                };
                for (Decisions.StartAttempt start : List.copyOf(decisions.attemptsToStart)) {
                    int target = (int) start.endpoint().value();
                    assertTrue(target == 99 || (!drained[target] && listed[target] == EndpointPhase.READY),
                        "seed " + seed + ", endpoint " + target);
                    fixture.endAttempt(start.request().value(), 0, Outcome.SUCCEEDED);
                }
                for (EndpointId probed : decisions.loadProbes) {
                    assertTrue(probed.value() == 99 || !drained[(int) probed.value()],
                        "no load probe is sent to a drained endpoint");
                }
                assertEquals(
                    fixture.balancer.adminStatus().unavailableAt(fixture.nowNanos)
                        >= countDrainedAndListed(drained, listed),
                    true);
            }
        }
    }

    private static int countDrainedAndListed(boolean[] drained, EndpointPhase[] listed) {
        int count = 0;
        for (int i = 0; i < ENDPOINTS; i++) {
            count += drained[i] && listed[i] != EndpointPhase.REMOVED ? 1 : 0;
        }
        return count;
    }

    @Test
    public void keepsAnEndpointDrainedAcrossARestart() {
        BalancerFixture fixture = BalancerFixture.of(1, false);
        fixture.setDrained(0, true);
        fixture.updateEndpoints(true, List.of());
        fixture.updateEndpoints(true,
            List.of(BalancerFixture.endpoint(0, EndpointPhase.READY, fixture.nowNanos)));
        assertEquals(fixture.targetOf(1, READ, 1), -1);
    }

    /**
     * An endpoint that operators return to use is cold: it gets only a fraction of its requests, but its
     * first one within seconds, even if its own keys are rarely requested.
     */
    @Test
    public void sendsAReturnedEndpointReducedLoadButAFirstRequestWithinSeconds() {
        BalancerFixture fixture = BalancerFixture.of(ENDPOINTS, false);
        long key = 1;
        while (fixture.targetOf(key, READ, key) != 3) {
            fixture.endAttempt(key, 0, Outcome.SUCCEEDED);
            key++;
        }
        fixture.endAttempt(key, 0, Outcome.SUCCEEDED);
        // the previous key has another first candidate
        long otherKey = key - 1;
        fixture.setDrained(3, true);
        fixture.nowNanos += 10_000 * MS;
        fixture.setDrained(3, false);
        int sent = 0;
        for (int i = 0; i < 100; i++) { // all for a key of the endpoint, at the same time
            boolean isSentThere = fixture.targetOf(5000 + i, READ, key) == 3;
            sent += isSentThere ? 1 : 0;
            if (!fixture.decisions.attemptsToStart.isEmpty()) {
                fixture.endAttempt(5000 + i, 0, Outcome.SUCCEEDED);
            }
        }
        assertTrue(sent < 70, "requests sent to the cold endpoint: " + sent);
        fixture.setDrained(3, true);
        fixture.setDrained(3, false);
        assertTrue(isSentWithinFiveSeconds(fixture, 3, otherKey), "within 5 s");
    }

    /**
     * Phase of an endpoint between its return by operators and its first request, and whether it restarts.
     */
    @DataProvider
    Object[][] interruptions() {
        return new Object[][] {{EndpointPhase.DRAINING, false}, {EndpointPhase.REMOVED, false},
            {EndpointPhase.REMOVED, true}};
    }

    /**
     * An endpoint that operators returned gets its first request within seconds, even if discovery takes it
     * out of use for a moment or its process restarts meanwhile.
     *
     * <p>Guards against losing the wait for a first request when the endpoint is not ready for a moment.
     * Nothing starts the wait again, so with little traffic the endpoint stays unused as if operators had not
     * returned it.
     */
    @Test(dataProvider = "interruptions")
    public void sendsAReturnedEndpointAFirstRequestAfterItWasNotReady(EndpointPhase phase,
                                                                      boolean restarts) {
        BalancerFixture fixture = BalancerFixture.of(ENDPOINTS, false);
        long key = keyOfOtherEndpoint(fixture, 3);
        fixture.setDrained(3, true);
        fixture.nowNanos += 10_000 * MS;
        fixture.setDrained(3, false);
        fixture.updateEndpoint(3, phase, 0);
        fixture.advance(100);
        fixture.updateEndpoint(3, EndpointPhase.READY, restarts ? fixture.nowNanos : 0);
        assertTrue(isSentWithinFiveSeconds(fixture, 3, key), "within 5 s");
    }

    /**
     * Each proxy has its own time slot for a first request, so that a returned endpoint does not get one from
     * all proxies at once.
     */
    @Test
    public void keepsTheSlotOfAFirstRequestAcrossARestart() {
        Fleet fleet = new Fleet(null, 0, 1_000, false);
        BalancerFixture fixture = new BalancerFixture(false, DeduplicationScope.ALL, 7, fleet);
        fixture.updateEndpoints(true, BalancerFixture.endpoints(ENDPOINTS, false));
        long key = keyOfOtherEndpoint(fixture, 3);
        fixture.setDrained(3, true);
        fixture.nowNanos += 10_000 * MS;
        fixture.setDrained(3, false);
        fixture.advance(100);
        fixture.updateEndpoint(3, EndpointPhase.READY, fixture.nowNanos);
        assertFalse(isSentWithinFiveSeconds(fixture, 3, key),
            "the slots of 1,000 proxies are spread over 500 s");
    }

    private static long keyOfOtherEndpoint(BalancerFixture fixture, long endpoint) {
        long key = 1;
        while (fixture.targetOf(key, READ, key) == endpoint) {
            fixture.endAttempt(key, 0, Outcome.SUCCEEDED);
            key++;
        }
        fixture.endAttempt(key, 0, Outcome.SUCCEEDED);
        return key;
    }

    /** Sends one request per second for a key of another endpoint; returns whether the endpoint got one. */
    private static boolean isSentWithinFiveSeconds(BalancerFixture fixture, long endpoint, long key) {
        boolean wasSent = false;
        for (int i = 0; i < 5 && !wasSent; i++) {
            fixture.nowNanos += 1_000 * MS;
            wasSent = fixture.targetOf(5_000 + i, READ, key) == endpoint;
            fixture.endAttempt(5_000 + i, 0, Outcome.SUCCEEDED);
        }
        return wasSent;
    }

    @Test
    public void appliesANewAttemptLimitToPendingRequestsWithTheirOriginalClass() {
        BalancerFixture fixture = BalancerFixture.of(6, false);
        fixture.request(1, READ, 1);
        Deployment current = fixture.deployment;
        Deployment replacement = new Deployment(current.requestClasses().subList(2, 3),
            current.tenantQuotasPerSecond(),
            current.originKind(),
            current.pollsDiscovery(),
            current.loadProbesAllowed(), current.cancellationAllowed(), current.maxRetryAfterNanos(), 1,
            current.slowStartInitialFraction(), current.slowStartNanos(), current.clockTickNanos(),
            current.idleTimeoutNanos(),
            current.fleet());
        fixture.changeDeployment(replacement);
        fixture.endAttempt(1, 0, Outcome.FAILED);
        assertEquals(fixture.decisions.attemptsToStart.size(), 0, "only one attempt is allowed now");
        assertTrue(fixture.decisions.responses.get(0).rejected(),
            "the request keeps its own class, which is idempotent");
        fixture.request(2, READ, 2); // the first class of the new deployment is non-idempotent
        fixture.endAttempt(2, 0, Outcome.FAILED);
        assertEquals(fixture.decisions.responses.get(0).rejected(), false);
    }
}
