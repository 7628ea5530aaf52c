package spurroad.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.configuration.ProxyConfiguration;
import spurroad.fixture.ScriptedPeers;
import spurroad.fixture.ScriptedPeers.Client;
import spurroad.fixture.ScriptedPeers.Peer;
import spurroad.transport.EventLog;

/**
 * How often the origin executes a write that it executes whole and then answers badly. The origin recognises
 * repeats as cache nodes do: by the idempotency key, in the class's scope and window.
 */
public class OriginWriteRepeatTest {
    private static final String DEDUPLICATED = "'effect':'dedup','dedupScope':'%s','dedupWindowUs':%d";
    private static final String ALL = String.format(DEDUPLICATED, "all", 9_000_000);
    private static final String ZONE = String.format(DEDUPLICATED, "zone", 9_000_000);
    private static final String CELL = String.format(DEDUPLICATED, "cell", 9_000_000);
    private static final String SHORT_WINDOW = String.format(DEDUPLICATED, "all", 60_000);
    private static final String NON_IDEMPOTENT = "'effect':'fragile'";
    private static final int MAX_ATTEMPTS = 6;

    private static final String OK = RunningProxy.ok("r");
    private static final String CLOSE = ""; // makes the peer close the connection
    private static final String FAILED = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
    private static final String NOT_RUN = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n"
        + "Content-Length: 0\r\n\r\n";
    private static final String HALF = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"; // then silence
    private static final String GARBAGE = "no answer at all\r\n\r\n";

    private static final String SERVED = "HD O1 cr";
    private static final String REJECTED = "SERVER_ERROR busy";
    private static final String RESPONSE_FAILED = "SERVER_ERROR failed";

    /** The class, the origin's first answer, the executions, and the client's response. */
    @DataProvider
    Object[][] firstAnswers() {
        List<Object[]> cases = new ArrayList<>();
        for (String deduplicated : List.of(ALL, ZONE, CELL)) {
            for (String answer : List.of(CLOSE, FAILED, HALF, GARBAGE)) {
                cases.add(new Object[] {deduplicated, answer, 2, SERVED});
            }
        }
        for (String answer : List.of(CLOSE, FAILED, HALF, GARBAGE)) {
            cases.add(new Object[] {NON_IDEMPOTENT, answer, 1, RESPONSE_FAILED});
        }
        for (String any : List.of(ALL, ZONE, CELL, NON_IDEMPOTENT)) {
            cases.add(new Object[] {any, NOT_RUN, 2, SERVED}); // the origin says that the first did not run
            cases.add(new Object[] {any, OK + OK, 1, SERVED}); // the second answer belongs to no request
        }
        return cases.toArray(Object[][]::new);
    }

    /** Guards against a second execution that the class forbids, and against one that no attempt explains. */
    @Test(dataProvider = "firstAnswers", timeOut = 60_000)
    public void executesAgainOnlyAsTheClassAllows(String requestClass, String firstAnswer, int executions,
                                                  String response)
        throws Exception {
        Run run = new Run(requestClass, number -> number == 1 ? firstAnswer : OK);
        assertEquals(run.response, response);
        assertEquals(run.executions.get(), executions);
        assertNull(run.history.repeatFault(9_000_000, MAX_ATTEMPTS), run.history.toString());
    }

    /** The class, and the response once no attempt has succeeded. */
    @DataProvider
    Object[][] unansweredClasses() {
        return new Object[][] {{ALL, REJECTED}, {ZONE, RESPONSE_FAILED}, {CELL, RESPONSE_FAILED},
            {NON_IDEMPOTENT, RESPONSE_FAILED}};
    }

    /** Guards against a rejection, which promises that a retry does no harm, where not all recognise it. */
    @Test(dataProvider = "unansweredClasses", timeOut = 60_000)
    public void rejectsOnlyIfEveryEndpointRecognisesTheRepeat(String requestClass, String response)
        throws Exception {
        Run run = new Run(requestClass, number -> CLOSE);
        assertTrue(run.response.startsWith(response), run.response);
        assertTrue(run.executions.get() <= (requestClass.equals(NON_IDEMPOTENT) ? 1 : MAX_ATTEMPTS),
            run.history.toString());
        assertNull(run.history.repeatFault(9_000_000, MAX_ATTEMPTS), run.history.toString());
    }

    /** Guards against a repeat at the origin once it may have forgotten the first execution. */
    @Test(timeOut = 60_000)
    public void doesNotExecuteAgainAfterTheWindow() throws Exception {
        Run run = new Run(SHORT_WINDOW, number -> {
            sleep(100);
            return number == 1 ? CLOSE : OK;
        });
        assertEquals(run.response, RESPONSE_FAILED);
        assertEquals(run.executions.get(), 1, run.history.toString());
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** What the origin answers to the execution with the given number, from 1. */
    private interface Answers {
        String answer(int number);
    }

    /** One write through a proxy of its own. */
    private static final class Run {
        private final AtomicInteger executions = new AtomicInteger();
        private final RequestHistory history = new RequestHistory();
        private final String response;

        Run(String requestClass, Answers answers) throws Exception {
            try (Peer discovery = new Peer(message -> RunningProxy.WATCH);
                Peer node = new Peer(RunningProxy.hit("v"));
                Peer origin = new Peer(message -> execute(message, answers))) {
                String configuration = ScriptedPeers
                    .start(discovery.port, 256, ScriptedPeers.list(1, true,
                        ScriptedPeers.target("s-1", "m1", node.port, "active", 0),
                        ScriptedPeers.target("s-o", "origin", origin.port, "active", 0)))
                    .replace(ALL.replace('\'', '"'), requestClass.replace('\'', '"'));
                ProxyService proxy = RunningProxy.service(new ProxyConfiguration(configuration),
                    new EventLog(line -> history.addLine("proxy", line)));
                try (Client client = new Client(proxy.port())) {
                    response = client.say("ms k 1 O1 Pc=put,t=acme,d=5000,k=key1\r\na\r\n").line();
                }
                assertTrue(node.received.stream().noneMatch(message -> message.startsWith("ms")),
                    "a write went to a cache node");
            }
        }

        private String execute(String message, Answers answers) {
            if (!message.startsWith("PUT ")) {
                return RunningProxy.ok("");
            }
            history.addExecution();
            return answers.answer(executions.incrementAndGet());
        }
    }
}
