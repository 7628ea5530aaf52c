package spurroad.protocol;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.expectThrows;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Reads that a signal interrupts are repeated. The stream of a socket with a timeout returns -3 for such a
 * read, which must not count as the end of discovery's response.
 */
public class InterruptedStreamTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String FIRST_LIST = "{\"rev\":1}";
    private static final String SECOND_LIST = "{\"rev\":22}";
    private static final String CHUNKS = "a\r\n" + FIRST_LIST + "\n\r\nb\r\n" + SECOND_LIST + "\n\r\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final int TIMEOUT_MILLIS = 50;

    /** Returns a text byte by byte, and another value several times before each byte and before the end. */
    private static final class InterruptedStream extends InputStream {
        private final byte[] bytes;
        private final int interruptedResult;
        private final int interruptions;
        private int position;
        private int interruptionsLeft;

        private InterruptedStream(String text, int interruptedResult, int interruptions) {
            bytes = text.getBytes(StandardCharsets.ISO_8859_1);
            this.interruptedResult = interruptedResult;
            this.interruptions = interruptions;
            interruptionsLeft = interruptions;
        }

        @Override
        public int read() {
            throw new UnsupportedOperationException("reads arrays only");
        }

        @Override
        public int read(byte[] into, int from, int maxBytes) {
            if (interruptionsLeft > 0) {
                interruptionsLeft--;
                return interruptedResult;
            }
            interruptionsLeft = interruptions;
            if (position == bytes.length) {
                return -1;
            }
            into[from] = bytes[position++];
            return 1;
        }
    }

    /** What an interrupted read returns, and how many reads in a row are interrupted. */
    @DataProvider
    Object[][] interruptions() {
        return new Object[][] {{0, 1}, {-2, 1}, {-3, 1}, {-3, 2}, {-3, 8}, {-3, 9}, {-3, 100}};
    }

    private static ByteSource body(ByteSource response) throws IOException {
        return Http.bodyStream(response, Http.readFinalHead(response));
    }

    @Test(dataProvider = "interruptions")
    public void readsListsOfAnInterruptedWatch(int result, int count) throws Exception {
        ByteSource body = body(
            new ByteSource(new InterruptedStream(HEAD + CHUNKS + LAST_CHUNK, result, count)));
        assertEquals(Http.readListText(body).strip(), FIRST_LIST);
        assertEquals(Http.readListText(body).strip(), SECOND_LIST);
        assertNull(Http.readListText(body));
    }

    /** The stream ends truly, after each of its bytes: the same error, or end, as without interruptions. */
    @Test(dataProvider = "interruptions")
    public void reportsTrueEndsAsWithoutInterruptions(int result, int count) {
        String response = HEAD + CHUNKS;
        for (int length = 0; length < response.length(); length++) {
            String part = response.substring(0, length);
            assertEquals(outcome(new InterruptedStream(part, result, count)),
                outcome(new InterruptedStream(part, 0, 0)), "end after " + length + " bytes");
        }
    }

    private static String outcome(InputStream stream) {
        StringBuilder lists = new StringBuilder();
        try {
            ByteSource body = body(new ByteSource(stream));
            for (String list = Http.readListText(body); list != null; list = Http.readListText(body)) {
                lists.append(list);
            }
            return lists + " end";
        } catch (IOException e) {
            return lists + " " + e;
        }
    }

    @Test
    public void reportsAnEndInsideALine() {
        ByteSource source = new ByteSource(new InterruptedStream("HTTP/1.1", -3, 9));
        EOFException error = expectThrows(EOFException.class, () -> source.readLine(100));
        assertEquals(error.getMessage(), "end of stream inside a line, expected a line feed");
    }

    /** The timeout is that of the whole wait, however often the read is interrupted. */
    @Test(timeOut = 20_000)
    public void endlessInterruptionsEndAtTheTimeout() {
        InputStream neverReady = new InterruptedStream("", -3, Integer.MAX_VALUE);
        assertThrows(SocketTimeoutException.class,
            () -> new ByteSource(neverReady, TIMEOUT_MILLIS).awaitByte());
    }
}
