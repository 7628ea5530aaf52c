package spurroad.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static spurroad.program.RunningProxy.READ;
import static spurroad.program.RunningProxy.WATCH;
import static spurroad.program.RunningProxy.hit;
import static spurroad.program.RunningProxy.ok;
import static spurroad.program.RunningProxy.proxy;

import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import spurroad.fixture.ScriptedPeers;
import spurroad.fixture.ScriptedPeers.Client;
import spurroad.fixture.ScriptedPeers.Peer;

/** Which client connections are closed when they are idle, unfinished or more than the descriptors allow. */
public class ClientLimitsTest {
    @Test(timeOut = 60_000)
    public void closesSilentAndUnfinishedConnectionsButNotUsedOnes() throws Exception {
        try (Peer node = new Peer(hit("v")); Peer origin = new Peer(m -> ok(""))) {
            ProxyService proxy = proxy(node, origin);
            try (Client asked = new Client(proxy.port());
                Client silent = new Client(proxy.port());
                Client half = new Client(proxy.port()).say("mg k v O2 Pc=re")) {
                assertEquals(asked.say(READ).line() + asked.line(), "VA 1 O1v");
                assertNull(silent.line());
                assertNull(half.line());
                assertEquals(asked.say("mn\r\n").line(), "MN");
            }
        }
    }

    /** Guards against idle clients that hold all connections: they send one request and stay connected. */
    @Test(timeOut = 60_000)
    public void resetsIdleConnectionsSoonWhenManyAreConnected() throws Exception {
        try (Peer node = new Peer(hit("v")); Peer origin = new Peer(m -> ok(""))) {
            ProxyService proxy = proxy(node, origin);
            List<Client> idleClients = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                idleClients.add(new Client(proxy.port()));
                assertEquals(idleClients.get(i).say(READ).line() + idleClients.get(i).line(), "VA 1 O1v");
            }
            assertThrows(SocketException.class, () -> idleClients.get(0).in.readLine(9));
            for (Client client : idleClients) {
                client.close();
            }
        }
    }

    /** Guards against new connections that are closed as idle while their first request is on its way. */
    @Test(timeOut = 60_000)
    public void keepsNewConnectionUntilItsFirstRequest() throws Exception {
        try (Peer node = new Peer(hit("v")); Peer origin = new Peer(m -> ok(""))) {
            ProxyService proxy = proxy(new Peer(m -> WATCH), 70,
                ScriptedPeers.target("s-1", "m1", node.port, "active", 0));
            List<Client> newClients = new ArrayList<>();
            for (int i = 0; i < 24; i++) {
                newClients.add(new Client(proxy.port()));
            }
            for (Client client : newClients) {
                assertTrue(client.say(READ).line().matches("VA 1 O1|SERVER_ERROR busy.*"));
                client.close();
            }
        }
    }

    /** Guards against connections that are lost in the accept queue when descriptors are scarce. */
    @Test(timeOut = 60_000)
    public void rejectsFurtherClientWhenAllAreBusy() throws Exception {
        try (Peer node = new Peer(m -> null); Peer origin = new Peer(m -> null)) {
            ProxyService proxy = proxy(new Peer(m -> WATCH), 70,
                ScriptedPeers.target("s-1", "m1", node.port, "active", 0),
                ScriptedPeers.target("s-o", "origin", origin.port, "active", 0));
            List<Client> busy = new ArrayList<>();
            for (int i = 0; i < 24; i++) {
                // 18 permits and some guests; the begun command keeps a connection from being idle
                busy.add(new Client(proxy.port()).say("mn\r\nmg k"));
                assertEquals(busy.get(i).line(), "MN");
            }
            try (Client next = new Client(proxy.port())) {
                assertTrue(next.say(READ).line().startsWith("SERVER_ERROR busy "));
                assertNull(next.line(), "the rejected connection is not closed");
            }
            for (Client client : busy) {
                client.close();
            }
        }
    }

    @Test(timeOut = 60_000)
    public void closesIdleClientsWhenDescriptorsRunOut() throws Exception {
        try (Peer node = new Peer(hit("v")); Peer origin = new Peer(m -> ok(""))) {
            ProxyService proxy = proxy(new Peer(m -> WATCH), 70,
                ScriptedPeers.target("s-1", "m1", node.port, "active", 0));
            List<Client> clients = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                Client client = new Client(proxy.port());
                String line = client.say(READ).line();
                while (line.startsWith("SERVER_ERROR busy")) {
                    client.close(); // no client has been idle for long enough yet
                    client = new Client(proxy.port());
                    line = client.say(READ).line();
                }
                clients.add(client);
                assertEquals(line + client.line(), "VA 1 O1v");
            }
            assertNull(clients.get(0).line(), "the connection that was idle longest is still open");
            for (Client client : clients) {
                client.close();
            }
        }
    }
}
