package spurroad.program;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.program.RequestHistory.Execution;

/** Which histories of a deduplicated request count as repeated without permission. */
public class RequestHistoryTest {
    private static final long WINDOW_MICROS = 1_000;
    private static final int MAX_ATTEMPTS = 2;
    private static final String FIRST = "decided 1 10, sent 1 20, executed";
    private static final String LOST = ", ended 1 30 CONNECTION_LOST";
    private static final String RETRIED = ", decided 2 40, sent 2 50, executed, ended 2 60 SUCCEEDED";
    private static final String WITHOUT_REASON = "repeated though the endpoint had kept the connection";

    /** Events of a request, and the fault that they show. */
    @DataProvider
    Object[][] histories() {
        return new Object[][] {
            {FIRST + ", ended 1 30 SUCCEEDED", null},
            {FIRST + LOST + RETRIED, null},
            {"decided 1 10, ended 1 20 NO_CONNECTION, decided 2 5000, sent 2 5010, executed", null},
            {FIRST + ", executed" + LOST, "2 executions for 1 attempts sent"},
            {FIRST + ", decided 2 40", "retried while an attempt was in flight"},
            {FIRST + ", ended 1 30 SUCCEEDED, decided 2 40", "retried after a success"},
            {FIRST + LOST + ", decided 2 1010", "retried after the deduplication window"},
            {FIRST + LOST + ", decided 3 40", "attempt 3 after 1"},
            {FIRST + LOST + ", decided 2 40, sent 2 50, ended 2 60 FAILED, decided 3 70", "3 attempts"}};
    }

    @Test(dataProvider = "histories")
    public void findsRepeatsWithoutPermission(String events, String fault) {
        RequestHistory history = history(events);
        assertEquals(history.repeatFault(WINDOW_MICROS, MAX_ATTEMPTS), fault, history.toString());
    }

    /** Events of a request at an endpoint that answers every request, and the fault that they show. */
    @DataProvider
    Object[][] executions() {
        return new Object[][] {
            {FIRST + ", broken" + LOST + RETRIED, null},
            {FIRST + ", answered, broken" + LOST + RETRIED, null},
            {FIRST + LOST + RETRIED, WITHOUT_REASON},
            {FIRST + ", answered" + LOST + RETRIED, WITHOUT_REASON},
            {FIRST + LOST + RETRIED + ", broken", WITHOUT_REASON},
            {FIRST + ", ended 1 30 TIMED_OUT" + RETRIED, WITHOUT_REASON},
            {FIRST + ", ended 1 30 CANCELLED" + RETRIED, WITHOUT_REASON},
            {FIRST + ", answered, ended 1 30 FAILED" + RETRIED, WITHOUT_REASON},
            {FIRST + ", broken" + LOST + RETRIED + ", executed", WITHOUT_REASON},
            {"executed, executed", WITHOUT_REASON}, {FIRST, null}, {"decided 1 10", null}};
    }

    @Test(dataProvider = "executions")
    public void findsExecutionsThatTheirEndpointGaveNoReasonToRepeat(String events, String fault) {
        RequestHistory history = history(events);
        assertEquals(history.unexplainedRepeat(), fault, history.toString());
    }

    private static RequestHistory history(String events) {
        RequestHistory history = new RequestHistory();
        Execution execution = null;
        for (String event : events.split(", ")) {
            switch (event) {
                case "executed" -> execution = history.addExecution();
                case "answered" -> execution.onAnswered();
                case "broken" -> execution.onBrokenByEndpoint();
                default -> addLine(history, event.split(" "));
            }
        }
        return history;
    }

    private static void addLine(RequestHistory history, String... event) {
        String outcome = event.length > 3 ? " outcome=" + event[3] + " fullySent=true" : "";
        history.addLine("proxy", "attempt " + event[0] + ": request=r attempt=" + event[1]
            + " endpoint=origin 127.0.0.1:1" + outcome + " atMicros=" + event[2]);
    }

    @Test
    public void findsRequestSentByTwoProxies() {
        RequestHistory history = new RequestHistory();
        history.addLine("proxy 1", "attempt decided: request=r attempt=1 endpoint=origin a atMicros=1");
        history.addLine("proxy 2", "attempt decided: request=r attempt=1 endpoint=origin a atMicros=1");
        assertEquals(history.repeatFault(WINDOW_MICROS, MAX_ATTEMPTS), "sent by several proxies");
    }
}
