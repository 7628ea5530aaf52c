package spurroad.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.configuration.ProxyConfiguration;
import spurroad.fixture.ScriptedPeers;
import spurroad.fixture.ScriptedPeers.Client;
import spurroad.fixture.ScriptedPeers.Peer;
import spurroad.protocol.ByteSource;

/**
 * Values over 64 KiB that the origin sends without a Content-Length, chunked or up to the end of the
 * connection. Guards against values that are never served, or read whole before their length is checked: ten
 * of 4 MiB at once exhausted the heap.
 */
public class UnsizedValueTest {
    private static final int LONG_BYTES = 4 * 1024 * 1024;
    private static final int SMALL_MEMORY_MB = 64; // leaves memory for one value of 4 MiB
    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String UP_TO_END = "HTTP/1.1 200 OK\r\n\r\n";

    private interface Script {
        /** Responds to a request; the connection is closed afterwards if it returns false. */
        boolean respond(Socket socket, String key) throws Exception;
    }

    /** An origin whose responses a script writes. */
    private static final class Origin implements AutoCloseable {
        private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

        private Origin(Script script) throws IOException {
            ScriptedPeers.daemon(() -> {
                while (true) {
                    Socket socket = server.accept();
                    ScriptedPeers.daemon(() -> serve(socket, script));
                }
            });
        }

        private static void serve(Socket socket, Script script) throws Exception {
            try (socket) {
                ByteSource in = new ByteSource(socket.getInputStream());
                String key = readRequest(in);
                while (key != null && script.respond(socket, key)) {
                    key = readRequest(in);
                }
            }
        }

