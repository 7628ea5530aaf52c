package spurroad.control.decide;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.Test;

/** Tests how the reports of several sources are merged. */
public class SourceViewsTest {
    private static EndpointState state(SourceViews views, String uid) {
        Endpoint endpoint = views.mergedEndpoints().get(uid);
        return endpoint == null ? EndpointState.GONE : endpoint.status().state();
    }

    @Test
    public void drainingReportedByOneSourceWinsWhileAnotherIsLost() {
        SourceViews views = new SourceViews();
        views.onFullList("discovery", List.of(Endpoints.active("n1"), Endpoints.active("n2")));
        views.onSourceLost("discovery");
        views.onChanges("nodes", List.of(Endpoints.endpoint("n1", 0, EndpointState.DRAINING)));
        assertEquals(state(views, "n1"), EndpointState.DRAINING);
        assertEquals(state(views, "n2"), EndpointState.ACTIVE);
    }

    @Test
    public void endpointOmittedFromFullListIsGoneUnlessSourceIsLost() {
        SourceViews views = new SourceViews();
        views.onFullList("a", List.of(Endpoints.active("n1")));
        views.onFullList("b", List.of(Endpoints.active("n1"), Endpoints.active("n2")));
        assertEquals(state(views, "n2"), EndpointState.GONE);
        views.onSourceLost("a");
        assertEquals(state(views, "n2"), EndpointState.ACTIVE,
            "omitted only by the lost source a");
        assertEquals(state(views, "n1"), EndpointState.ACTIVE);
    }

    @Test
    public void laterIncarnationIsActiveDespiteReportsOfEarlierOne() {
        SourceViews views = new SourceViews();
        views.onChanges("a", List.of(Endpoints.endpoint("n1", 100, EndpointState.GONE)));
        views.onChanges("b", List.of(Endpoints.endpoint("n1", 100, EndpointState.ACTIVE)));
        assertEquals(state(views, "n1"), EndpointState.GONE);
        views.onChanges("b", List.of(Endpoints.endpoint("n1", 200, EndpointState.ACTIVE)));
        assertEquals(state(views, "n1"), EndpointState.ACTIVE);
    }
}
