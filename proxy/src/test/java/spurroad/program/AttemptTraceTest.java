package spurroad.program;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.configuration.ProxyConfiguration;
import spurroad.fixture.ScriptedPeers;
import spurroad.fixture.ScriptedPeers.Client;
import spurroad.fixture.ScriptedPeers.Peer;
import spurroad.transport.EventLog;

/** The debug lines from which the life of a single request can be told. */
public class AttemptTraceTest {
    private static final String WRITE = "ms k 1 O1 Pc=put,t=acme,d=9000,k=key1\r\na\r\n";

    /** What the origin answers to the first attempt (empty: it closes the connection), and its outcome. */
    @DataProvider
    Object[][] firstAnswers() {
        return new Object[][] {{"", "CONNECTION_LOST"},
            {"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", "FAILED"}};
    }

    @Test(dataProvider = "firstAnswers", timeOut = 60_000)
    public void tellsWhyAnAttemptWasRetried(String firstAnswer, String outcome) throws Exception {
        List<String> lines = new CopyOnWriteArrayList<>();
        AtomicInteger executions = new AtomicInteger();
        try (Peer discovery = new Peer(message -> RunningProxy.WATCH);
            Peer origin = new Peer(
                message -> executions.incrementAndGet() == 1 ? firstAnswer : RunningProxy.ok("r"))) {
            ProxyService proxy = RunningProxy.service(new ProxyConfiguration(
                ScriptedPeers.start(discovery.port, 256, ScriptedPeers.list(1, true,
                    ScriptedPeers.target("s-o", "origin", origin.port, "active", 0)))),
                new EventLog(lines::add));
            try (Client client = new Client(proxy.port())) {
                assertEquals(client.say(WRITE).line(), "HD O1 cr");
            }
            String attempt = "request=1 attempt=%d endpoint=origin 127.0.0.1:" + origin.port;
            String first = String.format(attempt, 1);
            String second = String.format(attempt, 2);
            assertEquals(lines.stream().map(line -> line.replaceFirst(" atMicros=\\d+$", "")).toList(),
                List.of("attempt decided: " + first, "attempt sent: " + first,
                    "attempt ended: " + first + " outcome=" + outcome + " fullySent=true",
                    "attempt decided: " + second, "attempt sent: " + second,
                    "attempt ended: " + second + " outcome=SUCCEEDED fullySent=true"));
        }
    }
}
