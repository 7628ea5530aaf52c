package spurroad.protocol;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.EOFException;
import java.io.IOException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.model.CacheStatus;
import spurroad.model.LoadReport;
import spurroad.model.Outcome;

/** Reading of cache node responses and encoding of responses to clients. */
public class MetaResponseFormTest {
    private static final String ID = "9b1f";
    private static final double UNKNOWN = Double.NaN;
    private static final int MAX_BUFFERED_VALUE_BYTES = 65_536;
    private static final LoadReport SEVEN_IN_FLIGHT_TWO_QUEUED = new LoadReport(7, 2);

    /** A response to request 9b1f: outcome, cache status, load report and the message to the client. */
    @DataProvider
    Object[][] responses() {
        String longValue = "x".repeat(MAX_BUFFERED_VALUE_BYTES);
        return new Object[][] {
            {"VA 5 O9b1f\r\nhello\r\n", Outcome.SUCCEEDED, CacheStatus.NONE, LoadReport.NONE,
                "VA 5 O9b1f\r\nhello\r\n"},
            {"VA 0 O9b1f\r\n\r\n", Outcome.SUCCEEDED, CacheStatus.NONE, LoadReport.NONE,
                "VA 0 O9b1f\r\n\r\n"},
            {"VA 4 O9b1f h1\r\n\r\n\0\u00ff\r\n", Outcome.SUCCEEDED, CacheStatus.HIT, LoadReport.NONE,
                "VA 4 O9b1f\r\n\r\n\0\u00ff\r\n"},
            {"VA 1 O9b1f h0\r\nx\r\n", Outcome.SUCCEEDED, CacheStatus.MISS, LoadReport.NONE,
                "VA 1 O9b1f\r\nx\r\n"},
            {"VA 1 h1 O9b1f Linflight=7,queue=2,util=0.61\r\nx\r\n", Outcome.SUCCEEDED, CacheStatus.HIT,
                SEVEN_IN_FLIGHT_TWO_QUEUED,
                "VA 1 O9b1f\r\nx\r\n"},
            {"VA 65536 O9b1f\r\n" + longValue + "\r\n", Outcome.SUCCEEDED, CacheStatus.NONE, LoadReport.NONE,
                "VA 65536 O9b1f\r\n" + longValue + "\r\n"},
            {"HD O9b1f c77aa\r\n", Outcome.SUCCEEDED, CacheStatus.NONE, LoadReport.NONE,
                "HD O9b1f c77aa\r\n"},
            {"HD c77aa O9b1f h1 Lq=2,rif=7\n", Outcome.SUCCEEDED, CacheStatus.HIT, SEVEN_IN_FLIGHT_TWO_QUEUED,
                "HD O9b1f c77aa\r\n"},
            {"EN O9b1f\r\n", Outcome.CACHE_MISS, CacheStatus.NONE, LoadReport.NONE, null},
            {"EN O9b1f h0\r\n", Outcome.CACHE_MISS, CacheStatus.MISS, LoadReport.NONE, null},
            {"EN O9b1f h0 Z Linflight=7,queue=2\r\n", Outcome.CACHE_MISS, CacheStatus.FETCH_PENDING,
                SEVEN_IN_FLIGHT_TWO_QUEUED,
                null},
            {"SERVER_ERROR busy\r\n", Outcome.REJECTED, CacheStatus.NONE, LoadReport.NONE, null},
            {"SERVER_ERROR busy Linflight=7,queue=2\r\n", Outcome.REJECTED, CacheStatus.NONE,
                SEVEN_IN_FLIGHT_TWO_QUEUED, null},
            {"SERVER_ERROR busy 250\r\n", Outcome.REJECTED, CacheStatus.NONE, LoadReport.NONE, null},
            {"SERVER_ERROR failed\r\n", Outcome.FAILED, CacheStatus.NONE, LoadReport.NONE, null},
            {"SERVER_ERROR\r\n", Outcome.FAILED, CacheStatus.NONE, LoadReport.NONE, null}};
    }

    @Test(dataProvider = "responses")
    public void readsCacheNodeResponse(String response, Outcome outcome, CacheStatus cacheStatus,
                                       LoadReport load,
                                       String clientResponse)
        throws IOException {
        for (UpstreamReply reply : new UpstreamReply[] {MetaResponse.read(WireText.stream(response), ID),
            WireText.readByteByByte(response, in -> MetaResponse.read(in, ID))}) {
            assertSame(reply.outcome(), outcome);
            assertSame(reply.cacheStatus(), cacheStatus);
            assertEquals(reply.loadReport(), load);
            assertEquals(WireText.text(reply.response()), clientResponse);
            assertTrue(reply.reusable());
            assertNull(reply.streamedBody());
        }
    }

    @DataProvider
    Object[][] longValueResponses() {
        return new Object[][] {{"VA 65537 O9b1f h1 Linflight=7,queue=2\r\n", 65_537L, "VA 65537 O9b1f\r\n"},
            {"VA 4194304 O9b1f h1 Linflight=7,queue=2\r\n", 4_194_304L, "VA 4194304 O9b1f\r\n"}};
    }

    @Test(dataProvider = "longValueResponses")
    public void leavesLongValueUnread(String line, long length, String clientResponse) throws IOException {
        ByteSource in = WireText.stream(line + "abc");
        UpstreamReply reply = MetaResponse.read(in, ID);
        assertSame(reply.outcome(), Outcome.SUCCEEDED);
        assertSame(reply.cacheStatus(), CacheStatus.HIT);
        assertEquals(reply.loadReport(), SEVEN_IN_FLIGHT_TWO_QUEUED);
        assertEquals(WireText.text(reply.response()), clientResponse);
        assertEquals(reply.streamedBody(), new UpstreamReply.StreamedBody(length, true));
        assertEquals(in.available(), "abc".length());
    }

