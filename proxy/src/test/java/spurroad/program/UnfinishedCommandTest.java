package spurroad.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.function.Function;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.fixture.ScriptedPeers.Client;
import spurroad.fixture.ScriptedPeers.Peer;

/**
 * Clients that send a complete request followed by an unfinished or invalid command. The complete request is
 * answered, whatever the rest becomes.
 */
public class UnfinishedCommandTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    /** Exceeds the timeout of an unfinished command; below the timeout of the request. */
    private static final long RESPONSE_DELAY_MILLIS = 3_000;
    /** Time limit for the error or the close after an unfinished command. */
    private static final long MAX_CLOSE_MILLIS = 3_000;
    private static final int LONG_VALUE_BYTES = 200_000;
    private static final int FLOOD_BYTES = 1_000_000;

    @DataProvider
    Object[][] unfinishedCommands() {
        return new Object[][] {{"half a line", "mg k2 v O2 Pc=re"},
            {"half a value", "ms k2 10 O2 Pc=put,t=acme,d=9000,k=5\r\nabc"},
            {"half a long value", "ms k2 " + LONG_VALUE_BYTES + " O2 Pc=put,t=acme,d=9000,k=5\r\nabc"},
            {"a flood of bytes that form no command", "x".repeat(FLOOD_BYTES)}};
    }

    @Test(dataProvider = "unfinishedCommands")
    public void answersCompleteRequestBeforeUnfinishedCommand(String name, String rest) throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        Function<String, String> held = message -> {
            if (message.startsWith("mg")) {
                await(release);
            }
            return RunningProxy.hit("v").apply(message);
        };
        try (Peer node = new Peer(held); Peer discovery = new Peer(message -> RunningProxy.WATCH)) {
            ProxyService service = RunningProxy.proxy(discovery, 256,
                spurroad.fixture.ScriptedPeers.target("s-1", "m1", node.port, "active", 0));
            try (Client client = new Client(service.port())) {
                client.say(RunningProxy.READ);
                assertNotNull(node.await("mg"));
                client.sayInBackground(rest);
                Thread.sleep(RESPONSE_DELAY_MILLIS);
                release.countDown();
                assertEquals(client.line(), "VA 1 O1", "no response to the complete request");
                assertEquals(client.line(), "v");
                long sinceNanos = System.nanoTime();
                for (String line = client.line(); line != null; line = client.line()) {
                    assertTrue(line.startsWith("CLIENT_ERROR"), line);
                }
                assertTrue(System.nanoTime() - sinceNanos < MAX_CLOSE_MILLIS * NANOS_PER_MILLI,
                    "the connection was not closed in time");
            }
            RunningProxy.ending(service).join();
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
