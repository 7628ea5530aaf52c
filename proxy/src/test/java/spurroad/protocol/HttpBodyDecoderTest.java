package spurroad.protocol;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests the bodies of unknown length that follow the head of a read's response. Guards against a body that is
 * held in memory before its length is checked.
 */
public class HttpBodyDecoderTest {
    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String UP_TO_END = "HTTP/1.1 200 OK\r\n\r\n";
    private static final String LONG_CHUNK = "11170\r\n" + "x".repeat(70_000) + "\r\n";
    private static final int MAX_PART_BYTES = 64 * 1024; // as the event loop reads at most

    private final MetaCommand read;

    public HttpBodyDecoderTest() throws IOException {
        read = MetaCommand.read(WireText.stream("mg k v O1 Pc=read,d=480\r\n"));
    }

    private UpstreamReply reply(ByteSource in) throws IOException {
        return in.readMessage(source -> Http.read(source, read));
    }

    /** Decodes a whole response that arrives in parts of random sizes, into pieces of random sizes. */
    private String decode(String response, Random random) throws IOException {
        ByteSource in = new ByteSource();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        byte[] bytes = WireText.bytes(response);
        UpstreamReply reply = null;
        HttpBodyDecoder.Progress progress = HttpBodyDecoder.Progress.BYTES_NEEDED;
        for (int from = 0; from <= bytes.length && progress != HttpBodyDecoder.Progress.COMPLETE;) {
            int count = Math.min(bytes.length - from, 1 + random.nextInt(MAX_PART_BYTES));
            in.feed(ByteBuffer.wrap(bytes, from, count));
            from += count;
            if (from == bytes.length) {
                in.endInput();
                from++;
            }
            if (reply == null) {
                reply = reply(in);
                body.writeBytes(reply == null ? new byte[0] : reply.unsizedBody().start());
            }
            if (reply != null) {
                progress = decodeAvailable(in, reply.unsizedBody().rest(), body, random);
            }
        }
        assertEquals(progress, HttpBodyDecoder.Progress.COMPLETE);
        assertEquals(in.available(), 0);
        return WireText.text(body.toByteArray());
    }

    private static HttpBodyDecoder.Progress decodeAvailable(ByteSource in, HttpBodyDecoder decoder,
                                                            ByteArrayOutputStream body, Random random)
        throws IOException {
        HttpBodyDecoder.Progress progress;
        do {
            ByteBuffer piece = ByteBuffer.allocate(1 + random.nextInt(MAX_PART_BYTES));
            progress = decoder.decode(in, piece);
            body.write(piece.array(), 0, piece.position());
        } while (progress == HttpBodyDecoder.Progress.SPACE_NEEDED);
        return progress;
    }

