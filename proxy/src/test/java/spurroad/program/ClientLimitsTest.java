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
    public void silentAndUnfinishedConnectionsAreClosedAndUsedOnesAreNot() throws Exception {
        try (Peer n = new Peer(hit("v")); Peer o = new Peer(m -> ok(""))) {
            ProxyService s = proxy(n, o);
            try (Client asked = new Client(s.port());
                Client silent = new Client(s.port());
                Client half = new Client(s.port()).say("mg k v O2 Pc=re")) {
                assertEquals(asked.say(READ).line() + asked.line(), "VA 1 O1v");
                assertNull(silent.line());
                assertNull(half.line());
                assertEquals(asked.say("mn\r\n").line(), "MN");
            }
        }
    }

    /** Guards against idle clients that hold all connections: they send one request and stay connected. */
    @Test(timeOut = 60_000)
    public void inACrowdIdleConnectionsAreClosedSoonAndByAReset() throws Exception {
        try (Peer n = new Peer(hit("v")); Peer o = new Peer(m -> ok(""))) {
            ProxyService s = proxy(n, o);
            List<Client> stay = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                stay.add(new Client(s.port()));
                assertEquals(stay.get(i).say(READ).line() + stay.get(i).line(), "VA 1 O1v");
            }
            assertThrows(SocketException.class, () -> stay.get(0).in.readLine(9));
            for (Client c : stay) {
                c.close();
            }
        }
    }

    /** Guards against new connections that are closed as idle while their first request is on its way. */
    @Test(timeOut = 60_000)
    public void aNewConnectionIsNotClosedBeforeItsFirstRequest() throws Exception {
        try (Peer n = new Peer(hit("v")); Peer o = new Peer(m -> ok(""))) {
            ProxyService s = proxy(new Peer(m -> WATCH), 70,
                ScriptedPeers.target("s-1", "m1", n.port, "active", 0));
            List<Client> fresh = new ArrayList<>();
            for (int i = 0; i < 24; i++) {
                fresh.add(new Client(s.port()));
            }
            for (Client c : fresh) {
                assertTrue(c.say(READ).line().matches("VA 1 O1|SERVER_ERROR busy.*"));
                c.close();
            }
        }
    }

    /** Guards against connections that are lost in the accept queue when descriptors are scarce. */
    @Test(timeOut = 60_000)
    public void whereAllClientsAreBusyTheNextIsRejected() throws Exception {
        try (Peer n = new Peer(m -> null); Peer o = new Peer(m -> null)) {
            ProxyService s = proxy(new Peer(m -> WATCH), 70,
                ScriptedPeers.target("s-1", "m1", n.port, "active", 0),
                ScriptedPeers.target("s-o", "origin", o.port, "active", 0));
            List<Client> busy = new ArrayList<>();
            for (int i = 0; i < 24; i++) {
                // 18 permits and some guests; the begun command keeps a connection from being idle
                busy.add(new Client(s.port()).say("mn\r\nmg k"));
                assertEquals(busy.get(i).line(), "MN");
            }
            try (Client next = new Client(s.port())) {
                assertTrue(next.say(READ).line().startsWith("SERVER_ERROR busy "));
                assertNull(next.line(), "the rejected connection is not closed");
            }
            for (Client c : busy) {
                c.close();
            }
        }
    }

    @Test(timeOut = 60_000)
    public void whereDescriptorsRunOutIdleClientsGiveWay() throws Exception {
        try (Peer n = new Peer(hit("v")); Peer o = new Peer(m -> ok(""))) {
            ProxyService s = proxy(new Peer(m -> WATCH), 70,
                ScriptedPeers.target("s-1", "m1", n.port, "active", 0));
            List<Client> clients = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                Client c = new Client(s.port());
                String line = c.say(READ).line();
                while (line.startsWith("SERVER_ERROR busy")) {
                    c.close(); // no client has been idle for long enough yet
                    c = new Client(s.port());
                    line = c.say(READ).line();
                }
                clients.add(c);
                assertEquals(line + c.line(), "VA 1 O1v");
            }
            assertNull(clients.get(0).line(), "the connection that was idle longest is still open");
            for (Client c : clients) {
                c.close();
            }
        }
    }
}