    /** Responses after which the connection can't be used. */
    @DataProvider
    Object[] malformedResponses() {
        return new Object[] {"\r\n", "OK\r\n", "MN\r\n", "ERROR\r\n", "CLIENT_ERROR bad key\r\n",
            "VA\r\n", "VA x O9b1f\r\n", "VA -1 O9b1f\r\n\r\n", "VA 4194305 O9b1f\r\n",
            "VA 1 O9b1f\r\nxy\r\n", "VA 1 O9b1f\r\nx\n\n", "VA 1\r\nx\r\n", "VA 1 O9b2f\r\nx\r\n",
            "VA 65537 O9b2f\r\n", "HD O9b2f c1\r\n", "HD O9b1f\r\n", "HD O9b1f c\r\n", "EN\r\n",
            "EN O9b2f\r\n", "x".repeat(2050) + "\r\n", ""};
    }

    @Test(dataProvider = "malformedResponses")
    public void rejectsMalformedResponse(String response) {
        assertThrows(ProtocolException.class, () -> MetaResponse.read(WireText.stream(response), ID));
    }

    @DataProvider
    Object[] truncatedResponses() {
        return new Object[] {"VA 5 O9b", "VA 5 O9b1f\r\nhel", "VA 5 O9b1f\r\nhello\r", "HD O9b1f c7"};
    }

    @Test(dataProvider = "truncatedResponses")
    public void rejectsTruncatedResponse(String response) throws IOException {
        assertThrows(EOFException.class, () -> MetaResponse.read(WireText.stream(response), ID));
        assertNull(WireText.readByteByByte(response, in -> MetaResponse.read(in, ID)));
    }

    /** A response to a load probe: outcome, requests in flight and queued requests. */
    @DataProvider
    Object[][] probeResponses() {
        return new Object[][] {
            {"STAT inflight 7\r\nSTAT queue 2\r\nSTAT util 0.61\r\nEND\r\n", Outcome.SUCCEEDED, 7, 2},
            {"STAT rif 7.5\nSTAT q 2\nEND\n", Outcome.SUCCEEDED, 7.5, 2},
            {"STAT inflight -1\r\nSTAT queue x\r\nEND\r\n", Outcome.SUCCEEDED, UNKNOWN, UNKNOWN},
            {"STAT inflight 1000000\r\nSTAT queue 1000001\r\nEND\r\n", Outcome.SUCCEEDED, 1_000_000, UNKNOWN},
            {"END\r\n", Outcome.SUCCEEDED, UNKNOWN, UNKNOWN},
            {"ERROR\r\n", Outcome.FAILED, UNKNOWN, UNKNOWN},
            {"STAT inflight\r\n", Outcome.FAILED, UNKNOWN, UNKNOWN},
            {"SERVER_ERROR busy\r\n", Outcome.FAILED, UNKNOWN, UNKNOWN}, {"\r\n", Outcome.FAILED, UNKNOWN,
                UNKNOWN}};
    }

    @Test(dataProvider = "probeResponses")
    public void readsProbeResponse(String response, Outcome outcome, double inFlight, double queued)
        throws IOException {
        UpstreamReply reply = MetaResponse.readProbeResponse(WireText.stream(response));
        assertSame(reply.outcome(), outcome);
        assertEquals(reply.loadReport(), new LoadReport(inFlight, queued));
        assertNull(reply.response());
        assertTrue(reply.reusable());
    }

    @Test
    public void limitsLoadReportTo64Lines() throws IOException {
        String line = "STAT inflight 7\r\n";
        assertSame(MetaResponse.readProbeResponse(WireText.stream(line.repeat(63) + "END\r\n")).outcome(),
            Outcome.SUCCEEDED);
        assertThrows(ProtocolException.class,
            () -> MetaResponse.readProbeResponse(WireText.stream(line.repeat(64) + "END\r\n")));
    }

    @Test
    public void encodesEachMessage() throws IOException {
        assertEquals(WireText.text(MetaResponse.loadProbe()), "stats load\r\n");
        assertEquals(WireText.text(MetaResponse.ready()), "MN\r\n");
        assertEquals(WireText.text(MetaResponse.lineEnd()), "\r\n");
        assertEquals(WireText.text(MetaResponse.rejected(0)), "SERVER_ERROR busy\r\n");
        assertEquals(WireText.text(MetaResponse.rejected(1)), "SERVER_ERROR busy 1\r\n");
        assertEquals(WireText.text(MetaResponse.rejected(2500)), "SERVER_ERROR busy 2500\r\n");
        assertEquals(WireText.text(MetaResponse.failed()), "SERVER_ERROR failed\r\n");
        assertEquals(WireText.text(MetaResponse.value(WireText.bytes("a\r\n\u00ff"), ID)),
            "VA 4 O9b1f\r\na\r\n\u00ff\r\n");
        assertEquals(WireText.text(MetaResponse.value(new byte[0], ID)), "VA 0 O9b1f\r\n\r\n");
        assertEquals(WireText.text(MetaResponse.receipt(ID, "77aa")), "HD O9b1f c77aa\r\n");
        assertEquals(WireText.text(MetaResponse.encodeLine("CLIENT_ERROR bad key")),
            "CLIENT_ERROR bad key\r\n");
    }

    @DataProvider
    Object[] invalidReceipts() {
        return new Object[] {"", "a b", "a\r", "\u00e4"};
    }

    @Test(dataProvider = "invalidReceipts")
    public void rejectsReceiptThatIsNotOneVisibleToken(String receipt) {
        assertThrows(ProtocolException.class, () -> MetaResponse.receipt(ID, receipt));
    }
}
