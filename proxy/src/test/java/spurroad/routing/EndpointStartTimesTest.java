package spurroad.routing;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.model.CellId;
import spurroad.model.Endpoint;
import spurroad.model.EndpointId;
import spurroad.model.EndpointKindId;
import spurroad.model.EndpointPhase;
import spurroad.model.ZoneId;

public class EndpointStartTimesTest {
    private static final long NOW = 1_000_000;

    private static Endpoint entry(long startedNs) {
        return new Endpoint(new EndpointId(7), new EndpointKindId(0), new ZoneId(0), new CellId(0), startedNs,
            1,
            EndpointPhase.READY);
    }

    @DataProvider
    Object[][] starts() {
        // as told, when discovery spoke before, in own time
        return new Object[][] {{0, 900_000, 0}, {950_000, 900_000, 950_000}, {20, 900_000, 900_000},
            {5_000_000, 900_000, NOW}, {20, EndpointStartTimes.NEVER, 20},
            {5_000_000, EndpointStartTimes.NEVER, NOW}};
    }

    @Test(dataProvider = "starts")
    public void aStartLiesBetweenTheLastWordWithoutItAndNow(long toldNs, long heardBeforeNs, long ownNs) {
        EndpointStartTimes starts = new EndpointStartTimes();
        assertEquals(starts.toLocalTime(entry(toldNs), heardBeforeNs, NOW), entry(ownNs));
        assertEquals(starts.toLocalTime(entry(toldNs), NOW, 2 * NOW), entry(ownNs), "told again");
        assertEquals(starts.toLocalTime(entry(toldNs + 1), NOW, 2 * NOW).startedAtNanos() >= NOW, true,
            "anew");
    }
}
