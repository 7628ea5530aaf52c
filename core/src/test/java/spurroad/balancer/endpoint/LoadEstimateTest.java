package spurroad.balancer.endpoint;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;
import spurroad.model.LoadReport;

public class LoadEstimateTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long START_NANOS = 50_000 * NANOS_PER_MILLI;

    private static LoadReport reportOf(double requests) {
        return new LoadReport(requests, Double.NaN);
    }

    @Test
    public void addsAttemptsStartedSinceTheReport() {
        LoadEstimate load = new LoadEstimate();
        load.onAttemptStart();
        load.onReport(reportOf(4), START_NANOS);
        load.onAttemptStart();
        load.onAttemptStart();
        assertEquals(load.queueLength(START_NANOS, 2), 6.0);
        assertEquals(load.source(START_NANOS), LoadSource.REPORTED);
    }

    @Test
    public void isNeverLowerThanTheAttemptsInFlight() {
        LoadEstimate load = new LoadEstimate();
        assertEquals(load.queueLength(START_NANOS, 3), 3.0);
        load.onReport(reportOf(0), START_NANOS);
        assertEquals(load.queueLength(START_NANOS, 3), 3.0);
        load.onReport(reportOf(-5), START_NANOS);
        assertEquals(load.queueLength(START_NANOS, 0), 0.0, "a negative queue length counts as zero");
    }

    @Test
    public void fallsBackToOwnAttemptsOnceTheReportIsOld() {
        LoadEstimate load = new LoadEstimate();
        load.onReport(reportOf(9), START_NANOS);
        assertTrue(load.isFresh(START_NANOS + 899 * NANOS_PER_MILLI));
        assertFalse(load.isFresh(START_NANOS + 900 * NANOS_PER_MILLI));
        assertEquals(load.queueLength(START_NANOS + 900 * NANOS_PER_MILLI, 2), 2.0);
        assertEquals(load.source(START_NANOS + 900 * NANOS_PER_MILLI), LoadSource.OWN_ATTEMPTS);
        assertTrue(load.hasReport());
    }

    @Test
    public void ignoresAReportWithoutQueueLength() {
        LoadEstimate load = new LoadEstimate();
        load.onReport(LoadReport.NONE, START_NANOS);
        assertFalse(load.isFresh(START_NANOS) || load.hasReport());
    }
}