        /** Returns the key of the next request; null at the end of the connection. */
        private static String readRequest(ByteSource in) throws IOException {
            String first = in.readLine(9000);
            for (String line = first; line != null && !line.isEmpty();) {
                line = in.readLine(9000);
            }
            return first == null ? null : first.split(" ")[1].substring(1);
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    private static byte[] value(int length) {
        byte[] value = new byte[length];
        new Random(length).nextBytes(value);
        return value;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static void writeChunk(Socket socket, byte[] value, int from, int to, String extension)
        throws IOException {
        write(socket, Integer.toHexString(to - from) + extension + "\r\n");
        socket.getOutputStream().write(value, from, to - from);
        write(socket, "\r\n");
    }

    private static Script oneChunk(byte[] value) {
        return (socket, key) -> {
            write(socket, CHUNKED);
            writeChunk(socket, value, 0, value.length, "");
            write(socket, "0\r\n\r\n");
            return true;
        };
    }

    private static Script randomChunks(byte[] value, int maxBytes, String extension, String trailers) {
        Random random = new Random(value.length);
        return (socket, key) -> {
            write(socket, CHUNKED);
            for (int from = 0; from < value.length;) {
                int to = Math.min(value.length, from + 1 + random.nextInt(maxBytes));
                writeChunk(socket, value, from, to, extension);
                from = to;
            }
            write(socket, "0\r\n" + trailers + "\r\n");
            return true;
        };
    }

    private static Script upToEnd(byte[] value) {
        return (socket, key) -> {
            write(socket, UP_TO_END);
            socket.getOutputStream().write(value);
            return false;
        };
    }

    private static ProxyService proxy(Origin origin, int memoryMb) throws Exception {
        Peer node = new Peer(message -> message.startsWith("stats") ? "STAT inflight 0\r\nEND\r\n"
            : "EN O" + RunningProxy.id(message) + "\r\n");
        String list = ScriptedPeers.list(1, true,
            ScriptedPeers.target("s-1", "m1", node.port, "active", 0),
            ScriptedPeers.target("s-o", "origin", origin.server.getLocalPort(), "active", 0));
        Peer discovery = new Peer(message -> RunningProxy.WATCH);
        return RunningProxy.service(new ProxyConfiguration(ScriptedPeers.start(discovery.port, 256, list)
            .replace("\"memory_mb\":192", "\"memory_mb\":" + memoryMb)));
    }

    private static String read(String key, String id, int timeoutMillis) {
        return "mg " + key + " v O" + id + " Pc=read,t=acme,d=" + timeoutMillis + "\r\n";
    }

    private static void assertServed(Client client, String id, byte[] value) throws IOException {
        assertEquals(client.line(), "VA " + value.length + " O" + id);
        byte[] received = new byte[value.length];
        client.in.readFully(received, 0, received.length);
        assertTrue(Arrays.equals(received, value), "the value differs");
        assertEquals(client.line(), "");
    }

    @DataProvider
    Object[][] forms() {
        List<Object[]> cases = new ArrayList<>();
        for (int length : new int[] {65_537, 131_072, 1_000_003, LONG_BYTES}) {
            byte[] value = value(length);
            cases.add(new Object[] {length + " in one chunk", value, oneChunk(value)});
            cases.add(new Object[] {length + " in chunks", value, randomChunks(value, 100_000, "", "")});
            cases.add(new Object[] {length + " in small chunks with extensions and trailers", value,
                randomChunks(value, 900, ";name=\"" + "x".repeat(200) + "\"", "Expires: 0\r\nX-A: b\r\n")});
            cases.add(new Object[] {length + " up to the end", value, upToEnd(value)});
        }
        return cases.toArray(Object[][]::new);
    }

    @Test(dataProvider = "forms")
    public void servesValueOfUnknownLength(String name, byte[] value, Script script) throws Exception {
        try (Origin origin = new Origin(script); Client client = new Client(proxy(origin, 192).port())) {
            for (int i = 0; i < 2; i++) {
                client.say(read("k" + i, "r" + i, 9000));
                assertServed(client, "r" + i, value);
            }
            assertEquals(client.say("mn\r\n").line(), "MN", "the connection stays usable");
        }
    }

    /** They are served one after another where there is memory for one of them only. */
    @Test
    public void servesManyLongValuesAtOnce() throws Exception {
        byte[] value = value(LONG_BYTES);
        try (Origin origin = new Origin(oneChunk(value))) {
            int port = proxy(origin, SMALL_MEMORY_MB).port();
            List<Future<?>> reads = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                String id = "r" + i;
                reads.add(CompletableFuture.runAsync(() -> {
                    try (Client client = new Client(port)) {
                        client.say(read("k" + id, id, 9000));
                        assertServed(client, id, value);
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                }, task -> ScriptedPeers.daemon(task::run)));
            }
            for (Future<?> read : reads) {
                read.get();
            }
        }
    }

    @DataProvider
    Object[][] faults() {
        byte[] value = value(LONG_BYTES);
        return new Object[][] {{"breaks off", (Script) (socket, key) -> {
            write(socket, CHUNKED + Integer.toHexString(LONG_BYTES) + "\r\n");
            socket.getOutputStream().write(value, 0, LONG_BYTES / 2);
            return false;
        }}, {"malformed chunk", (Script) (socket, key) -> {
            write(socket, CHUNKED);
            writeChunk(socket, value, 0, LONG_BYTES / 2, "");
            write(socket, "x\r\n");
            return true;
        }}, {"too long", (Script) (socket, key) -> {
            write(socket, CHUNKED);
            writeChunk(socket, value, 0, LONG_BYTES, "");
            write(socket, "1\r\n");
            return true;
        }}, {"falls silent", (Script) (socket, key) -> {
            write(socket, CHUNKED + Integer.toHexString(LONG_BYTES) + "\r\n");
            socket.getOutputStream().write(value, 0, LONG_BYTES / 2);
            return true;
        }}, {"reset instead of an end", (Script) (socket, key) -> {
            write(socket, UP_TO_END);
            socket.getOutputStream().write(value, 0, LONG_BYTES / 2);
            Thread.sleep(200);
            socket.setSoLinger(true, 0);
            return false;
        }}};
    }

    /**
     * Nothing of the value was sent, so the client gets an error; and the memory of the value is released.
     */
    @Test(dataProvider = "faults")
    public void failsValueThatIsIncomplete(String name, Script fault) throws Exception {
        byte[] value = value(LONG_BYTES);
        Script whole = oneChunk(value);
        try (Origin origin = new Origin((socket, key) -> (key.startsWith("bad") ? fault : whole)
            .respond(socket, key)); Client client = new Client(proxy(origin, SMALL_MEMORY_MB).port())) {
            for (int i = 0; i < 3; i++) {
                String answer = client.say(read("bad" + i, "b" + i, 3000)).line();
                assertTrue(answer.startsWith("SERVER_ERROR "), answer);
            }
            client.say(read("good", "g", 9000));
            assertServed(client, "g", value);
        }
    }

    /** A client that does not read holds the only memory for a long value. */
    @Test
    public void answersInTimeWhileThereIsNoMemory() throws Exception {
        byte[] value = value(LONG_BYTES);
        try (Origin origin = new Origin(oneChunk(value))) {
            int port = proxy(origin, SMALL_MEMORY_MB).port();
            Socket slow = new Socket();
            slow.setReceiveBufferSize(16 * 1024);
            slow.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            write(slow, read("slow", "s", 9000));
            assertEquals(slow.getInputStream().read(), 'V');
            try (Client client = new Client(port)) {
                long sentAt = System.nanoTime();
                String answer = client.say(read("k", "r", 2000)).line();
                long millis = (System.nanoTime() - sentAt) / 1_000_000;
                assertTrue(answer.startsWith("SERVER_ERROR "), answer);
                assertTrue(millis < 2000, "answered after " + millis + " ms");
                slow.close();
                client.say(read("k", "r2", 9000));
                assertServed(client, "r2", value);
            }
        }
    }
}
