package spurroad.program;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import org.testng.annotations.Test;
import spurroad.fixture.ScriptedPeers.Client;
import spurroad.fixture.ScriptedPeers.Peer;

/** Replies of cache nodes that arrive slowly. */
public class SlowReplyTest {
    private static final int PIECES = 8;
    private static final long PAUSE_MILLIS = 100; // a reply may pause for 300

    /**
     * Guards against a time limit of the whole reply where only a pause is limited: a value was asked for
     * again 0.3 s after its first bytes.
     */
    @Test
    public void servesValueThatArrivesInPiecesWithoutLongPause() throws Exception {
        Peer[] holder = new Peer[1];
        try (Peer node = holder[0] = new Peer(message -> message.startsWith("stats")
            ? "STAT inflight 0\r\nEND\r\n" : respondSlowly(holder[0], message));
            Peer origin = new Peer(message -> RunningProxy.ok("from the origin"));
            Client client = new Client(RunningProxy.proxy(node, origin).port())) {
            client.say(RunningProxy.READ);
            assertEquals(client.line(), "VA " + PIECES + " O1");
            assertEquals(client.line(), "x".repeat(PIECES));
        }
    }

    private static String respondSlowly(Peer node, String message) {
        Thread writer = new Thread(() -> {
            try {
                for (int i = 0; i < PIECES; i++) {
                    Thread.sleep(PAUSE_MILLIS);
                    node.say("x");
                }
                node.say("\r\n");
            } catch (IOException | InterruptedException e) {
                // the proxy has closed the connection
            }
        });
        writer.setDaemon(true);
        writer.start();
        return "VA " + PIECES + " O" + RunningProxy.id(message) + "\r\n";
    }
}