    private static String text(int length, Random random) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < length; i++) {
            text.append((char) random.nextInt(256));
        }
        return text.toString();
    }

    private static String chunks(String body, int maxBytes, Random random) {
        StringBuilder chunks = new StringBuilder();
        for (int from = 0; from < body.length();) {
            int to = Math.min(body.length(), from + 1 + random.nextInt(maxBytes));
            String extension = random.nextBoolean() ? "" : ";a=" + "b".repeat(random.nextInt(300));
            chunks.append(Integer.toHexString(to - from)).append(extension).append("\r\n")
                .append(body, from, to).append("\r\n");
            from = to;
        }
        return chunks.append("0\r\n").append(random.nextBoolean() ? "" : "A: b\r\nC: d\r\n").append("\r\n")
            .toString();
    }

    @Test
    public void decodesBodyWhateverItsChunksAndParts() throws IOException {
        for (int seed = 0; seed < 200; seed++) {
            Random random = new Random(seed);
            String body = text(65_537 + random.nextInt(200_000), random);
            int maxChunkBytes = 1 << random.nextInt(19);
            assertEquals(decode(CHUNKED + chunks(body, maxChunkBytes, random), random), body, "seed " + seed);
            assertEquals(decode(UP_TO_END + body, random), body, "seed " + seed);
        }
    }

    /** The size of a chunk is enough to know that the body is long: nothing else is awaited. */
    @Test
    public void waitsForNoByteOfLongChunk() throws IOException {
        ByteSource in = new ByteSource();
        in.feed(ByteBuffer.wrap(WireText.bytes(CHUNKED + "400000\r\nabc")));
        UpstreamReply reply = reply(in);
        assertNotNull(reply, "the chunk is awaited as a whole");
        assertEquals(in.available(), "abc".length());
    }

    /** Chunk extensions are not part of the body, but must not fill the memory either. */
    @Test
    public void buffersNoUnlimitedExtensions() throws IOException {
        ByteSource in = new ByteSource();
        byte[] chunk = WireText.bytes("1;" + "x".repeat(8_000) + "\r\na\r\n");
        in.feed(ByteBuffer.wrap(WireText.bytes(CHUNKED)));
        int fed = 0;
        UpstreamReply reply = null;
        while (reply == null && fed < 1_000_000) {
            in.feed(ByteBuffer.wrap(chunk));
            fed += chunk.length;
            reply = reply(in);
        }
        assertNotNull(reply, fed + " bytes are buffered");
        assertTrue(fed <= 80_000, fed + " bytes are buffered");
    }

    @DataProvider
    Object[][] faults() {
        String half = CHUNKED + "200000\r\n" + "x".repeat(0x200000) + "\r\n";
        return new Object[][] {{CHUNKED + LONG_CHUNK + "x\r\n", ProtocolException.class},
            {CHUNKED + LONG_CHUNK + "-1\r\n", ProtocolException.class},
            {CHUNKED + LONG_CHUNK.replace("x\r\n", "xy\n"), ProtocolException.class},
            {half + "200000\r\n" + "x".repeat(0x200000) + "\r\n1\r\n", ProtocolException.class},
            {half + "200001\r\n", ProtocolException.class},
            {CHUNKED + LONG_CHUNK + "0\r\n" + "A: b\r\n".repeat(200) + "\r\n", ProtocolException.class},
            {UP_TO_END + "x".repeat(0x400001), ProtocolException.class},
            {CHUNKED + LONG_CHUNK, IOException.class}, {CHUNKED + LONG_CHUNK + "0\r\n", IOException.class},
            {CHUNKED + "11170\r\nxx", EOFException.class}};
    }

    @Test(dataProvider = "faults")
    public void rejectsMalformedOrIncompleteBody(String response, Class<? extends Throwable> failure) {
        for (int seed = 0; seed < 5; seed++) {
            Random random = new Random(seed);
            assertThrows(failure, () -> decode(response, random));
        }
    }

    /** A receipt and the text of an error are short; a long one is not read. */
    @Test
    public void rejectsLongBodyOfOtherResponses() throws IOException {
        MetaCommand write = MetaCommand.read(WireText.stream("ms k 1 O1 Pc=put,d=480\r\na\r\n"));
        for (String response : new String[] {CHUNKED + "400000\r\n", UP_TO_END + "x".repeat(70_000)}) {
            ByteSource in = new ByteSource();
            in.feed(ByteBuffer.wrap(WireText.bytes(response)));
            assertThrows(ProtocolException.class, () -> in.readMessage(source -> Http.read(source, write)));
        }
        ByteSource failed = new ByteSource();
        failed.feed(ByteBuffer.wrap(WireText.bytes(CHUNKED.replace("200 OK", "500 x") + "400000\r\n")));
        assertThrows(ProtocolException.class, () -> reply(failed));
    }

    @Test
    public void readsShortBodyAtOnce() throws IOException {
        ByteSource in = new ByteSource();
        in.feed(ByteBuffer.wrap(WireText.bytes(CHUNKED + "3\r\nabc\r\n0\r\n\r\n")));
        UpstreamReply reply = reply(in);
        assertNull(reply.unsizedBody());
        assertEquals(WireText.text(reply.response()), "VA 3 O1\r\nabc\r\n");
    }
}
