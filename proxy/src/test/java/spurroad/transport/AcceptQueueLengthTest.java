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

/** The length of an accept queue, as the system tells it. */
public class AcceptQueueLengthTest {
    private static final String HEADING = "  sl  local_address rem_address   st tx_queue rx_queue tr ...\n";
    private static final int PORT = 0x1F90;

    /** Sockets of either kind, and the length read from them; null where there is no such file. */
    @DataProvider
    Object[][] listings() {
        String listening = "   0: 0100007F:1F90 00000000:0000 0A 00000000:00000007 00:00000000 0 0 0 1\n";
        String anotherPort = "   1: 0100007F:1F91 00000000:0000 0A 00000000:00000003 00:00000000 0 0 0 1\n";
        String connected = "   2: 0100007F:1F90 0100007F:A332 01 00000000:00000009 00:00000000 0 0 0 1\n";
        String ipv6 = "   0: 0000000000000000FFFF00000100007F:1F90 00000000000000000000000000000000:0000 0A"
            + " 00000000:0000000B 00:00000000 0 0 0 1\n";
        return new Object[][] {{HEADING + anotherPort + listening + connected, HEADING, OptionalInt.of(7)},
            {HEADING + listening + listening, HEADING + ipv6, OptionalInt.of(25)},
            {HEADING, HEADING + ipv6, OptionalInt.of(11)}, {HEADING + anotherPort, null, OptionalInt.empty()},
            {null, null, OptionalInt.empty()}, {HEADING + connected, HEADING, OptionalInt.empty()},
            {HEADING + "garbage\n", HEADING, OptionalInt.empty()}, {"", "", OptionalInt.empty()},
            {HEADING + listening.replace("00000007", "0000000x"), HEADING, OptionalInt.empty()}};
    }

    @Test(dataProvider = "listings")
    public void readsTheLengthFromTheListening(String ipv4, String ipv6, OptionalInt length)
        throws Exception {
        Path folder = Files.createTempDirectory("accept-queue");
        assertEquals(new AcceptQueueLength(file(folder, "tcp", ipv4), file(folder, "tcp6", ipv6)).read(PORT),
            length);
    }

    private static Path file(Path folder, String name, String text) throws IOException {
        Path file = folder.resolve(name);
        return text == null ? file : Files.writeString(file, text);
    }

    @Test
    public void readsTheLengthOfASocketOfThisSystem() throws Exception {
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
