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

/** Tests which endpoints are ejected, and how they return to use. */
public class OutlierDetectorTest {
    private static final long KEY = 42;

    /**
     * If an endpoint accepts requests without any reply, attempts that may run twice are cancelled and sent
     * elsewhere; others are not.
     */
    @Test
    public void ejectsAnUnresponsiveEndpointAndReturnsItThroughATrial() {
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
        assertEquals(cancelled.stream().map(cancel -> cancel.request().value()).sorted().toList(),
            List.of(1L, 2L));
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

    /** Regression: long cache misses counted as missing replies, and healthy attempts were cancelled. */
    @Test
    public void doesNotCancelAttemptsIfLongResponseTimesAreUsual() {
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
     * An ejected endpoint that is listed as draining for a while, without a restart, must still get its load
     * probe.
     *
     * <p>Guards against the following failure: an ejected endpoint is listed as draining for 0.1 s and then
     * as ready again, and no load probe is sent in the next 10 s. Without a probe its trial never begins, so
     * the proxy does not use the endpoint again until the proxy restarts. The cause is that the check stops
     * watching an idle endpoint that is not ready, while only an attempt or another ejection starts watching
     * again, and an ejected endpoint gets neither. The drain makes the difference: {@code
     * probesAnEjectedEndpoint} has the same steps without the drain.
     */
    @Test
    public void probesAnEjectedEndpointAfterItDrained() {
        BalancerFixture fixture = BalancerFixture.of(5, false);
        long failing = eject(fixture);
        fixture.updateEndpoint(failing, EndpointPhase.DRAINING, 0);
        fixture.advance(100);
        fixture.updateEndpoint(failing, EndpointPhase.READY, 0);
        assertTrue(probedWithinSeconds(fixture, 10).contains(failing),
            "no load probe was sent, so the trial cannot begin");
    }

    /**
     * A reload that disables load probes must not leave an ejected endpoint waiting for one.
     *
     * <p>Guards against deciding only once, at the ejection, whether a trial awaits a load probe. After the
     * reload no probe is sent, and the endpoint was not used again in 60 s of requests.
     */
    @Test
    public void returnsAnEjectedEndpointAfterAReloadDisablesLoadProbes() {
        BalancerFixture fixture = BalancerFixture.of(5, false);
        long failing = eject(fixture);
        fixture.changeDeployment(BalancerFixture.withLoadProbes(fixture.deployment, false));
        assertTrue(isUsedWithinSeconds(fixture, failing, 10), "the endpoint is not used again");
    }

    /**
     * With gossip the detector is disabled, and so is an ejection from before gossip was enabled.
     *
     * <p>With gossip the detector is not notified how attempts end, and no load probes are sent. An endpoint
     * that was ejected before gossip was enabled would get at most its one trial request.
     */
    @Test
    public void usesAnEjectedEndpointAfterGossipIsEnabled() {
        BalancerFixture fixture = BalancerFixture.of(5, false);
        long failing = eject(fixture);
        fixture.changeDeployment(fixture.deployment.withFleet(new Fleet(null, 0, 1, true)));
        for (int i = 0; i < 3; i++) {
            assertTrue(isUsedWithinSeconds(fixture, failing, 10), "request " + i);
        }
    }

    /**
     * A trial request whose client disconnects must not use up the trial.
     *
     * <p>A trial begins with one request. If its client disconnects, the attempt is cancelled, and its end
     * says nothing about the endpoint. Guards against ignoring such an end: the trial then has neither a
     * request left nor an attempt in flight that could continue it, and the endpoint is not used again.
     */
    @Test
    public void returnsAnEjectedEndpointWhoseTrialRequestWasCancelled() {
        BalancerFixture fixture = BalancerFixture.of(5, false);
        long failing = eject(fixture);
        fixture.advance(1_000);
        fixture.endLoadProbe(failing, Outcome.SUCCEEDED, 0);
        assertEquals(fixture.targetOf(100, READ, KEY), failing,
            "the trial request goes to the ejected endpoint");
        fixture.disconnectClient(100);
        fixture.endAttempt(100, 0, Outcome.CANCELLED);
        assertTrue(isUsedWithinSeconds(fixture, failing, 10), "the endpoint is not used again");
    }

    /**
     * The state of a previous incarnation must not be watched.
     *
     * <p>An attempt that ends after its endpoint has restarted may eject the state of the previous
     * incarnation. Guards against that state counting as ready and awaiting a load probe whose reply goes to
     * the new incarnation: the detector would check it every 50 ms for as long as the proxy runs.
     */
    @Test
    public void stopsWatchingAReplacedIncarnation() {
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
        assertTrue(fixture.decisions.wakeAtNanos > fixture.nowNanos + 1_000 * MS,
            "the previous incarnation is still checked");
    }

    /**
     * Operators see what an ejected endpoint awaits, and an endpoint that awaits a load probe counts as
     * unavailable.
     */
    @Test
    public void reportsWhatAnEjectedEndpointAwaits() {
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

    private static void assertAwaits(BalancerFixture fixture, AwaitedEvent expectedEvent,
                                     int expectedUnavailable) {
        AdminStatus status = fixture.balancer.adminStatus();
        assertEquals(status.restricted().stream().map(RestrictedEndpoint::awaits).toList(),
            List.of(expectedEvent));
        assertEquals(status.awaiting(expectedEvent), 1);
        assertEquals(status.unavailableAt(fixture.nowNanos), expectedUnavailable, "unavailable");
    }

    /**
     * Sends a request that succeeds every 50 ms; returns whether the endpoint got one within the given time.
     */
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

    /** Fails attempts at an endpoint until its key is sent elsewhere; returns the endpoint. */
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
        throw new AssertionError("endpoint was not ejected after nine failed attempts: " + failing);
    }
}
