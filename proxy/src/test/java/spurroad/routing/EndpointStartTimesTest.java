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
    private static final long NOW_NANOS = 1_000_000;

    private static Endpoint endpoint(long startedNanos) {
        return new Endpoint(new EndpointId(7), new EndpointKindId(0), new ZoneId(0), new CellId(0),
            startedNanos,
            1,
            EndpointPhase.READY);
    }

    @DataProvider
    Object[][] starts() {
        // listed start time, time of discovery's previous line, expected start time by the process's clock
        return new Object[][] {{0, 900_000, 0}, {950_000, 900_000, 950_000}, {20, 900_000, 900_000},
            {5_000_000, 900_000, NOW_NANOS}, {20, EndpointStartTimes.NEVER, 20},
            {5_000_000, EndpointStartTimes.NEVER, NOW_NANOS}};
    }

    @Test(dataProvider = "starts")
    public void startTimeLiesBetweenPreviousContactAndNow(long listedNanos, long previousContactNanos,
                                                          long localNanos) {
        EndpointStartTimes starts = new EndpointStartTimes();
        assertEquals(starts.toLocalTime(endpoint(listedNanos), previousContactNanos, NOW_NANOS),
            endpoint(localNanos));
        assertEquals(starts.toLocalTime(endpoint(listedNanos), NOW_NANOS, 2 * NOW_NANOS),
            endpoint(localNanos), "listed again");
        assertEquals(
            starts.toLocalTime(endpoint(listedNanos + 1), NOW_NANOS, 2 * NOW_NANOS).startedAtNanos()
                >= NOW_NANOS,
            true,
            "started again");
    }
}
