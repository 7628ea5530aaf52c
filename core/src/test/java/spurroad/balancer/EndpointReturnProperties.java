package spurroad.balancer;

import static org.testng.Assert.assertTrue;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import spurroad.balancer.EndpointReturnFixture.Change;
import spurroad.balancer.EndpointReturnFixture.Event;

/**
 * After any sequence of events, a healthy endpoint that discovery lists as ready and operators have not
 * drained gets requests again.
 *
 * <p>An ejected endpoint awaits one event, such as the reply to a load probe. Other events can prevent that
 * event from occurring: the endpoint drains, is removed, restarts or is drained by operators, the settings
 * change, or clients disconnect. The proxy then did not use the endpoint again until the proxy itself was
 * restarted (docs/incidents/ejected-endpoint-never-back.md).
 */
class EndpointReturnProperties {
    private static final int MAX_EVENTS = 25;
    private static final int MAX_PAUSE_MILLIS = 1_500;
    /**
     * The sum of the longest ejection (4 s), the timeout of a load probe that was in flight (0.1 s) with the
     * ejection that its failure prolongs (4 s), a check interval (0.05 s), and the warm-up of the fixture's
     * endpoints (8 s).
     */
    private static final int MAX_RETURN_MILLIS = 16_200;

    @Provide
    Arbitrary<List<Event>> events() {
        Arbitrary<Change> changes = Arbitraries.of(Change.class);
        Arbitrary<Integer> endpoints = Arbitraries.integers().between(0, EndpointReturnFixture.ENDPOINTS - 1);
        Arbitrary<Integer> pauses = Arbitraries.integers().between(0, MAX_PAUSE_MILLIS);
        return Combinators.combine(changes, endpoints, pauses).as(Event::new).list().ofMaxSize(MAX_EVENTS);
    }

    @Property(tries = 400, seed = "20261203")
    void recoveredEndpointsGetRequestsAgain(@ForAll("events") List<Event> events) {
        EndpointReturnFixture fixture = new EndpointReturnFixture();
        fixture.run(events);
        fixture.recoverAndListAll();
        List<Integer> unused = fixture.unusedAfter(MAX_RETURN_MILLIS);
        assertTrue(unused.isEmpty(), "endpoints without requests: " + unused + " after " + events);
    }
}
