package spurroad.balancer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;
import static spurroad.balancer.BalancerFixture.DEDUPLICATED;
import static spurroad.balancer.BalancerFixture.MS;
import static spurroad.balancer.BalancerFixture.NON_IDEMPOTENT;
import static spurroad.balancer.BalancerFixture.READ;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;
import spurroad.model.AdminStatus;
import spurroad.model.AdminStatus.AwaitedEvent;
import spurroad.model.AdminStatus.RestrictedEndpoint;
import spurroad.model.Decisions;
import spurroad.model.EndpointPhase;
import spurroad.model.Fleet;
import spurroad.model.Outcome;

/** Which endpoints are ejected, and how they return. */
public class OutlierDetectorTest {
    private static final long KEY = 42;

    /**
     * An endpoint accepts requests without any reply: attempts that may run twice are cancelled, others are
     * not.
     */
    @Test
    public void ejectsAnUnresponsiveEndpointAndReturnsItByTrial() {
        BalancerFixture fixture = BalancerFixture.of(5, false);
        long unresponsive = fixture.targetOf(1, READ, KEY);
        fixture.request(2, DEDUPLICATED, KEY);
        fixture.request(3, NON_IDEMPOTENT, KEY);
        List<Decisions.CancelAttempt> cancelled = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            cancelled.addAll(fixture.advance(50).attemptsToCancel);
            if (fixture.decisions.loadProbes.size() > 0) {
                fixture.endLoadProbe(unresponsive, Outcome.TIMED_OUT, Double.NaN);
            }
        }
        assertEquals(cancelled.stream().map(s -> s.request().value()).sorted().toList(), List.of(1L, 2L));
        assertNotEquals(fixture.endAttempt(1, 0, Outcome.CANCELLED).attemptsToStart.get(0).endpoint().value(),
            unresponsive);
        fixture.endAttempt(2, 0, Outcome.CANCELLED);
        assertFalse(fixture.endAttempt(3, 0, Outcome.TIMED_OUT).responses.get(0).rejected());
        assertNotEquals(fixture.targetOf(4, READ, KEY), unresponsive);
        fixture.advance(4000);
        fixture.endLoadProbe(unresponsive, Outcome.SUCCEEDED, 0);
        assertEquals(fixture.targetOf(5, READ, KEY), unresponsive);
        assertNotEquals(fixture.targetOf(6, READ, KEY), unresponsive);
        fixture.endAttempt(5, 0, Outcome.SUCCEEDED);
        assertEquals(fixture.targetOf(7, READ, KEY), unresponsive);
        assertEquals(fixture.targetOf(8, READ, KEY), unresponsive);
    }

    /** Regression: long misses counted as missing replies, and healthy attempts were cancelled. */
    @Test
    public void doesNotCancelAttemptsThatUsuallyTakeLong() {
        BalancerFixture fixture = BalancerFixture.of(5, false);
        for (long id = 1; id <= 40; id++) {
            fixture.request(id, READ, id);
            fixture.nowNanos += 400 * MS;
            fixture.endAttempt(id, 0, Outcome.SUCCEEDED, true);
        }
        fixture.request(50, READ, KEY);
        fixture.request(51, READ, KEY);
        for (int i = 0; i < 14; i++) {
            assertTrue(fixture.advance(50).attemptsToCancel.isEmpty());
        }
    }

    @Test
    public void probesAnEjectedEndpoint() {
        BalancerFixture fixture = BalancerFixture.of(5, false);
        long failing = eject(fixture);
        assertTrue(probedWithinSeconds(fixture, 10).contains(failing));
    }

    /**
     * Draining for a while under one start time must not end the wait for the load probe.
     *
     * <p>An endpoint was ejected, then listed as draining for 0.1 s and as ready again. No load probe went
     * there in the next 10 s, and without one its trial never began: the proxy was without the endpoint until
     * its restart. The check stops watching an idle endpoint that is not ready, and only an attempt or
     * another ejection watched it again, neither of which an ejected endpoint gets. That is the cause: {@code
     * probesAnEjectedEndpoint}, the same without the drain, has always passed.
     */
    @Test
    public void probesAnEjectedEndpointThatDrainedMeanwhile() {
        BalancerFixture fixture = BalancerFixture.of(5, false);
        long failing = eject(fixture);
        fixture.updateEndpoint(failing, EndpointPhase.DRAINING, 0);
        fixture.advance(100);
        fixture.updateEndpoint(failing, EndpointPhase.READY, 0);
        assertTrue(probedWithinSeconds(fixture, 10).contains(failing), "never probed, so never back");
    }

    /**
     * A reload that forbids load probes must not leave an ejected endpoint waiting for one.
     *
     * <p>Whether a trial waits for a probe was decided once, at the ejection. After the reload nobody sent
     * the probe, and the endpoint was not used again in 60 s of requests.
     */
    @Test
    public void returnsAnEjectedEndpointAfterAReloadThatForbidsLoadProbes() {
        BalancerFixture fixture = BalancerFixture.of(5, false);
        long failing = eject(fixture);
        fixture.changeDeployment(BalancerFixture.withLoadProbes(fixture.deployment, false));
        assertTrue(isUsedWithinSeconds(fixture, failing, 10), "never back");
    }

    /**
     * With gossip the detector is off, and so is an ejection from before.
     *
     * <p>The detector is not told how attempts end where there is gossip, and no load probe is sent. An
     * endpoint that was ejected before gossip was switched on got its one trial request at most.
     */
    @Test
    public void usesAnEjectedEndpointOnceGossipIsSwitchedOn() {
        BalancerFixture fixture = BalancerFixture.of(5, false);
        long failing = eject(fixture);
        fixture.changeDeployment(fixture.deployment.withFleet(new Fleet(null, 0, 1, true)));
        for (int i = 0; i < 3; i++) {
            assertTrue(isUsedWithinSeconds(fixture, failing, 10), "request " + i);
        }
    }

    /**
     * A trial request whose client leaves must not use up the trial.
     *
     * <p>A trial begins with one request. Where its client left, the attempt was cancelled and its end said
     * nothing of the endpoint, so that it was passed to nobody: no request was left for the trial and none in
     * flight that could have gone on with it. The endpoint was not used again.
     */
    @Test
    public void returnsAnEjectedEndpointWhoseTrialRequestWasCancelled() {
        BalancerFixture fixture = BalancerFixture.of(5, false);
        long failing = eject(fixture);
        fixture.advance(1_000);
        fixture.endLoadProbe(failing, Outcome.SUCCEEDED, 0);
        assertEquals(fixture.targetOf(100, READ, KEY), failing, "the trial request");
        fixture.disconnectClient(100);
        fixture.endAttempt(100, 0, Outcome.CANCELLED);
        assertTrue(isUsedWithinSeconds(fixture, failing, 10), "never back");
    }

    /**
     * A former incarnation is watched by nobody.
     *
     * <p>An attempt that ends after its endpoint has started anew may eject the state of the former
     * incarnation. That still counted as ready and waited for a probe whose reply goes to the new one: it was
     * checked each 50 ms for as long as the proxy ran.
     */
    @Test
    public void doesNotWatchAFormerIncarnation() {
        BalancerFixture fixture = BalancerFixture.of(5, false);
        long replaced = fixture.targetOf(1, READ, KEY);
        for (long id = 2; id < 10; id++) {
            fixture.request(id, READ, KEY);
        }
        fixture.updateEndpoint(replaced, EndpointPhase.READY, fixture.nowNanos);
        for (long id = 1; id < 10; id++) {
            fixture.endAttempt(id, 0, Outcome.FAILED);
            fixture.endAttempt(id, 1, Outcome.SUCCEEDED);
        }
        fixture.advance(10_000);
        fixture.advance(10_000);
        assertTrue(fixture.decisions.wakeAtNanos > fixture.nowNanos + 1_000 * MS, "still checked");
    }

    /** Staff can tell what an ejected endpoint waits for, and one that waits for a probe is not in use. */
    @Test
    public void tellsWhatAnEjectedEndpointWaitsFor() {
        BalancerFixture fixture = BalancerFixture.of(5, false);
        long failing = eject(fixture);
        assertAwaits(fixture, AwaitedEvent.EJECTION_END, 1);
        fixture.advance(1_000);
        assertAwaits(fixture, AwaitedEvent.LOAD_PROBE_REPLY, 1);
        fixture.endLoadProbe(failing, Outcome.SUCCEEDED, 0);
        assertAwaits(fixture, AwaitedEvent.TRIAL_SUCCESS, 0);
        assertTrue(isUsedWithinSeconds(fixture, failing, 1));
        fixture.setDrained(failing, true);
        assertAwaits(fixture, AwaitedEvent.RETURN_BY_OPERATOR, 1);
    }

    private static void assertAwaits(BalancerFixture fixture, AwaitedEvent event, int unavailable) {
        AdminStatus status = fixture.balancer.adminStatus();
        assertEquals(status.restricted().stream().map(RestrictedEndpoint::awaits).toList(), List.of(event));
        assertEquals(status.awaiting(event), 1);
        assertEquals(status.unavailableAt(fixture.nowNanos), unavailable, "unavailable");
    }

    /** Sends a successful request each 50 ms; returns whether the endpoint got one. */
    private static boolean isUsedWithinSeconds(BalancerFixture fixture, long endpoint, int seconds) {
        for (int i = 0; i < 20 * seconds; i++) {
            fixture.advance(50);
            long id = 1_000 + i;
            long target = fixture.targetOf(id, READ, KEY);
            fixture.endAttempt(id, 0, Outcome.SUCCEEDED);
            if (target == endpoint) {
                return true;
            }
        }
        return false;
    }

    private static Set<Long> probedWithinSeconds(BalancerFixture fixture, int seconds) {
        Set<Long> probed = new HashSet<>();
        for (int i = 0; i < 20 * seconds; i++) {
            fixture.advance(50).loadProbes.forEach(endpoint -> probed.add(endpoint.value()));
        }
        return probed;
    }

    /** Fails attempts at an endpoint until its keys are sent elsewhere; returns the endpoint. */
    private static long eject(BalancerFixture fixture) {
        long failing = fixture.targetOf(1, READ, KEY);
        for (long id = 1; id < 10; id++) {
            fixture.endAttempt(id, 0, Outcome.FAILED);
            fixture.endAttempt(id, 1, Outcome.SUCCEEDED);
            if (fixture.targetOf(id + 1, READ, KEY) != failing) {
                fixture.endAttempt(id + 1, 0, Outcome.SUCCEEDED);
                return failing;
            }
        }
        throw new AssertionError("never ejected: " + failing);
    }
}
