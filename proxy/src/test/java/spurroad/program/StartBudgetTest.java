package spurroad.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.configuration.ProxyConfiguration;
import spurroad.fixture.ScriptedPeers;
import spurroad.fixture.ScriptedPeers.Client;
import spurroad.fixture.ScriptedPeers.Peer;
import spurroad.transport.Clock;
import spurroad.transport.EventLog;
import spurroad.transport.Threads;

/** A start on a fraction of a core with silent discovery ends in time. */
public class StartBudgetTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Elapsed time, and the time then left for the warm-up and for the first list; all in milliseconds. */
    @DataProvider
    Object[][] budgets() {
        return new Object[][] {{0, 3000, 3000}, {800, 2200, 3000}, {1500, 1500, 2500}, {2900, 500, 1100},
            {3600, 500, 500}, {60_000, 500, 500}};
    }

    @Test(dataProvider = "budgets")
    public void slowStartLeavesLessTimeForWarmUpAndFirstList(long elapsedMillis, long warmUpMillis,
                                                             long firstListMillis) {
        AtomicLong now = new AtomicLong(Long.MAX_VALUE - NANOS_PER_MILLI); // a nanoTime clock may overflow
        StartBudget budget = new StartBudget(now::get);
        now.addAndGet(elapsedMillis * NANOS_PER_MILLI);
        assertEquals(budget.warmUpMillis(), warmUpMillis);
        assertEquals(budget.firstListNanos(), firstListMillis * NANOS_PER_MILLI);
    }

    /**
     * Guards against a slow start: a wait of 3 s for the first list after up to 4 s of warm-up took 8.8 s in
     * all on a tenth of a core.
     */
    @Test(timeOut = 30_000)
    public void slowStartWaitsOnlyShortlyForSilentDiscovery() throws Exception {
        CountDownLatch neverOpened = new CountDownLatch(1);
        AtomicLong elapsedNanos = new AtomicLong();
        StartBudget budget = new StartBudget(() -> System.nanoTime() + elapsedNanos.get());
        elapsedNanos.set(3_600 * NANOS_PER_MILLI);
        try (Peer node = new Peer(RunningProxy.hit("v"));
            Peer silent = new Peer(m -> blockUntil(neverOpened))) {
            EventLog log = new EventLog();
            String start = ScriptedPeers.start(silent.port, 256,
                ScriptedPeers.list(1, true, ScriptedPeers.target("s-1", "m1", node.port, "active", 0)));
            long startNanos = System.nanoTime();
            ProxyService service = new ProxyService(
                new ProxyConfiguration(start.replace("on_request", "pushed")),
                new Threads(log),
                log,
                new Clock(), null, budget);
            try (Client c = new Client(service.port())) {
                assertEquals(c.say("mn\r\n").line(), "MN");
            }
            long elapsedMillisToServe = (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
            assertTrue(elapsedMillisToServe >= 500 && elapsedMillisToServe < 2_500,
                "served after " + elapsedMillisToServe + " ms");
            assertNotNull(silent.await("GET"));
        }
        neverOpened.countDown();
    }

    private static String blockUntil(CountDownLatch release) {
        try {
            release.await();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
        return null;
    }
}
