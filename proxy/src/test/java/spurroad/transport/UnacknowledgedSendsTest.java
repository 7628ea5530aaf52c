package spurroad.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against sent bytes that count as delivered because the kernel has taken them. */
public class UnacknowledgedSendsTest {
    private static final Path MISSING = Path.of("no-such-table");
    private static final String HEADER = "  sl  local_address rem_address   st tx_queue rx_queue\n";
    private static final String MAPPED = "0000000000000000FFFF0000"; // an IPv4 address in IPv6
    private static final String IPV6 = "B80D01200000000000000000"; // 2001:db8::

    @DataProvider
    Object[][] connections() throws Exception {
        InetAddress ipv4 = InetAddress.getByName("127.0.0.2");
        InetAddress ipv6 = InetAddress.getByName("2001:db8::5");
        return new Object[][] {
            {"0100007F:1F90 0200007F:C350 01 00000001:00000000 00:0", ipv4, true},
            {"0100007F:1F90 0200007F:C350 01 00000000:00000009 00:0", ipv4, false},
            {"0100007F:1F90 0200007F:C351 01 00000001:00000000 00:0", ipv4, false},
            {"0100007F:1F91 0200007F:C350 01 00000001:00000000 00:0", ipv4, false},
            {MAPPED + "0100007F:1F90 " + MAPPED + "0200007F:C350 01 00000100:00000000 0", ipv4, true},
            {IPV6 + "01000000:1F90 " + IPV6 + "05000000:C350 01 00000100:00000000 0", ipv6, true}};
    }

    @Test(dataProvider = "connections")
    public void findsConnectionInTable(String line, InetAddress remote, boolean expected) throws Exception {
        Path table = Files.writeString(Files.createTempFile("tcp", ""), HEADER + "   0: " + line + "\n");
        UnacknowledgedSends sends = UnacknowledgedSends.read(MISSING, table).orElseThrow();
        assertEquals(sends.contains(new InetSocketAddress(8080), new InetSocketAddress(remote, 50_000)),
            expected);
    }

    /** Reads may end inside lines, some of which lack fields; the last one lacks its end. */
    @Test
    public void findsConnectionsInLongTable() throws Exception {
        StringBuilder lines = new StringBuilder(HEADER);
        int connections = 5_000;
        for (int i = 0; i < connections; i++) {
            int remotePort = 10_000 + i;
            lines.append(String.format("%4d: 0100007F:1F90 0200007F:%04X 01 %08X:00000000 00:0 00 0%n", i,
                remotePort, i % 3));
            lines.append(i % 100 == 0 ? "cut off\n" : "");
        }
        lines.append("9999: 0100007F:1F90 0200007F:FFFF 01 00000001:00000000");
        Path table = Files.writeString(Files.createTempFile("tcp", ""), lines);
        UnacknowledgedSends sends = UnacknowledgedSends.read(table, MISSING).orElseThrow();
        InetAddress remote = InetAddress.getByName("127.0.0.2");
        for (int i = 0; i < connections; i++) {
            assertEquals(
                sends.contains(new InetSocketAddress(8080), new InetSocketAddress(remote, 10_000 + i)),
                i % 3 != 0, "connection " + i);
        }
        assertTrue(sends.contains(new InetSocketAddress(8080), new InetSocketAddress(remote, 65_535)));
    }

    @Test
    public void isEmptyWithoutTables() {
        assertEquals(UnacknowledgedSends.read(MISSING, MISSING), Optional.empty());
    }

    /** A peer whose buffers are full acknowledges the rest once it reads. */
    @Test
    public void followsRealConnection() throws Exception {
        try (ServerSocket server = new ServerSocket()) {
            server.setReceiveBufferSize(16 * 1024);
            server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            try (Socket sender = new Socket(server.getInetAddress(), server.getLocalPort());
                Socket reader = server.accept()) {
                sender.getOutputStream().write(new byte[300_000]);
                assertTrue(isUnacknowledged(sender));
                reader.getInputStream().readNBytes(300_000);
                for (int i = 0; i < 200 && isUnacknowledged(sender); i++) {
                    Thread.sleep(10); // acknowledgements may be delayed
                }
                assertFalse(isUnacknowledged(sender));
            }
        }
    }

    private static boolean isUnacknowledged(Socket socket) {
        return UnacknowledgedSends.read().orElseThrow().contains(
            (InetSocketAddress) socket.getLocalSocketAddress(),
            (InetSocketAddress) socket.getRemoteSocketAddress());
    }
}
