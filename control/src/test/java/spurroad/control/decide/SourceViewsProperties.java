package spurroad.control.decide;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Properties of the merged endpoints for arbitrary reports of the sources in any order. */
class SourceViewsProperties {
    /** A report of one source about one endpoint. */
    record Report(String source, Endpoint endpoint) {}

    @Provide
    Arbitrary<EndpointStatus> statuses() {
        return Combinators.combine(Arbitraries.longs().between(0, 3), Arbitraries.of(EndpointState.class))
            .as(EndpointStatus::new);
    }

    @Provide
    Arbitrary<List<Report>> reports() {
        return Combinators
            .combine(Arbitraries.of("a", "b", "c"), Arbitraries.of("n1", "n2", "n3", "n4"), statuses())
            .as((source, uid, s) -> new Report(source,
                Endpoints.endpoint(uid, s.startedAtMillis(), s.state())))
            .list().ofMaxSize(20);
    }

    @Property(seed = "1")
    void statusesFormJoinSemilattice(@ForAll("statuses") EndpointStatus a,
                                     @ForAll("statuses") EndpointStatus b,
                                     @ForAll("statuses") EndpointStatus c) {
        assertTrue(a.join(a).equals(a), "join is not idempotent");
        assertTrue(a.join(b).equals(b.join(a)), "join is not commutative");
        assertTrue(a.join(b).join(c).equals(a.join(b.join(c))), "join is not associative");
    }

    /** The order in which sources report does not affect the merged endpoints. */
    @Property(seed = "2", tries = 300)
    void orderOfSourcesDoesNotAffectMergedEndpoints(@ForAll("reports") List<Report> reports,
                                                    @ForAll Random random) {
        List<String> sources = new ArrayList<>(List.of("a", "b", "c"));
        SourceViews inOriginalOrder = views(reports, sources);
        Collections.shuffle(sources, random);
        assertTrue(inOriginalOrder.mergedEndpoints().equals(views(reports, sources).mergedEndpoints()),
            "in the order " + sources);
    }

    private static SourceViews views(List<Report> reports, List<String> sources) {
        SourceViews views = new SourceViews();
        for (String source : sources) {
            reports.stream().filter(s -> s.source.equals(source))
                .forEach(s -> views.onChanges(source, List.of(s.endpoint)));
        }
        return views;
    }

    /**
     * A merged endpoint is never in a less restrictive state than any source, live or lost, reports for its
     * latest incarnation.
     */
    @Property(seed = "3", tries = 300)
    void moreRestrictiveStateWins(@ForAll("reports") List<Report> reports, @ForAll boolean isSourceLost) {
        SourceViews views = views(reports, List.of("a", "b", "c"));
        if (isSourceLost) {
            views.onSourceLost("b");
        }
        for (Endpoint merged : views.mergedEndpoints().values()) {
            for (String source : List.of("a", "b", "c")) {
                // the latest report of the source about the endpoint
                reports.stream().filter(s -> s.source.equals(source) && s.endpoint.uid().equals(merged.uid()))
                    .reduce((x, y) -> y).map(s -> s.endpoint.status()).ifPresent(s -> assertTrue(
                        s.startedAtMillis() < merged.status().startedAtMillis()
                            || (s.startedAtMillis() == merged.status().startedAtMillis()
                                && s.state().compareTo(merged.status().state()) <= 0),
                        merged + " though " + source + " reported " + s));
            }
        }
    }
}
