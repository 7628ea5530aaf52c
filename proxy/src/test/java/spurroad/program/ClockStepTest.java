package spurroad.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.configuration.ProxyConfiguration;
import spurroad.fixture.ScriptedPeers;
import spurroad.fixture.ScriptedPeers.Client;
import spurroad.fixture.ScriptedPeers.Peer;

/**
 * Cache nodes report their start by a wall clock that is stepped while the proxy runs. How cold a node is
 * depends on how long ago it can have started.
 */
public class ClockStepTest {
    private static final long HOUR_MILLIS = 3_600_000;
    private static final int REQUESTS = 300;
    private static final double START_CAPACITY = 0.1;

    @DataProvider
    Object[][] steps() {
        // reported start relative to now, warm-up time, pause before the requests (ms); its fraction of them
        return new Object[][] {{0, 600_000, 0, 0, 0.25}, {-HOUR_MILLIS, 600_000, 0, 0, 0.25},
            {-3_000, 2_000, 0, 0, 0.25}, {HOUR_MILLIS, 600_000, 0, 0, 0.25},
            {HOUR_MILLIS, 500, 1_000, 0.3, 0.7},
            {0, 500, 1_000, 0.3, 0.7}};
    }

    @Test(dataProvider = "steps")
    public void sendsReducedLoadToRestartedEndpointDuringWarmUp(long startOffsetMillis, long warmUpMillis,
                                                                long pauseMillis, double minFraction,
                                                                double maxFraction)
        throws Exception {
        try (Peer steady = new Peer(RunningProxy.hit("v"));
            Peer restarted = new Peer(RunningProxy.hit("v"));
            Peer discovery = new Peer(message -> RunningProxy.WATCH + ScriptedPeers.chunk("")
                + ScriptedPeers.chunk(
                    ScriptedPeers.list(2, true, ScriptedPeers.target("s-0", "m1", steady.port, "active", 0),
                        ScriptedPeers.target("s-1", "m1", restarted.port, "active", 0))))) {
            String settings = ScriptedPeers.start(discovery.port, 256,
                ScriptedPeers.list(1, true, ScriptedPeers.target("s-0", "m1", steady.port, "active", 0),
                    ScriptedPeers.target("s-1", "m1", restarted.port, "active", 0)));
            ProxyService service = RunningProxy
                .service(new ProxyConfiguration(settings.replace("\"tickUs\"",
                    "\"obligations\":{\"startCapacity\":" + START_CAPACITY + ",\"coldUs\":"
                        + warmUpMillis * 1_000
                        + "},\"tickUs\"")));
            try (Client client = new Client(service.port())) {
                sendReads(client, "before");
                discovery
                    .say(ScriptedPeers.chunk(ScriptedPeers.list(3, false,
                        ScriptedPeers.target("s-1", "m1", restarted.port, "active",
                            System.currentTimeMillis() + startOffsetMillis))));
                Thread.sleep(200 + pauseMillis); // until the proxy has applied the list
                restarted.received.clear();
                sendReads(client, "after");
            }
            double fraction = (double) restarted.received.stream().filter(m -> m.startsWith("mg")).count()
                / REQUESTS;
            assertTrue(fraction >= minFraction && fraction <= maxFraction,
                "fraction of the requests at the restarted node: " + fraction);
            RunningProxy.ending(service).join();
        }
    }

    private static void sendReads(Client client, String key) throws Exception {
        for (int i = 0; i < REQUESTS; i++) {
            String id = key + i;
            client.say("mg " + id + " v O" + id + " Pc=read,t=acme,d=9000\r\n");
            assertEquals(client.line(), "VA 1 O" + id);
            client.line();
        }
    }
}
