package spurroad.program;

import static org.testng.Assert.assertEquals;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.Test;
import spurroad.admin.AdminServer;
import spurroad.admin.AdminServerTest;
import spurroad.fixture.ScriptedPeers;
import spurroad.fixture.ScriptedPeers.Client;
import spurroad.fixture.ScriptedPeers.Peer;
import spurroad.transport.Clock;
import spurroad.transport.EventLog;
import spurroad.transport.Threads;

/** The lines of {@code /stats} of a proxy with two request classes: names, types and their order. */
public class AdminStatsGoldenTest {
    private static final Path GOLDEN = Path.of("src/test/resources/golden/admin/stats.txt");
    private static final String END_OF_HEAD = "\r\n\r\n";

    @Test
    public void keepsNamesTypesAndOrderOfMetrics() throws Exception {
        try (Peer node = new Peer(RunningProxy.hit("v"));
            Peer discovery = new Peer(m -> RunningProxy.WATCH)) {
            ProxyService service = RunningProxy.proxy(discovery, 256,
                ScriptedPeers.target("s-1", "m1", node.port, "active", 0));
            try (Client client = new Client(service.port())) {
                assertEquals(client.say(RunningProxy.READ).line(), "VA 1 O1");
            }
            assertEquals(withoutValues(stats(service)), Files.readString(GOLDEN));
        }
    }

    private static String stats(ProxyService service) throws Exception {
        EventLog log = new EventLog();
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        AdminServer server = new AdminServer(anyPort, new Threads(log), log, new Clock());
        server.setRoutes(service.adminRoutes());
        String answer = AdminServerTest.call(server.port(), "GET", "/stats");
        server.close();
        return answer.substring(answer.indexOf(END_OF_HEAD) + END_OF_HEAD.length());
    }

    private static String withoutValues(String lines) {
        return lines.replaceAll("(?m):-?[0-9]+\\|", ":VALUE|");
    }
}
