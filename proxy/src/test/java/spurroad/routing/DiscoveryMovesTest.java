package spurroad.routing;

import static org.testng.Assert.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
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
 * A reload that moves discovery, followed by a change at once: what only the new address tells is known in
 * time.
 */
public class DiscoveryMovesTest {
    private static final long MS = 1_000_000L;
    private static final long RETURNS_AFTER_MS = 700;
    private static final long MOST_MS = 4000; // from then on what comes after a reload counts as told

    /**
     * Whether lists are pushed, and how the new address is away at first; all but where it hangs it is soon
     * there.
     */
    @DataProvider
    Object[][] moves() {
        return new Object[][] {{false, Away.NEVER}, {false, Away.REFUSES}, {false, Away.RESETS},
            {false, Away.ANSWERS_503},
            {false, Away.HANGS}, {true, Away.NEVER}, {true, Away.REFUSES}, {true, Away.RESETS},
            {true, Away.ANSWERS_503},
            {true, Away.HANGS}};
    }

    @Test(dataProvider = "moves")
    public void whatTheNewAddressTellsIsKnownInTime(boolean pushed, Away away) throws Exception {
        EventLog log = new EventLog();
        Clock clock = new Clock();
        Threads threads = new Threads(log);
        EventLoop loop = new EventLoop(log, clock);
        try (ScriptedDiscovery former = new ScriptedDiscovery(Away.NEVER, 0);
            ScriptedDiscovery next = new ScriptedDiscovery(away, RETURNS_AFTER_MS)) {
            former.begin();
            String text = ScriptedPeers.start(former.port, 256, ScriptedPeers.list(0, true));
            ProxyConfiguration start = new ProxyConfiguration(
                pushed ? text.replace("on_request", "pushed") : text);
            LoadBalancerThread decider = new LoadBalancerThread(start, threads, loop, log, clock,
                new DescriptorBudget(64), SocketFactory.TCP,
                MS);
            EndpointWatch list = new EndpointWatch(start, threads, loop, log, decider);
            threads.start("loop", loop);
            list.poll();
            assertTrue(former.toldAt() > 0);
            next.begin();
            long movedAt = System.nanoTime();
            list.onDiscoveryMoved(new InetSocketAddress(InetAddress.getLoopbackAddress(), next.port));
            long tookMs = (next.toldAt() - movedAt) / MS;
            assertTrue(tookMs >= 0 && tookMs < MOST_MS, "known " + tookMs + " ms after the reload");
        } finally {
            loop.shutdown();
        }
    }
}
