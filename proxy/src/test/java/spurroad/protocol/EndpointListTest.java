package spurroad.protocol;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.fixture.ScriptedPeers;
import spurroad.model.EndpointPhase;

/** Reading and rejection of endpoint lists in the format of the scripted discovery server. */
public class EndpointListTest {
    @Test
    public void keepsEndpointIdAcrossAddresses() throws IOException {
        EndpointList.EndpointNames names = new EndpointList.EndpointNames(List.of("m1", "origin"),
            List.of("a"), true);
        EndpointList initial = EndpointList
            .read(
                Json.read(ScriptedPeers.list(41, true, ScriptedPeers.target("s-1", "origin", 80, "active", 5),
                    ScriptedPeers.target("s-2", "m9", 81, "leaving", 0))),
                names);
        EndpointList update = EndpointList
            .read(
                Json.read(
                    ScriptedPeers.list(42, false, ScriptedPeers.target("s-1", "origin", 99, "left", 5))),
                names);
        assertEquals(List.of(initial.revision(), initial.isComplete(), update.isComplete()),
            List.of(41L, true, false));
        var first = initial.endpoints().get(0);
        assertEquals(first.endpoint().id(), update.endpoints().get(0).endpoint().id());
        assertEquals(
            List.of(first.endpoint().kind().value(), first.endpoint().startedAtNanos(),
                first.address().getPort()),
            List.of(1, 5_000_000L, 80));
        assertEquals(List.of(first.endpoint().phase(), initial.endpoints().get(1).endpoint().phase(),
            update.endpoints().get(0).endpoint().phase()),
            List.of(EndpointPhase.READY, EndpointPhase.DRAINING, EndpointPhase.REMOVED));
        assertTrue(initial.endpoints().get(1).endpoint().kind().value() > 1,
            "a kind that is not in the settings");
    }

    @DataProvider
    Object[][] unusableLists() {
        String valid = ScriptedPeers.list(1, true, ScriptedPeers.target("s", "m", 1, "active", 0));
        return new Object[][] {{"[]"}, {"{\"rev\":1}"}, {"{\"targets\":[1]}"}, {valid.replace("uid", "x")},
            {valid.replace("127.0.0.1:1", "name:1")},
            {valid.replace("127.0.0.1:1", "127.0.0.256:1")},
            {valid.replace(":1\"", ":99999\"")}, {valid.replace("az", "x")},
            {valid.replace("1.0", "\"1\"")}};
    }

    @Test(dataProvider = "unusableLists")
    public void rejectsUnusableList(String list) throws IOException {
        Object json = Json.read(list);
        assertThrows(ProtocolException.class,
            () -> EndpointList.read(json, new EndpointList.EndpointNames(List.of(), List.of(), false)));
    }
}
