package spurroad.transport;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The length of an accept queue, as the operating system reports it. */
public class AcceptQueueLengthTest {
    private static final String HEADER = "  sl  local_address rem_address   st tx_queue rx_queue tr ...\n";
    private static final int PORT = 0x1F90;

    /** IPv4 and IPv6 socket tables, null if the file is missing, and the length expected from them. */
    @DataProvider
    Object[][] socketTables() {
        String listening = "   0: 0100007F:1F90 00000000:0000 0A 00000000:00000007 00:00000000 0 0 0 1\n";
        String anotherPort = "   1: 0100007F:1F91 00000000:0000 0A 00000000:00000003 00:00000000 0 0 0 1\n";
        String connected = "   2: 0100007F:1F90 0100007F:A332 01 00000000:00000009 00:00000000 0 0 0 1\n";
        String ipv6 = "   0: 0000000000000000FFFF00000100007F:1F90 00000000000000000000000000000000:0000 0A"
            + " 00000000:0000000B 00:00000000 0 0 0 1\n";
        return new Object[][] {{HEADER + anotherPort + listening + connected, HEADER, OptionalInt.of(7)},
            {HEADER + listening + listening, HEADER + ipv6, OptionalInt.of(25)},
            {HEADER, HEADER + ipv6, OptionalInt.of(11)}, {HEADER + anotherPort, null, OptionalInt.empty()},
            {null, null, OptionalInt.empty()}, {HEADER + connected, HEADER, OptionalInt.empty()},
            {HEADER + "garbage\n", HEADER, OptionalInt.empty()}, {"", "", OptionalInt.empty()},
            {HEADER + listening.replace("00000007", "0000000x"), HEADER, OptionalInt.empty()}};
    }

    @Test(dataProvider = "socketTables")
    public void sumsLengthsOfListeningSocketsOfPort(String ipv4, String ipv6, OptionalInt length)
        throws Exception {
        Path directory = Files.createTempDirectory("accept-queue");
        assertEquals(
            new AcceptQueueLength(writeTable(directory, "tcp", ipv4), writeTable(directory, "tcp6", ipv6))
                .read(PORT),
            length);
    }

    private static Path writeTable(Path directory, String name, String text) throws IOException {
        Path file = directory.resolve(name);
        return text == null ? file : Files.writeString(file, text);
    }

    @Test
    public void readsLengthOfOpenListeningSocket() throws Exception {
        ServerSocketChannel socket = ServerSocketChannel.open()
            .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        int port = socket.socket().getLocalPort();
        List<Socket> clients = new ArrayList<>();
        AcceptQueueLength length = new AcceptQueueLength();
        try {
            for (int queued = 0; queued < 5; queued++) {
                assertEquals(length.read(port), OptionalInt.of(queued));
                clients.add(new Socket(InetAddress.getLoopbackAddress(), port));
            }
            socket.accept().close();
            assertEquals(length.read(port), OptionalInt.of(4));
        } finally {
            for (Socket client : clients) {
                client.close();
            }
            socket.close();
        }
    }
}
