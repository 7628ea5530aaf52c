package spurroad.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.fixture.ScriptedPeers;
import spurroad.fixture.ScriptedPeers.Client;
import spurroad.fixture.ScriptedPeers.Peer;
import spurroad.protocol.ByteSource;

/**
 * Values far larger than the proxy buffers, from and to peers that are slow, split them anywhere or
 * disconnect.
 */
public class LongValueTest {
    private static final int LONG_BYTES = 4 * 1024 * 1024;

    private static byte[] value(int length) {
        byte[] value = new byte[length];
        new Random(length).nextBytes(value);
        return value;
    }

    private static byte[] line(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static ProxyService proxy(int node, int origin) throws Exception {
        return RunningProxy.proxy(new Peer(message -> RunningProxy.WATCH), 256,
            ScriptedPeers.target("s-1", "m1", node, "active", 0),
            ScriptedPeers.target("s-o", "origin", origin, "active", 0));
    }

    @DataProvider
    Object[][] lengths() {
        return new Object[][] {{65_536}, {65_537}, {131_072}, {1_000_003}, {LONG_BYTES}};
    }

    @Test(dataProvider = "lengths")
    public void forwardsValueUnchangedWhateverItsSegments(int length) throws Exception {
        byte[] value = value(length);
        Random random = new Random(3);
        ScriptedNode[] holder = new ScriptedNode[1];
        try (ScriptedNode node = holder[0] = new ScriptedNode((s, id) -> {
            byte[] whole = concat(line("VA " + length + " O" + id + " h1\r\n"), value, line("\r\n"));
            for (int at = 0; at < whole.length;) {
                int to = Math.min(whole.length, at + 1 + random.nextInt(100_000));
                holder[0].writeRange(s, whole, at, to);
                Thread.sleep(random.nextInt(3));
                at = to;
            }
        }); Client c = new Client(proxy(node.port(), 1).port())) {
            for (int i = 0; i < 2; i++) {
                assertEquals(c.say(RunningProxy.READ).line(), "VA " + length + " O1");
                byte[] received = new byte[length];
                c.in.readFully(received, 0, length);
                assertEquals(received, value);
                assertEquals(c.line(), "");
            }
            assertEquals(c.say("mn\r\n").line(), "MN", "the connection stays usable");
        }
    }

    private static byte[] concat(byte[]... parts) {
        int length = 0;
        for (byte[] part : parts) {
            length += part.length;
        }
        byte[] whole = new byte[length];
        int at = 0;
        for (byte[] part : parts) {
            System.arraycopy(part, 0, whole, at, part.length);
            at += part.length;
        }
        return whole;
    }

    @Test
    public void forwardsFirstBytesBeforeRestArrives() throws Exception {
        CountDownLatch firstBytesRead = new CountDownLatch(1);
        byte[] value = value(LONG_BYTES);
        ScriptedNode[] holder = new ScriptedNode[1];
        try (ScriptedNode node = holder[0] = new ScriptedNode((s, id) -> {
            holder[0].writeRange(s, line("VA " + LONG_BYTES + " O" + id + "\r\n"), 0,
                ("VA " + LONG_BYTES + " O" + id + "\r\n").length());
            holder[0].writeRange(s, value, 0, 100);
            firstBytesRead.await();
            holder[0].writeRange(s, value, 100, LONG_BYTES);
            s.getOutputStream().write(line("\r\n"));
        }); Client c = new Client(proxy(node.port(), 1).port())) {
            assertEquals(c.say(RunningProxy.READ).line(), "VA " + LONG_BYTES + " O1");
            byte[] received = new byte[LONG_BYTES];
            c.in.readFully(received, 0, 100);
            firstBytesRead.countDown();
            c.in.readFully(received, 100, LONG_BYTES - 100);
            assertEquals(received, value);
        }
    }

    @DataProvider
    Object[][] faults() {
        return new Object[][] {{"breaks off"}, {"spoils the line end"}, {"falls silent"}};
    }

    @Test(dataProvider = "faults")
    public void abortsResponseWhoseValueIsIncomplete(String fault) throws Exception {
        byte[] value = value(LONG_BYTES);
        ScriptedNode[] holder = new ScriptedNode[1];
        try (ScriptedNode node = holder[0] = new ScriptedNode((s, id) -> {
            s.getOutputStream().write(line("VA " + LONG_BYTES + " O" + id + "\r\n"));
            holder[0].writeRange(s, value, 0, fault.startsWith("spoils") ? LONG_BYTES : LONG_BYTES / 2);
            if (fault.startsWith("breaks")) {
                s.close();
            } else if (fault.startsWith("spoils")) {
                s.getOutputStream().write(line("xy"));
            }
        })) {
            ProxyService s = proxy(node.port(), 1);
            try (Client c = new Client(s.port())) {
                assertEquals(c.say(RunningProxy.READ).line(), "VA " + LONG_BYTES + " O1");
                long received = 0;
                try {
                    for (byte[] one = new byte[1]; received < LONG_BYTES + 2; received++) {
                        c.in.readFully(one, 0, 1);
                    }
                } catch (IOException e) {
                    // the connection was closed or reset
                }
                assertTrue(received <= LONG_BYTES, "the value was terminated as if it were complete");
                StringBuilder allMetrics = new StringBuilder();
                s.metrics().forEach(metric -> allMetrics.append(metric.name()).append('=')
                    .append(metric.value()).append(' '));
                assertTrue(allMetrics.toString().contains("results.read.aborted=1"), allMetrics.toString());
            }
        }
    }

    /**
     * Bytes that a client does not read stay with the cache node: the proxy reads no more than its own buffer
     * and the socket buffers hold.
     */
    @Test
    public void slowClientDelaysItsNodeButNotTheProxy() throws Exception {
        byte[] value = value(LONG_BYTES);
        ScriptedNode[] holder = new ScriptedNode[1];
        try (ScriptedNode node = holder[0] = new ScriptedNode((s, id) -> {
            s.setSendBufferSize(64 * 1024);
            s.getOutputStream().write(line("VA " + LONG_BYTES + " O" + id + "\r\n"));
            for (int at = 0; at < LONG_BYTES; at += 65_536) {
                holder[0].writeRange(s, value, at, at + 65_536);
            }
            s.getOutputStream().write(line("\r\n"));
        })) {
            ProxyService s = proxy(node.port(), 1);
            List<Socket> slow = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                Socket c = new Socket();
                c.setReceiveBufferSize(16 * 1024);
                c.connect(new java.net.InetSocketAddress(InetAddress.getLoopbackAddress(), s.port()));
                c.getOutputStream().write(line(RunningProxy.READ.replace("O1", "Oc" + i)));
                slow.add(c);
            }
            Thread.sleep(500);
            try (Client c = new Client(s.port())) {
                assertEquals(c.say("mn\r\n").line(), "MN");
            }
            for (int i = 0; i < slow.size(); i += 2) {
                slow.get(i).close(); // disconnect in the middle of the value
            }
            InputStream in = slow.get(1).getInputStream();
            assertEquals(in.readNBytes(LONG_BYTES + ("VA " + LONG_BYTES + " Oc1\r\n\r\n").length()).length,
                LONG_BYTES + ("VA " + LONG_BYTES + " Oc1\r\n\r\n").length());
        }
    }

