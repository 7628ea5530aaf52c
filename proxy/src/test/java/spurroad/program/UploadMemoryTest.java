package spurroad.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.configuration.ProxyConfiguration;
import spurroad.fixture.ScriptedPeers;
import spurroad.fixture.ScriptedPeers.Client;
import spurroad.fixture.ScriptedPeers.Peer;

/**
 * Writes of long values while a slow writer holds the memory for uploads. Guards against whole requests that
 * wait for that memory without an end: they were answered seconds after their time.
 */
public class UploadMemoryTest {
    private static final int LONG_BYTES = 4 * 1024 * 1024;
    private static final int ALMOST_ALL_BYTES = LONG_BYTES - 100_000;
    private static final int WRITE_BYTES = 1024 * 1024;
    private static final int TIMEOUT_MILLIS = 2000;
    private static final int LONG_TIMEOUT_MILLIS = 9000;

    private final AtomicBoolean ended = new AtomicBoolean();
    private Peer origin;
    private ProxyService proxy;

    @BeforeMethod
    public void start() throws Exception {
        start(64); // leaves memory for one upload of 4 MiB
    }

    private void start(int memoryMb) throws Exception {
        ended.set(false);
        origin = new Peer(message -> RunningProxy.ok("r1"));
        Peer node = new Peer(message -> "STAT inflight 0\r\nEND\r\n");
        Peer discovery = new Peer(message -> RunningProxy.WATCH);
        String list = ScriptedPeers.list(1, true,
            ScriptedPeers.target("s-1", "m1", node.port, "active", 0),
            ScriptedPeers.target("s-o", "origin", origin.port, "active", 0));
        proxy = RunningProxy.service(new ProxyConfiguration(ScriptedPeers.start(discovery.port, 1024, list)
            .replace("\"memory_mb\":192", "\"memory_mb\":" + memoryMb)));
    }

    @AfterMethod
    public void end() throws IOException {
        ended.set(true);
        origin.close();
    }

    private static String head(String id, int length, int timeoutMillis) {
        return "ms k" + id + " " + length + " O" + id + " Pc=put,t=acme,d=" + timeoutMillis + ",k=" + id
            + "\r\n";
    }

    private static String write(String id, int length, int timeoutMillis) {
        return head(id, length, timeoutMillis) + "x".repeat(length) + "\r\n";
    }

