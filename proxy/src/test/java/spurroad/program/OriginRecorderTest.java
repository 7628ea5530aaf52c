package spurroad.program;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.fixture.ScriptedPeers.Client;
import spurroad.fixture.ScriptedPeers.Peer;

/** Which messages count as executions of the load, and whose end of a connection is recorded. */
public class OriginRecorderTest {
    private static final String EXTRAS = "X-Extras: Pc=put,t=acme,d=9,k=";

    private static final long WINDOW_MICROS = 1_000;
    private static final int MAX_LINE_BYTES = 100;

    private final ExecutionLog log = new ExecutionLog();
    private final OriginRecorder recorder = new OriginRecorder(log, "l2p");

    /** Messages, how often they execute l2p0q9, and how many of them name no request of the load. */
    @DataProvider
    Object[][] messages() {
        return new Object[][] {{"PUT /k1 HTTP/1.1\n" + EXTRAS + "l2p0q9\n", 1, 0},
            {"PUT /k1 HTTP/1.1\n" + EXTRAS + "l2p0q8\n", 0, 0},
            {"PUT /k1 HTTP/1.1\n" + EXTRAS + "l1p0q9\n", 0, 1},
            {"PUT /k1 HTTP/1.1\nX-Extras: Pc=put,t=acme,d=9\n", 0, 1},
            {"GET /k1 HTTP/1.1\nX-Request-Id: l2p0q9\n", 0, 0},
            {"GET /k1 HTTP/1.1\nX-Request-Id: l1p0q9\n", 0, 1}, {"GET /_load HTTP/1.1\n", 0, 1},
            {"mg k1 v Ol2p0q9", 0, 1}};
    }

    @Test(dataProvider = "messages")
    public void tellsExecutionsFromForeignMessages(String message, int executions, int foreign) {
        ExecutionLog messageLog = new ExecutionLog();
        OriginRecorder messageRecorder = new OriginRecorder(messageLog, "l2p");
        messageRecorder.onMessage(message);
        messageRecorder.onMessage(message);
        assertEquals(messageLog.repeats("l2p0q9"), executions);
        assertEquals(messageRecorder.foreignMessages().size(), 2 * foreign);
    }

    /** What the peer does with the first message, and whether a repeat is excused by it. */
    @DataProvider
    Object[][] ends() {
        return new Object[][] {{"origin closes", true}, {"origin answers, then closes", true},
            {"proxy closes", false}, {"proxy resets", false}};
    }

    @Test(dataProvider = "ends", timeOut = 20_000)
    public void recordsAnEndByTheOriginOnly(String end, boolean excused) throws Exception {
        String id = "l2p" + end.replaceAll("[^a-z]", "");
        String request = "PUT /k HTTP/1.1\r\n" + EXTRAS + id + "\r\nContent-Length: 0\r\n\r\n";
        String answer = RunningProxy.ok("v");
        for (String line : List.of("decided: # attempt=1 endpoint=o atMicros=1",
            "sent: # attempt=1 endpoint=o atMicros=2",
            "ended: # attempt=1 endpoint=o outcome=CONNECTION_LOST fullySent=true atMicros=3",
            "decided: # attempt=2 endpoint=o atMicros=4", "sent: # attempt=2 endpoint=o atMicros=5")) {
            log.addLogLine("proxy", "attempt " + line.replace("#", "request=" + id));
        }
        try (Peer origin = new Peer(message -> end.equals("origin closes") ? "" : answer, recorder)) {
            Client first = new Client(origin.port).say(request);
            switch (end) {
                case "origin closes" -> assertEquals(first.line(), null);
                case "origin answers, then closes" -> {
                    first.in.readFully(new byte[answer.length()], 0, answer.length());
                    origin.closeConnection();
                }
                default -> {
                    first.in.readFully(new byte[answer.length()], 0, answer.length());
                    if (end.equals("proxy resets")) {
                        first.reset();
                    } else {
                        first.close();
                    }
                }
            }
            assertEquals(origin.await("closed"), "closed");
            Client second = new Client(origin.port).say(request);
            second.in.readLine(MAX_LINE_BYTES);
            second.close();
            assertEquals(log.repeats(id), 1);
            assertEquals(log.repeatFaults(id, WINDOW_MICROS, 2).isEmpty(), excused, end);
        }
    }
}