    @Test
    public void forwardsLongWriteUnchanged() throws Exception {
        byte[] value = value(1_000_003);
        try (Peer origin = new Peer(message -> "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nr1");
            Peer node = new Peer(message -> null)) {
            ProxyService s = proxy(node.port, origin.port);
            try (Socket c = new Socket(InetAddress.getLoopbackAddress(), s.port())) {
                c.setSoTimeout(20_000);
                byte[] whole = concat(line("ms k " + value.length + " O1 Pc=put,t=acme,d=9000,k=5\r\n"),
                    value,
                    line("\r\nmn\r\n"));
                for (int at = 0; at < whole.length; at += 50_000) {
                    c.getOutputStream().write(whole, at, Math.min(50_000, whole.length - at));
                    Thread.sleep(1);
                }
                ByteSource in = new ByteSource(c.getInputStream());
                assertEquals(in.readLine(100), "HD O1 cr1");
                assertEquals(in.readLine(100), "MN");
                String heard = origin.await("PUT /k HTTP/1.1");
                assertTrue(heard.endsWith("\n" + new String(value, StandardCharsets.ISO_8859_1)),
                    "the value at the origin differs");
            }
        }
    }

    @DataProvider
    Object[][] invalidWrites() {
        return new Object[][] {{"ms k 4194305 O1 Pc=put,t=acme,d=9000,k=5\r\n", "CLIENT_ERROR bad length"},
            {"ms k 70000 O1 Pc=put,t=acme,d=9000,k=5\r\n" + "x".repeat(70_001) + "\r\n",
                "CLIENT_ERROR bad data chunk"},
            {"ms k 70000 O1 Pc=nothing,t=acme,d=9000,k=5\r\n" + "x".repeat(70_000) + "\r\n",
                "CLIENT_ERROR unknown class"}};
    }

    @Test(dataProvider = "invalidWrites")
    public void rejectsInvalidLongWriteWithReason(String text, String answer) throws Exception {
        try (Peer node = new Peer(message -> null); Client c = new Client(proxy(node.port, 1).port())) {
            assertEquals(c.say(text).line(), answer);
        }
    }
}
