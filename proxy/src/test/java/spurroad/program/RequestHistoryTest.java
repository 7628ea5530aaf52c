package spurroad.program;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Which histories of a deduplicated request count as repeated without permission. */
public class RequestHistoryTest {
    private static final long WINDOW_MICROS = 1_000;
    private static final int MAX_ATTEMPTS = 2;
    private static final String FIRST = "decided 1 10, sent 1 20, executed";
    private static final String LOST = ", ended 1 30 CONNECTION_LOST";

    /** Events of a request, and the fault that they show. */
    @DataProvider
    Object[][] histories() {
        return new Object[][] {
            {FIRST + ", ended 1 30 SUCCEEDED", null},
            {FIRST + LOST + ", decided 2 40, sent 2 50, executed, ended 2 60 SUCCEEDED", null},
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
        RequestHistory history = new RequestHistory();
        for (String event : events.split(", ")) {
            addEvent(history, event.split(" "));
        }
        assertEquals(history.repeatFault(WINDOW_MICROS, MAX_ATTEMPTS), fault, history.toString());
    }

    private static void addEvent(RequestHistory history, String... event) {
        if (event[0].equals("executed")) {
            history.addExecution();
            return;
        }
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
