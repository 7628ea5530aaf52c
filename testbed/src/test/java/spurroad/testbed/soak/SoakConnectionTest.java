package spurroad.testbed.soak;

import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import org.testng.annotations.Test;

/** What a client of the soak can do with a connection that the proxy has reset. */
public class SoakConnectionTest {
    private static final int MAX_LOOKS = 1_000;

    /** A write that fails as IOException is a result of the soak; any other exception ends the client. */
    @Test(timeOut = 20_000)
    public void writesFailInOrderAfterAReset() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            SoakConnection connection = new SoakConnection(server.getLocalPort());
            connection.connect();
            try (Socket accepted = server.accept()) {
                accepted.setSoLinger(true, 0);
            }
            boolean ended = connection.hasEnded();
            for (int i = 0; !ended && i < MAX_LOOKS; i++) {
                Thread.sleep(1);
                ended = connection.hasEnded();
            }
            assertTrue(ended, "the reset has arrived");
            assertThrows(IOException.class, () -> connection.write("mg k v\r\n"));
            connection.close();
        }
    }
}
