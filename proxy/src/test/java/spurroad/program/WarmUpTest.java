package spurroad.program;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;
import spurroad.configuration.ProxyConfiguration;
import spurroad.fixture.ScriptedPeers;
import spurroad.transport.Clock;
import spurroad.transport.EventLog;
import spurroad.transport.Threads;

/** The requests that a proxy sends itself before it serves. */
public class WarmUpTest {
    @Test(timeOut = 60_000)
    public void answersAllWarmUpRequestsAndStopsBalancerThread() throws Exception {
        EventLog log = new EventLog();
        WarmUp warmUp = new WarmUp(
            new ProxyConfiguration(ScriptedPeers.start(1, 256, ScriptedPeers.list(1, true))));
        warmUp.run(new Threads(log), log, new Clock(), 4_000);
        assertEquals(warmUp.unansweredRequests(), 0);
        for (Thread t : Thread.getAllStackTraces().keySet()) {
            if (t.getName().equals(WarmUp.BALANCER_THREAD)) {
                t.join();
            }
        }
    }
}
