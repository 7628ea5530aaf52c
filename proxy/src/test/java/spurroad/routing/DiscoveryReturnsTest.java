package spurroad.routing;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.configuration.ProxyConfiguration;
import spurroad.fixture.ScriptedPeers;
import spurroad.routing.ScriptedDiscovery.Away;
import spurroad.transport.Clock;
import spurroad.transport.DescriptorBudget;
import spurroad.transport.EventLog;
import spurroad.transport.EventLoop;
import spurroad.transport.Threads;

/**
 * Measures on real connections how long it takes to receive the list after discovery was unavailable in each
 * of several ways and recovered. Each run has its own discovery; all runs take place at the same time.
 */
public class DiscoveryReturnsTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long MAX_DETECTION_MILLIS = 6000; // maximum time from the recovery to the list
    private static final int RUNS_PER_CASE = 3; // discovery recovers at a different time in each run
    private static final long OUTAGE_MILLIS = 7000;

    /** The settings of discovery. */
    private enum Settings {
        DEFAULT_POLL_INTERVAL("\"on_request\"", ""),
        POLL_INTERVAL_10_S("\"on_request\"", "\"obligations\":{\"askWithinUs\":10000000},"),
        POLL_INTERVAL_2_S("\"on_request\"", "\"obligations\":{\"askWithinUs\":2000000},"),
        POLL_INTERVAL_500_MS("\"on_request\"", "\"obligations\":{\"askWithinUs\":500000},"),
        PUSHED("\"pushed\"", "");

        private final String mode;
        private final String obligations;

        Settings(String mode, String obligations) {
            this.mode = mode;
            this.obligations = obligations;
        }

        private ProxyConfiguration start(int port) {
            return new ProxyConfiguration(ScriptedPeers.start(port, 256, ScriptedPeers.list(0, true))
                .replace("\"discovery\":\"on_request\"", obligations + "\"discovery\":" + mode));
        }
    }

    private static final EnumSet<Away> OUTAGES = EnumSet.complementOf(EnumSet.of(Away.NEVER));

    private final Map<Settings, Map<Away, List<ScriptedDiscovery>>> runs = new EnumMap<>(Settings.class);
    private EventLoop loop;

    @BeforeClass
    public void startRuns() throws Exception {
        EventLog log = new EventLog();
        Clock clock = new Clock();
        Threads threads = new Threads(log);
        loop = new EventLoop(log, clock);
        for (Settings settings : Settings.values()) {
            runs.put(settings, new EnumMap<>(Away.class));
            for (Away away : OUTAGES) {
                List<ScriptedDiscovery> discoveries = new ArrayList<>();
                for (int i = 0; i < RUNS_PER_CASE; i++) {
                    ScriptedDiscovery discovery = new ScriptedDiscovery(away, OUTAGE_MILLIS + i * 610L);
                    discoveries.add(discovery);
                    discovery.begin();
                    ProxyConfiguration start = settings.start(discovery.port);
                    LoadBalancerThread loadBalancer = new LoadBalancerThread(start, threads, loop, log, clock,
                        new DescriptorBudget(64),
                        SocketFactory.TCP, NANOS_PER_MILLI);
                    // the load balancer's thread does not run: later polls are the watch's own
                    new EndpointWatch(start, threads, loop, log, loadBalancer).poll();
                }
                runs.get(settings).put(away, discoveries);
            }
        }
        threads.start("loop", loop); // after all iteration-end callbacks are registered
    }

    @AfterClass
    public void close() throws IOException {
        loop.shutdown();
        for (Map<Away, List<ScriptedDiscovery>> runsOfSettings : runs.values()) {
            for (List<ScriptedDiscovery> discoveries : runsOfSettings.values()) {
                for (ScriptedDiscovery discovery : discoveries) {
                    discovery.close();
                }
            }
        }
    }

    @DataProvider
    Object[][] cases() {
        List<Object[]> cases = new ArrayList<>();
        for (Settings settings : Settings.values()) {
            for (Away away : OUTAGES) {
                cases.add(new Object[] {settings, away});
            }
        }
        return cases.toArray(Object[][]::new);
    }

    /** The list of a recovered discovery is received within the bound. */
    @Test(dataProvider = "cases")
    public void receivesListWithinDetectionBoundAfterOutage(Settings settings, Away away) throws Exception {
        long longestMillis = 0;
        for (ScriptedDiscovery discovery : runs.get(settings).get(away)) {
            longestMillis = Math.max(longestMillis, discovery.detectionMillis());
        }
        System.out.println(
            "list sent after discovery recovered, " + settings + ", " + away + ": " + longestMillis
                + " ms at most");
        assertTrue(longestMillis < MAX_DETECTION_MILLIS, longestMillis + " ms");
    }
}
