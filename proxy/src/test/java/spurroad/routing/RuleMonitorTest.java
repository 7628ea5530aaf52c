package spurroad.routing;

import static org.testng.Assert.assertEquals;

import java.util.function.Consumer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.transport.EventLog;

public class RuleMonitorTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private static Consumer<RuleMonitor> sent(boolean acceptsRequests, boolean clientLeft,
                                              long reportedMillis, long remainingMillis) {
        return monitor -> monitor.onSent(new RuleMonitor.Sent("ab", "node", acceptsRequests, clientLeft,
            reportedMillis, remainingMillis * NANOS_PER_MILLI));
    }

    private static Consumer<RuleMonitor> closed(CloseReason reason, int unanswered) {
        return monitor -> monitor.onClosed(reason, unanswered, "client");
    }

    private static Consumer<RuleMonitor> answered(boolean duplicate, long lateMillis) {
        return monitor -> monitor.onResponse("ab", duplicate, lateMillis * NANOS_PER_MILLI);
    }

    @DataProvider
    Object[][] cases() {
        return new Object[][] {{sent(true, false, 100, 100), 0}, {sent(true, false, 1, 0), 0},
            {sent(true, false, 249, 100), 0}, {sent(true, false, 251, 100), 1},
            {sent(true, false, 1, -200), 1}, {sent(false, false, 100, 100), 1},
            {sent(true, true, 100, 100), 1}, {sent(false, true, 900, 100), 3},
            {closed(CloseReason.IDLE, 0), 0}, {closed(CloseReason.IDLE, 2), 1},
            {closed(CloseReason.CLIENT_ENDED, 2), 0}, {closed(CloseReason.TAKES_NO_ANSWERS, 1), 0},
            {closed(CloseReason.UNFINISHED_COMMAND, 1), 1}, {closed(CloseReason.VALUE_BROKEN_OFF, 1), 1},
            {answered(false, -5), 0}, {answered(false, 499), 0}, {answered(false, 501), 1},
            {answered(true, 0), 1}};
    }

    @Test(dataProvider = "cases")
    public void countsRuleViolations(Consumer<RuleMonitor> action, long violations) {
        RuleMonitor monitor = new RuleMonitor(new EventLog());
        action.accept(monitor);
        assertEquals(monitor.violations(), violations);
    }
}
