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
 * Tests that the list at a new address of discovery is received in time after a settings reload, even if the
 * new address is unavailable at first.
 */
public class DiscoveryMovesTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long RETURN_DELAY_MILLIS = 700;
    private static final long MAX_UPDATE_MILLIS = 4000; // maximum time from the reload to the new list

    /**
     * Returns whether lists are pushed, and how the new address is unavailable at first. It becomes available
     * soon in all cases; calls that hang stay unanswered.
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
    public void receivesListFromNewAddressInTime(boolean pushed, Away away) throws Exception {
        EventLog log = new EventLog();
        Clock clock = new Clock();
        Threads threads = new Threads(log);
        EventLoop loop = new EventLoop(log, clock);
        try (ScriptedDiscovery previousDiscovery = new ScriptedDiscovery(Away.NEVER, 0);
            ScriptedDiscovery newDiscovery = new ScriptedDiscovery(away, RETURN_DELAY_MILLIS)) {
            previousDiscovery.begin();
            String text = ScriptedPeers.start(previousDiscovery.port, 256, ScriptedPeers.list(0, true));
            ProxyConfiguration configuration = new ProxyConfiguration(
                pushed ? text.replace("on_request", "pushed") : text);
            LoadBalancerThread loadBalancer = new LoadBalancerThread(configuration, threads, loop, log, clock,
                new DescriptorBudget(64), SocketFactory.TCP,
                NANOS_PER_MILLI);
            EndpointWatch watch = new EndpointWatch(configuration, threads, loop, log, loadBalancer);
            threads.start("loop", loop);
            watch.poll();
            assertTrue(previousDiscovery.listSentAtNanos() > 0);
            newDiscovery.begin();
            long movedAtNanos = System.nanoTime();
            watch
                .onDiscoveryMoved(new InetSocketAddress(InetAddress.getLoopbackAddress(), newDiscovery.port));
            long elapsedMillis = (newDiscovery.listSentAtNanos() - movedAtNanos) / NANOS_PER_MILLI;
            assertTrue(elapsedMillis >= 0 && elapsedMillis < MAX_UPDATE_MILLIS,
                "list sent " + elapsedMillis + " ms after the reload");
        } finally {
            loop.shutdown();
        }
    }
}
