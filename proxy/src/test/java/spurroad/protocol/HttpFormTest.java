package spurroad.protocol;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.EOFException;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.model.CacheStatus;
import spurroad.model.LoadReport;
import spurroad.model.Outcome;

/** Encoding of HTTP requests to the origin and discovery, and reading of their responses. */
public class HttpFormTest {
    private static final String HOST = "127.0.0.1:8080";
    private static final String READ = "mg k%y/\u007e-._v\u0021 v O9b1f Pc=read,d=480,t=acme\r\n";
    private static final String WRITE = "ms 7f3a 5 O9b1f Pc=put,d=480,k=5c0f\r\nhello\r\n";
    private static final String LONG_WRITE = "ms 7f3a 65537 O9b1f Pc=put,d=480,k=5c0f\r\n";
    private static final long PROXY_TIMEOUT_MILLIS = 123;
    private static final LoadReport NO_LOAD = LoadReport.NONE;
    private static final int MAX_BUFFERED_BODY_BYTES = 65_536;

    private static MetaCommand command(String text) throws IOException {
        return MetaCommand.read(WireText.stream(text));
    }

    // ---- requests

    @Test
    public void encodesGetWithHostHeaderOnly() {
        assertEquals(WireText.text(Http.get("/_load", HOST)),
            "GET /_load HTTP/1.1\r\nHost: 127.0.0.1:8080\r\n\r\n");
        assertEquals(WireText.text(Http.get("/catalog/members?follow=1&since=41", HOST)),
            "GET /catalog/members?follow=1&since=41 HTTP/1.1\r\nHost: 127.0.0.1:8080\r\n\r\n");
    }

    /**
     * A command, then the request line, the attribute list, the length if any, and the body for the origin.
     */
    @DataProvider
    Object[][] originRequests() {
        return new Object[][] {
            {READ, "GET /k%25y%2F~-._v%21 HTTP/1.1", "c=read,d=123,t=acme", null, ""},
            {WRITE, "PUT /7f3a HTTP/1.1", "c=put,d=123,k=5c0f", "5", "hello"},
            {WRITE.replace(" 5 ", " 0 ").replace("hello", ""), "PUT /7f3a HTTP/1.1", "c=put,d=123,k=5c0f",
                "0", ""},
            {LONG_WRITE, "PUT /7f3a HTTP/1.1", "c=put,d=123,k=5c0f", "65537", ""}};
    }

    /** The two request-specific headers may have either order; all other parts have a fixed position. */
    @Test(dataProvider = "originRequests")
    public void encodesOriginRequest(String command, String requestLine, String attributes, String length,
                                     String body)
        throws IOException {
        String request = WireText.text(Http.forOrigin(command(command), PROXY_TIMEOUT_MILLIS, HOST));
        String[] parts = request.split("\r\n\r\n", -1);
        assertEquals(parts.length, 2);
        List<String> head = Arrays.asList(parts[0].split("\r\n", -1));
        assertEquals(head.subList(0, 2), List.of(requestLine, "Host: " + HOST));
        assertEquals(head.subList(2, 4).stream().sorted().toList(),
            List.of("X-Extras: " + attributes, "X-Request-Id: 9b1f"));
        assertEquals(head.subList(4, head.size()),
            length == null ? List.of() : List.of("Content-Length: " + length));
        assertEquals(parts[1], body);
    }

    // ---- responses of the origin

    private static String ok(String headers, String body) {
        return "HTTP/1.1 200 OK\r\n" + headers + "\r\n" + body;
    }

