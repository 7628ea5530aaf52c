package spurroad.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;
import spurroad.fixture.ScriptedPeers;
import spurroad.fixture.ScriptedPeers.Client;
import spurroad.fixture.ScriptedPeers.Peer;

/**
 * One client that sends commands without a pause which the proxy answers itself. Guards against other clients
 * that are refused because one takes all processor time.
 */
public class FloodingClientTest {
    private static final int COMMANDS = 20_000;
    private static final long FLOOD_MILLIS = 1_000;
    private static final int MAX_BURST = 64;
    private static final int MAX_RATE_PER_SECOND = 1_000;
    private static final int READS = 20;
    private static final long MAX_READ_MILLIS = 500;

    @Test(timeOut = 60_000)
    public void holdsBackClientAndServesOthers() throws Exception {
        AtomicInteger answers = new AtomicInteger();
        try (Peer node = new Peer(RunningProxy.hit("v"))) {
            ProxyService proxy = RunningProxy.proxy(new Peer(message -> RunningProxy.WATCH), 256,
                ScriptedPeers.target("s-1", "m1", node.port, "active", 0));
            try (Client flooding = new Client(proxy.port()); Client other = new Client(proxy.port())) {
                long startNanos = System.nanoTime();
                flooding.sayInBackground("mn\r\n".repeat(COMMANDS));
                ScriptedPeers.daemon(() -> {
                    while (flooding.line() != null) {
                        answers.incrementAndGet();
                    }
                });
                for (int i = 0; i < READS; i++) {
                    long sentNanos = System.nanoTime();
                    assertEquals(other.say(RunningProxy.READ).line() + other.line(), "VA 1 O1v");
                    long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
                    assertTrue(tookMillis < MAX_READ_MILLIS, "a read took " + tookMillis + " ms");
                    Thread.sleep(FLOOD_MILLIS / READS);
                }
                int count = answers.get();
                double seconds = (System.nanoTime() - startNanos) / 1e9;
                assertTrue(count <= MAX_BURST + MAX_RATE_PER_SECOND * seconds + 1, count + " in " + seconds);
                assertTrue(count > MAX_BURST, "the client is served too: " + count);
            }
        }
    }
}
