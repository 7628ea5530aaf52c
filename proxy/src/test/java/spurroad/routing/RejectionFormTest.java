package spurroad.routing;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.configuration.ProxyConfiguration;
import spurroad.fixture.ScriptedPeers;
import spurroad.transport.Clock;
import spurroad.transport.EventLog;
import spurroad.transport.EventLoop;
import spurroad.transport.MemoryBudget;

/** Checks the response line of a request that is rejected before anything of it is sent. */
public class RejectionFormTest {
    private static final String SETTINGS = ScriptedPeers.start(1, 256, ScriptedPeers.list(1, true));
    private static final String SHORT_OBJECTIVE = SETTINGS.replace("\"sloTimeUs\":8000000",
        "\"sloTimeUs\":1000000");
    private static final String NO_RETRY_AFTER = SETTINGS.replace("\"retryAfter\":true",
        "\"retryAfter\":false");

    /** Retry-After is half of the shortest latency objective, if the settings allow it. */
    @DataProvider
    Object[][] rejections() {
        return new Object[][] {{SETTINGS, "SERVER_ERROR busy 2000\r\n"},
            {SHORT_OBJECTIVE, "SERVER_ERROR busy 500\r\n"}, {NO_RETRY_AFTER, "SERVER_ERROR busy\r\n"}};
    }

    @Test(dataProvider = "rejections")
    public void sendsRetryAfterWhenProxyIsBusy(String settings, String response) {
        assertEquals(text(admissionController(settings).busyResponse()), response);
    }

    @Test
    public void sendsRetryAfterWhenRequestIsNotAdmitted() {
        assertEquals(text(admissionController(SETTINGS).rejection()), "SERVER_ERROR busy 2000\r\n");
        assertEquals(text(admissionController(NO_RETRY_AFTER).rejection()), "SERVER_ERROR busy\r\n");
    }

    private static String text(byte[] response) {
        return new String(response, StandardCharsets.ISO_8859_1);
    }

    private static AdmissionController admissionController(String settings) {
        EventLog log = new EventLog();
        return new AdmissionController(new ProxyConfiguration(settings), new EventLoop(log, new Clock()), log,
            new MemoryBudget(1), null);
    }
}