    /**
     * A response to a read: outcome, load report, message to the client, and whether the connection is
     * reusable.
     */
    @DataProvider
    Object[][] responsesToReads() {
        return new Object[][] {
            {ok("Content-Length: 4\r\n", "body"), Outcome.SUCCEEDED, NO_LOAD, "VA 4 O9b1f\r\nbody\r\n", true},
            {ok("content-length:4\r\n", "body"), Outcome.SUCCEEDED, NO_LOAD, "VA 4 O9b1f\r\nbody\r\n", true},
            {ok("Content-Length: 0\r\n", ""), Outcome.SUCCEEDED, NO_LOAD, "VA 0 O9b1f\r\n\r\n", true},
            {ok("Content-Length: 4\r\nX-Load: inflight=7,queue=2\r\n", "body"), Outcome.SUCCEEDED,
                new LoadReport(7, 2), "VA 4 O9b1f\r\nbody\r\n", true},
            {ok("Content-Length: 4\r\nConnection: Close\r\n", "body"), Outcome.SUCCEEDED, NO_LOAD,
                "VA 4 O9b1f\r\nbody\r\n", false},
            {ok("Transfer-Encoding: chunked\r\n", "2\r\nbo\r\n02;x=y\r\ndy\r\n0\r\nTrailer: 1\r\n\r\n"),
                Outcome.SUCCEEDED, NO_LOAD, "VA 4 O9b1f\r\nbody\r\n", true},
            {ok("Transfer-Encoding: Chunked\r\n", "A\r\n0123456789\r\n0\r\n\r\n"), Outcome.SUCCEEDED,
                NO_LOAD, "VA 10 O9b1f\r\n0123456789\r\n", true},
            {ok("", "body"), Outcome.SUCCEEDED, NO_LOAD, "VA 4 O9b1f\r\nbody\r\n", false},
            {"HTTP/1.0 200\r\nContent-Length: 1\r\n\r\nx", Outcome.SUCCEEDED, NO_LOAD,
                "VA 1 O9b1f\r\nx\r\n", true},
            {"HTTP/1.1 100 Continue\r\n\r\n" + ok("Content-Length: 1\r\n", "x"), Outcome.SUCCEEDED, NO_LOAD,
                "VA 1 O9b1f\r\nx\r\n", true},
            {"HTTP/1.1 500 Oops\r\nContent-Length: 2\r\nX-Load: rif=7,q=2\r\n\r\nno", Outcome.FAILED,
                new LoadReport(7, 2), null, true},
            {"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", Outcome.REJECTED, NO_LOAD,
                null, true},
            {"HTTP/1.1 504 Late\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n", Outcome.REJECTED, NO_LOAD,
                null, true},
            {"HTTP/1.1 503 Busy\r\nX-Not-Run: 0\r\nContent-Length: 0\r\n\r\n", Outcome.FAILED, NO_LOAD, null,
                true},
            {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", Outcome.FAILED, NO_LOAD, null, true},
            {"HTTP/1.1 500 Oops\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", Outcome.FAILED, NO_LOAD, null,
                true},
            {"HTTP/1.1 204 None\r\n\r\n", Outcome.FAILED, NO_LOAD, null, true},
            {"HTTP/1.1 304 Same\r\n\r\n", Outcome.FAILED, NO_LOAD, null, true},
            {"HTTP/1.1 404 None\r\nContent-Length: 2\r\n\r\nno", Outcome.FAILED, NO_LOAD, null, true}};
    }

    @Test(dataProvider = "responsesToReads")
    public void readsResponseToRead(String response, Outcome outcome, LoadReport load, String clientResponse,
                                    boolean reusable)
        throws IOException {
        UpstreamReply reply = Http.read(WireText.stream(response), command(READ));
        assertSame(reply.outcome(), outcome);
        assertSame(reply.cacheStatus(), CacheStatus.NONE);
        assertEquals(reply.loadReport(), load);
        assertEquals(WireText.text(reply.response()), clientResponse);
        assertEquals(reply.reusable(), reusable);
        assertNull(reply.streamedBody());
    }

    @Test
    public void readsReceiptFromBodyOfWriteResponse() throws IOException {
        UpstreamReply reply = Http.read(WireText.stream(ok("Content-Length: 6\r\n", " 77aa\n")),
            command(WRITE));
        assertEquals(WireText.text(reply.response()), "HD O9b1f c77aa\r\n");
        assertThrows(ProtocolException.class,
            () -> Http.read(WireText.stream(ok("Content-Length: 3\r\n", "a b")), command(WRITE)));
        assertThrows(ProtocolException.class,
            () -> Http.read(WireText.stream(ok("Content-Length: 0\r\n", "")), command(WRITE)));
    }

    /** A body of a declared length over 64 KiB is not read with the head of its response. */
    @Test
    public void leavesLongBodyUnread() throws IOException {
        ByteSource in = WireText.stream(ok("Content-Length: 65537\r\nConnection: close\r\n", "abc"));
        UpstreamReply reply = Http.read(in, command(READ));
        assertSame(reply.outcome(), Outcome.SUCCEEDED);
        assertEquals(WireText.text(reply.response()), "VA 65537 O9b1f\r\n");
        assertEquals(reply.streamedBody(), new UpstreamReply.StreamedBody(65_537, false));
        assertFalse(reply.reusable());
        assertEquals(in.available(), "abc".length());
    }

    /**
     * A body without a declared length is read at once up to 64 KiB. Of a longer one at most a byte more is
     * read with the head, and nothing of the chunk with which it is too long.
     */
    @Test
    public void readsBodyOfUnknownLengthAtOnceUpTo64KiB() throws IOException {
        String longestBody = "x".repeat(MAX_BUFFERED_BODY_BYTES);
        String chunked = "Transfer-Encoding: chunked\r\n";
        String clientResponse = "VA 65536 O9b1f\r\n" + longestBody + "\r\n";
        assertEquals(WireText.text(Http.read(WireText.stream(ok("", longestBody)), command(READ)).response()),
            clientResponse);
        assertEquals(WireText.text(Http.read(WireText.stream(ok(chunked, "10000\r\n" + longestBody
            + "\r\n0\r\n\r\n")), command(READ)).response()), clientResponse);
        assertLeavesRest(ok("", longestBody + "xyz"), longestBody + "x", "yz");
        assertLeavesRest(ok(chunked, "10000\r\n" + longestBody + "\r\n1\r\nx\r\n0\r\n\r\n"), longestBody,
            "x\r\n0\r\n\r\n");
    }

    private static void assertLeavesRest(String response, String start, String rest) throws IOException {
        ByteSource in = WireText.stream(response);
        UpstreamReply reply = Http.read(in, command(READ));
        assertNull(reply.response());
        assertEquals(WireText.text(reply.unsizedBody().start()), start);
        assertEquals(WireText.text(in.readFully(rest.length())), rest);
        assertFalse(in.awaitByte());
        assertThrows(ProtocolException.class, () -> Http.read(WireText.stream(response), command(WRITE)));
    }

    @Test
    public void readsLoadReportFromProbeResponse() throws IOException {
        UpstreamReply reply = Http.readProbeResponse(
            WireText.stream(ok("X-Load: inflight=7,queue=2,util=0.6\r\nContent-Length: 2\r\n", "ok")));
        assertSame(reply.outcome(), Outcome.SUCCEEDED);
        assertEquals(reply.loadReport(), new LoadReport(7, 2));
        assertNull(reply.response());
        assertSame(
            Http.readProbeResponse(WireText.stream("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")).outcome(),
            Outcome.FAILED);
    }

    @DataProvider
    Object[] malformedResponses() {
        String chunked = "Transfer-Encoding: chunked\r\n";
        return new Object[] {"", "MN\r\n\r\n", "HTTP/2 200 OK\r\n\r\n", "HTTP/1.1\r\n\r\n",
            "HTTP/1.1 x\r\n\r\n", "HTTP/1.1 99 x\r\n\r\n", "HTTP/1.1 1000 x\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n", ok("nonsense\r\n", ""), ok(": x\r\n", ""),
            ok("Content-Length: x\r\n", ""), ok("Content-Length: -1\r\n", ""),
            ok("Content-Length: 4194305\r\n", ""), ok("Content-Length: 1\r\nContent-Length: 1\r\n", "x"),
            ok("Content-Length: 1\r\n" + chunked, "1\r\nx\r\n0\r\n\r\n"),
            ok(chunked + chunked, "0\r\n\r\n"), ok(chunked, "x\r\n"), ok(chunked, "-1\r\n"),
            ok(chunked, "+1\r\nx\r\n"), ok(chunked, "1\r\nxy\r\n"), ok(chunked, "400001\r\n"),
            ok("A: " + "x".repeat(8192) + "\r\n", ""), ok("A: x\r\n".repeat(100), "")};
    }

    @Test(dataProvider = "malformedResponses")
    public void rejectsMalformedResponse(String response) {
        assertThrows(ProtocolException.class, () -> Http.read(WireText.stream(response), command(READ)));
    }

    @DataProvider
    Object[] truncatedResponses() {
        return new Object[] {"HTTP/1.1 200 O", ok("Content-Length: 4\r\n", "bod"),
            ok("Transfer-Encoding: chunked\r\n", "4\r\nbod"), ok("Transfer-Encoding: chunked\r\n", "4")};
    }

    @Test(dataProvider = "truncatedResponses")
    public void rejectsTruncatedResponse(String response) {
        assertThrows(EOFException.class, () -> Http.read(WireText.stream(response), command(READ)));
    }

    // ---- responses of discovery

    @Test
    public void readsStatusAndLowerCaseHeaderNames() throws IOException {
        Http.Head head = Http
            .readFinalHead(WireText.stream("HTTP/1.1 503 Busy\r\nRetry-After:  2 \r\nA: b:c\r\n\r\n"));
        assertEquals(head.status(), 503);
        assertEquals(head.headers(), Map.of("retry-after", "2", "a", "b:c"));
    }

    /** The lists of a watch may be indented, span chunks and have empty lines between them. */
    @Test
    public void splitsChunkedWatchIntoLists() throws IOException {
        ByteSource in = WireText.stream(ok("Transfer-Encoding: chunked\r\n",
            "9\r\n{\"rev\":1}\r\n" + "2\r\n\n\n\r\n" + "3\r\n{\r\n\r\n" + "F\r\n \"a\": \"}\\\"{\"\n}\n\r\n"
                + "0\r\n\r\n"));
        ByteSource watch = Http.bodyStream(in, Http.readFinalHead(in));
        assertEquals(Http.readListText(watch), "{\"rev\":1}");
        assertEquals(Http.readListText(watch), "");
        assertEquals(Http.readListText(watch), "{\n \"a\": \"}\\\"{\"\n}");
        assertNull(Http.readListText(watch));
    }

    @Test
    public void splitsUnchunkedWatchIntoListsUpToItsEnd() throws IOException {
        ByteSource in = WireText.stream(ok("", "{\"rev\":1}\r\n\r\n{\"rev\":2}\n"));
        ByteSource watch = Http.bodyStream(in, Http.readFinalHead(in));
        assertEquals(Http.readListText(watch), "{\"rev\":1}");
        assertEquals(Http.readListText(watch), "");
        assertEquals(Http.readListText(watch), "{\"rev\":2}");
        assertNull(Http.readListText(watch));
        assertTrue(in.available() == 0);
    }
}
