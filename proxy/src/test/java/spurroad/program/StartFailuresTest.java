package spurroad.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import org.testng.annotations.Test;
import spurroad.configuration.ProxyConfiguration;
import spurroad.fixture.ScriptedPeers;
import spurroad.fixture.ScriptedPeers.Client;
import spurroad.fixture.ScriptedPeers.Peer;

/** Starts during which system calls fail for a short time. */
public class StartFailuresTest {
    private static final long HELD_MILLIS = 400;

    private static String configuration(Peer discovery, int port) {
        return ScriptedPeers.start(discovery.port, 256, ScriptedPeers.list(1, true)).replace("127.0.0.1:0",
            "127.0.0.1:" + port);
    }

    /** Another process releases the address shortly after the start begins. */
    @Test
    public void startWaitsForAddressInUse() throws Exception {
        try (Peer discovery = new Peer(message -> RunningProxy.WATCH);
            ServerSocket other = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            int port = other.getLocalPort();
            ScriptedPeers.daemon(() -> {
                Thread.sleep(HELD_MILLIS);
                other.close();
            });
            ProxyService service = RunningProxy
                .service(new ProxyConfiguration(configuration(discovery, port)));
            try (Client client = new Client(port)) {
                assertEquals(client.say("mn\r\n").line(), "MN");
            }
            RunningProxy.ending(service).join();
        }
    }

    @Test
    public void startFailsWhenAddressStaysInUse() throws Exception {
        try (Peer discovery = new Peer(message -> RunningProxy.WATCH);
            ServerSocket other = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            String start = configuration(discovery, other.getLocalPort());
            assertThrows(IOException.class, () -> RunningProxy.service(new ProxyConfiguration(start)));
        }
    }
}
