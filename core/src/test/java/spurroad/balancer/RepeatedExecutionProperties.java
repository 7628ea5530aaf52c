package spurroad.balancer;

import static org.testng.Assert.assertTrue;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.lifecycle.AfterContainer;
import spurroad.balancer.RepeatedExecutionFixture.Event;
import spurroad.balancer.RepeatedExecutionFixture.Kind;
import spurroad.model.DeduplicationScope;
import spurroad.model.EndpointPhase;
import spurroad.model.Outcome;

/**
 * In any order of events, at cache nodes, cold and draining ones and the origin, a request is executed again,
 * and rejected, only as its class allows.
 *
 * <p>Guards against an effect that runs twice (docs/incidents/an-effect-that-runs-twice.md).
 */
class RepeatedExecutionProperties {
    private static final int MAX_EVENTS = 60;
    private static final int MAX_PAUSE_MILLIS = 250; // several fit into the deduplication window
    private static final int MIN_REPEATS = 100; // in all tries: the events do lead to repeats

    private static int repeats;

    @Provide
    Arbitrary<List<Event>> events() {
        // an attempt has to end for each request that arrives, or none would be retried
        Arbitrary<Kind> kinds = Arbitraries.frequencyOf(
            Tuple.of(1, Arbitraries.of(Kind.class)),
            Tuple.of(1, Arbitraries.just(Kind.ATTEMPT_ENDS)));
        Arbitrary<Integer> choices = Arbitraries.integers().between(0, 1_000);
        Arbitrary<Outcome> outcomes = Arbitraries.of(Outcome.class);
        Arbitrary<EndpointPhase> phases = Arbitraries.of(EndpointPhase.class);
        Arbitrary<Integer> pauses = Arbitraries.integers().between(0, MAX_PAUSE_MILLIS);
        return Combinators.combine(kinds, choices, outcomes, phases, pauses).as(Event::new).list()
            .ofMaxSize(MAX_EVENTS);
    }

    @Property(tries = 600, seed = "20261204", edgeCases = EdgeCasesMode.NONE)
    void repeatsOnlyWhatTheClassAllows(@ForAll("events") List<Event> events,
                                       @ForAll DeduplicationScope scope, @ForAll boolean withOrigin) {
        RepeatedExecutionFixture fixture = new RepeatedExecutionFixture(scope, withOrigin);
        fixture.run(events);
        repeats += fixture.repeats();
    }

    @AfterContainer
    static void repeatsHappen() {
        assertTrue(repeats >= MIN_REPEATS, "repeats in all tries: " + repeats);
    }
}
