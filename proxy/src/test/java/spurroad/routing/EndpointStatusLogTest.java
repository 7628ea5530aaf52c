package spurroad.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import spurroad.model.AdminStatus;
import spurroad.model.AdminStatus.AwaitedEvent;
import spurroad.model.AdminStatus.RestrictedEndpoint;
import spurroad.model.EndpointId;

/** Tests the log lines about ejected endpoints, and when the status is fetched again. */
public class EndpointStatusLogTest {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private static AdminStatus status(AwaitedEvent event, int count) {
        List<RestrictedEndpoint> restricted = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            restricted.add(new RestrictedEndpoint(new EndpointId(i), event, Long.MAX_VALUE));
        }
        return new AdminStatus(20, restricted);
    }

    @Test
    public void isRenewalDueEachSecondWhileAnyEndpointIsEjected() {
        EndpointStatusLog statusLog = new EndpointStatusLog(EndpointId::toString, (event, fields) -> {});
        assertFalse(statusLog.isRenewalDue(5 * NANOS_PER_SECOND), "nothing is ejected");
        statusLog.onStatus(status(AwaitedEvent.LOAD_PROBE_REPLY, 1), 5 * NANOS_PER_SECOND);
        assertFalse(statusLog.isRenewalDue(6 * NANOS_PER_SECOND - 1));
        assertTrue(statusLog.isRenewalDue(6 * NANOS_PER_SECOND));
        statusLog.onStatus(status(AwaitedEvent.RETURN_BY_OPERATOR, 1), 6 * NANOS_PER_SECOND);
        assertFalse(statusLog.isRenewalDue(9 * NANOS_PER_SECOND),
            "operators return it to use, which is an event");
    }

    @Test
    public void logsEachChangeOnceAndLimitsNamedEndpoints() {
        List<String> lines = new ArrayList<>();
        EndpointStatusLog statusLog = new EndpointStatusLog(id -> "node " + id.value(),
            (event, fields) -> lines.add(event + ": " + fields));
        statusLog.onStatus(status(AwaitedEvent.EJECTION_END, 2), 0);
        statusLog.onStatus(status(AwaitedEvent.EJECTION_END, 2), 1);
        statusLog.onStatus(status(AwaitedEvent.LOAD_PROBE_REPLY, 10), 2);
        statusLog.onStatus(AdminStatus.NONE, 3);
        assertEquals(lines, List.of(
            "ejected endpoints changed: waiting=[node 0, node 1] awaitingProbe=[] onTrial=[]",
            "ejected endpoints changed: waiting=[] awaitingProbe=[node 0, node 1, node 2, node 3, node 4, "
                + "node 5, node 6, node 7, and 2 more] onTrial=[]",
            "ejected endpoints changed: waiting=[] awaitingProbe=[] onTrial=[]"));
    }
}