    /** Writes the first bytes of a value of 4 MiB, then a byte now and then, without an end. */
    private Socket slowWriter(int firstBytes) throws Exception {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), proxy.port());
        String start = head("slow", LONG_BYTES, LONG_TIMEOUT_MILLIS) + "x".repeat(firstBytes);
        socket.getOutputStream().write(start.getBytes(StandardCharsets.ISO_8859_1));
        ScriptedPeers.daemon(() -> {
            while (!ended.get()) {
                socket.getOutputStream().write('x');
                Thread.sleep(200);
            }
        });
        Thread.sleep(300); // the proxy has read what was written
        return socket;
    }

    @Test
    public void answersInTimeWhileSlowWriterHoldsMemory() throws Exception {
        try (Socket slow = slowWriter(ALMOST_ALL_BYTES); Client client = new Client(proxy.port())) {
            for (int i = 0; i < 2; i++) {
                client.say(write("a" + i, WRITE_BYTES, TIMEOUT_MILLIS));
                long sentAt = System.nanoTime();
                String answer = client.line();
                long millis = (System.nanoTime() - sentAt) / 1_000_000;
                assertTrue(answer.startsWith("SERVER_ERROR busy"), answer);
                assertTrue(millis < TIMEOUT_MILLIS, "answered after " + millis + " ms");
            }
            assertEquals(client.say("mn\r\n").line(), "MN", "the rest of the value is no command");
            slow.close();
            client.say(write("b", LONG_BYTES, LONG_TIMEOUT_MILLIS));
            assertEquals(client.line(), "HD Ob cr1", "the memory of both is free again");
        }
    }

    /**
     * An earlier request of the connection is answered first, a later one after the write that is refused.
     */
    @Test
    public void keepsOrderOfAnswersRoundRefusedWrite() throws Exception {
        try (Socket slow = slowWriter(ALMOST_ALL_BYTES); Client client = new Client(proxy.port())) {
            client.say("mn\r\n" + write("a", WRITE_BYTES, TIMEOUT_MILLIS)
                + write("b", 100, LONG_TIMEOUT_MILLIS) + "mn\r\n");
            assertEquals(client.line(), "MN");
            assertTrue(client.line().startsWith("SERVER_ERROR busy"));
            assertEquals(client.line(), "HD Ob cr1");
            assertEquals(client.line(), "MN");
            assertTrue(slow.isConnected());
        }
    }

    /** What a slow writer has not sent yet takes no memory from others. */
    @Test
    public void servesWritesWhileSlowWriterHasSentLittle() throws Exception {
        try (Socket slow = slowWriter(10_000); Client client = new Client(proxy.port())) {
            client.say(write("a", WRITE_BYTES, TIMEOUT_MILLIS));
            assertEquals(client.line(), "HD Oa cr1");
            assertTrue(slow.isConnected());
        }
    }

    /** A write that waits is served once there is memory. */
    @Test
    public void servesWaitingWriteOnceMemoryIsFree() throws Exception {
        try (Socket slow = slowWriter(ALMOST_ALL_BYTES); Client client = new Client(proxy.port())) {
            client.say(write("a", WRITE_BYTES, LONG_TIMEOUT_MILLIS));
            Thread.sleep(300);
            slow.close();
            assertEquals(client.line(), "HD Oa cr1");
        }
    }

    /** The stall of a client is noticed while the rest of its refused value is discarded, too. */
    @Test
    public void closesClientThatStallsInsideRefusedValue() throws Exception {
        try (Socket slow = slowWriter(ALMOST_ALL_BYTES); Client client = new Client(proxy.port())) {
            client.say(head("a", WRITE_BYTES, TIMEOUT_MILLIS) + "x".repeat(WRITE_BYTES / 2));
            assertTrue(client.line().startsWith("SERVER_ERROR busy"));
            assertEquals(client.line(), null);
            assertTrue(slow.isConnected());
        }
    }

    /**
     * What many slow writers of values of 64 KiB have sent fits into the memory for uploads, or they are
     * answered. Guards against input that nothing reserves: 560 such writers exhausted the heap.
     */
    @Test
    public void reservesWhatSlowWritersOfShorterValuesSend() throws Exception {
        int memoryMb = 192;
        long uploadBytes = memoryMb * 1024L * 1024 / 8 / 2; // half of an eighth
        int sentBytes = 60_000;
        int writers = 400;
        start(memoryMb);
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < writers; i++) {
            Socket socket = new Socket(InetAddress.getLoopbackAddress(), proxy.port());
            sockets.add(socket);
            String start = head("w" + i, 65_536, TIMEOUT_MILLIS) + "x".repeat(sentBytes);
            socket.getOutputStream().write(start.getBytes(StandardCharsets.ISO_8859_1));
        }
        Thread.sleep(TIMEOUT_MILLIS);
        int unanswered = 0;
        for (Socket socket : sockets) {
            unanswered += socket.getInputStream().available() == 0 ? 1 : 0;
        }
        assertTrue(unanswered * (long) sentBytes <= uploadBytes, unanswered + " writers are held");
        assertTrue(unanswered * (long) sentBytes >= uploadBytes / 2, "only " + unanswered + " are held");
        for (Socket socket : sockets) {
            socket.close();
        }
        try (Client client = new Client(proxy.port())) {
            client.say(write("a", LONG_BYTES, LONG_TIMEOUT_MILLIS));
            assertEquals(client.line(), "HD Oa cr1", "all memory is free again");
        }
    }

    @DataProvider
    Object[][] lengths() {
        return new Object[][] {{1024}, {1025}, {2000}, {8192}, {30_000}, {65_536}, {65_537}};
    }

    @Test(dataProvider = "lengths")
    public void servesPipelinedWritesOfAllLengths(int length) throws Exception {
        int writes = length > 10_000 ? 4 : 100;
        try (Client client = new Client(proxy.port())) {
            StringBuilder commands = new StringBuilder();
            for (int i = 0; i < writes; i++) {
                commands.append(write("p" + i, length, LONG_TIMEOUT_MILLIS));
            }
            client.sayInBackground(commands.toString());
            for (int i = 0; i < writes; i++) {
                String answer = client.line();
                assertTrue(answer.equals("HD Op" + i + " cr1") || answer.startsWith("SERVER_ERROR busy"),
                    answer);
            }
            String written = origin.await("PUT /kp0 HTTP/1.1");
            assertTrue(written.endsWith("\n" + "x".repeat(length)), "the value at the origin differs");
        }
    }

    @DataProvider
    Object[][] invalidWrites() {
        return new Object[][] {{"ms k 30000 Pc=put,d=9000,k=5\r\n", "CLIENT_ERROR no request id"},
            {"ms k 30000 O1 Pc=put,k=5\r\n", "CLIENT_ERROR no time to wait"},
            {"ms k 30000 O1 Pc=none,t=acme,d=9000,k=5\r\n", "CLIENT_ERROR unknown class"}};
    }

    /** The value of an invalid command is skipped, whether it is read with its command or after it. */
    @Test(dataProvider = "invalidWrites")
    public void readsNextCommandBehindInvalidWrite(String line, String answer) throws Exception {
        for (int length : new int[] {100, 30_000, 65_536}) {
            try (Client client = new Client(proxy.port())) {
                client.say(line.replace("30000", String.valueOf(length)) + "x".repeat(length) + "\r\nmn\r\n");
                assertEquals(client.line(), answer, length + " bytes");
                assertEquals(client.line(), "MN", length + " bytes");
            }
        }
    }

    @Test
    public void endsConnectionAfterValueThatIsLongerThanAnnounced() throws Exception {
        try (Client client = new Client(proxy.port())) {
            client.say(head("a", 30_000, TIMEOUT_MILLIS) + "x".repeat(30_001) + "\r\n");
            assertEquals(client.line(), "CLIENT_ERROR bad data chunk");
            assertEquals(client.line(), null);
        }
    }
}
