package spurroad.protocol;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.model.Outcome;

/** Responses of the origin, split at any byte, and discovery streams. */
public class HttpTest {
    private static final String READ = "mg 7f3a v O9b1f Pc=read,t=acme,d=480\r\n";
    private static final String WRITE = "ms 7f3a 5 O9b1f Pc=put,t=acme,d=480,k=5c0f\r\nhello\r\n";
    private static final String LONG = "x".repeat(70_000);

    @DataProvider
    Object[][] responses() {
        String ok = "HTTP/1.1 200 OK\r\n";
        return new Object[][] {
            {READ, ok + "Content-Length: 2\r\nX-Load: queue=4\r\n\r\nab", Outcome.SUCCEEDED,
                "VA 2 O9b1f\r\nab\r\n", true},
            {READ, ok + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n2;x=y\r\nbc\r\n0\r\n\r\n",
                Outcome.SUCCEEDED,
                "VA 3 O9b1f\r\nabc\r\n", true},
            {READ, ok + "\r\nabc", Outcome.SUCCEEDED, "VA 3 O9b1f\r\nabc\r\n", false},
            {READ, "HTTP/1.1 100 Continue\r\n\r\n" + ok + "Connection: close\r\nContent-Length: 0\r\n\r\n",
                Outcome.SUCCEEDED, "VA 0 O9b1f\r\n\r\n", false},
            {WRITE, ok + "content-length: 2\r\n\r\nff", Outcome.SUCCEEDED, "HD O9b1f cff\r\n", true},
            {WRITE, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", Outcome.FAILED, null, true},
            {WRITE, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", Outcome.FAILED, null, true},
            {WRITE, "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", Outcome.REJECTED, null,
                true},
            {READ, "HTTP/1.1 504 No\r\nX-Not-Run: 1\r\nContent-Length: 1\r\n\r\nx", Outcome.REJECTED, null,
                true},
            {READ, "HTTP/1.1 500 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", Outcome.FAILED, null,
                true}};
    }

    @Test(dataProvider = "responses")
    public void readsResponseSplitAtAnyByte(String command, String reply, Outcome outcome,
                                            String clientResponse,
                                            boolean reusable)
        throws IOException {
        MetaCommand parsedCommand = MetaCommand.read(WireText.stream(command));
        for (int split = 1; split < reply.length(); split++) {
            UpstreamReply parsedReply = Http.read(WireText.streamInTwoParts(reply, split), parsedCommand);
            assertEquals(parsedReply.outcome(), outcome);
            assertEquals(parsedReply.response() == null ? null : WireText.text(parsedReply.response()),
                clientResponse);
            assertEquals(parsedReply.reusable(), reusable);
            assertEquals(parsedReply.loadReport().queued(), reply.contains("X-Load") ? 4 : Double.NaN);
        }
    }

    @DataProvider
    Object[][] unusableResponses() {
        String ok = "HTTP/1.1 200 OK\r\n";
        return new Object[][] {{""}, {"SSH-2.0\r\n\r\n"}, {"HTTP/1.1 x\r\n\r\n"},
            {ok + "Content-Length: 3\r\n\r\nab"},
            {ok + "Content-Length: 4194305\r\n\r\n"}, {ok + "Content-Length: -1\r\n\r\n"},
            {ok + ": x\r\n\r\n"},
            {ok + "Transfer-Encoding: chunked\r\n\r\nzz\r\n"},
            {ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n"},
            {ok + "Content-Length: -1\r\nContent-Length: 1\r\n\r\na"},
            {ok + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"},
            {ok + "A: b\r\n".repeat(200)}, {ok + "A: " + LONG}};
    }

    @Test(dataProvider = "unusableResponses")
    public void rejectsUnusableResponse(String reply) throws IOException {
        MetaCommand command = MetaCommand.read(WireText.stream(READ));
        assertThrows(IOException.class, () -> Http.read(WireText.stream(reply), command));
    }

    @Test
    public void readsListSpanningChunksAndRejectsTruncatedList() throws IOException {
        String watch = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{\"\r\n4\r\na\"}\n\r\n"
            + "1\r\n\n\r\n";
        ByteSource in = WireText.stream(watch + "0\r\n\r\n");
        ByteSource lines = Http.bodyStream(in, Http.readFinalHead(in));
        assertEquals(Http.readListText(lines), "{\"a\"}");
        assertEquals(Http.readListText(lines), "");
        assertNull(Http.readListText(lines));
        ByteSource truncated = WireText.stream(watch + "3\r\n{\"");
        ByteSource truncatedLines = Http.bodyStream(truncated, Http.readFinalHead(truncated));
        Http.readListText(truncatedLines);
        Http.readListText(truncatedLines);
        assertThrows(IOException.class, () -> Http.readListText(truncatedLines));
    }

    @Test
    public void readsListOfSeveralLines() throws IOException {
        ByteSource lines = WireText.stream("\n{\n  \"a}\": {\"b\": \"\\\"{\"\n  }\n}\n\n{}\n{\n");
        assertEquals(Http.readListText(lines), "");
        assertEquals(Json.read(Http.readListText(lines)), Map.of("a}", Map.of("b", "\"{")));
        assertEquals(Http.readListText(lines), "");
        assertEquals(Http.readListText(lines), "{}");
        assertThrows(IOException.class, () -> Http.readListText(lines));
    }
}
