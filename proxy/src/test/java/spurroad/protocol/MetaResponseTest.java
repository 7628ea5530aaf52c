package spurroad.protocol;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.model.CacheStatus;
import spurroad.model.Outcome;

/** Cache node responses, split at any byte, and rejection of malformed ones. */
public class MetaResponseTest {
    private static final String LONG = "x".repeat(70_000);

    @DataProvider
    Object[][] responses() {
        String longestBuffered = "VA 65536 O1\r\n" + LONG.substring(0, 65536) + "\r\n";
        String longValue = "VA 70000 O1\r\n" + LONG + "\r\n"; // its value is not read with the line
        return new Object[][] {{"VA 0 O1\r\n\r\n", Outcome.SUCCEEDED, CacheStatus.NONE, "VA 0 O1\r\n\r\n"},
            {"VA 2 O1 h1 Linflight=7,queue=2\r\nab\r\n", Outcome.SUCCEEDED, CacheStatus.HIT,
                "VA 2 O1\r\nab\r\n"},
            {longestBuffered, Outcome.SUCCEEDED, CacheStatus.NONE, longestBuffered},
            {longValue, Outcome.SUCCEEDED, CacheStatus.NONE, "VA 70000 O1\r\n"},
            {"HD O1 cff\r\n", Outcome.SUCCEEDED, CacheStatus.NONE, "HD O1 cff\r\n"},
            {"EN O1 h0\r\n", Outcome.CACHE_MISS, CacheStatus.MISS, null},
            {"EN O1 h0 Z\r\n", Outcome.CACHE_MISS, CacheStatus.FETCH_PENDING, null},
            {"SERVER_ERROR failed\r\n", Outcome.FAILED, CacheStatus.NONE, null},
            {"SERVER_ERROR busy\r\n", Outcome.REJECTED, CacheStatus.NONE, null}};
    }

    @Test(dataProvider = "responses")
    public void readsResponseSplitAtAnyByte(String reply, Outcome outcome, CacheStatus cacheStatus,
                                            String clientResponse)
        throws IOException {
        for (int split = 1; split < Math.min(100, reply.length()); split++) {
            UpstreamReply parsedReply = MetaResponse.read(WireText.streamInTwoParts(reply, split), "1");
            assertEquals(parsedReply.outcome(), outcome);
            assertEquals(parsedReply.cacheStatus(), cacheStatus);
            assertEquals(parsedReply.response() == null ? null : WireText.text(parsedReply.response()),
                clientResponse);
            assertEquals(parsedReply.loadReport().inFlight(), reply.contains("L") ? 7 : Double.NaN);
        }
    }

    @DataProvider
    Object[][] unusableResponses() {
        return new Object[][] {{""}, {"VA 2 O2\r\nab\r\n"}, {"VA 2\r\nab\r\n"}, {"VA x O1\r\n"},
            {"VA 4194305 O1\r\n"},
            {"VA 2 O1\r\nabc\r\n"}, {"VA 2 O1\r\na"}, {"EN O2\r\n"}, {"HD O2 c1\r\n"}, {"HD O1\r\n"},
            {"CLIENT_ERROR no\r\n"},
            {LONG}, {"VA 2 O1"}};
    }

    @Test(dataProvider = "unusableResponses")
    public void rejectsUnusableResponse(String reply) {
        assertThrows(IOException.class, () -> MetaResponse.read(WireText.stream(reply), "1"));
    }

    @Test
    public void ignoresUnknownFieldsOfLoadReport() throws IOException {
        UpstreamReply reply = MetaResponse
            .readProbeResponse(
                WireText.stream("STAT util 0.5\r\nSTAT inflight 3\r\nSTAT queue 1\r\nEND\r\n"));
        assertEquals(List.of(reply.outcome(), reply.loadReport().inFlight(), reply.loadReport().queued()),
            List.of(Outcome.SUCCEEDED, 3.0, 1.0));
        assertEquals(MetaResponse.readProbeResponse(WireText.stream("SERVER_ERROR busy\r\n")).outcome(),
            Outcome.FAILED);
        assertThrows(IOException.class,
            () -> MetaResponse.readProbeResponse(WireText.stream("STAT a 1\r\n".repeat(100))));
    }
}
