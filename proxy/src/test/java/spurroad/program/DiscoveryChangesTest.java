package spurroad.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;
import static spurroad.program.RunningProxy.READ;
import static spurroad.program.RunningProxy.WATCH;
import static spurroad.program.RunningProxy.hit;
import static spurroad.program.RunningProxy.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.Test;
import spurroad.configuration.ProxyConfiguration;
import spurroad.fixture.ScriptedPeers;
import spurroad.fixture.ScriptedPeers.Client;
import spurroad.fixture.ScriptedPeers.Peer;

/** A proxy that serves while its discovery changes the list, fails or moves. */
public class DiscoveryChangesTest {
    @Test(timeOut = 60_000)
    public void followsEndpointListAndPollsAgainAfterFaults() throws Exception {
        List<String> requestLines = new ArrayList<>();
        try (Peer node = new Peer(hit("v"));
            Peer discovery = new Peer(m -> {
                requestLines.add(m.split("\n")[0]);
                String line = ScriptedPeers.list(7, true,
                    ScriptedPeers.target("s-1", "m1", node.port, "active", 0));
                return switch (requestLines.size()) {
                    case 1 -> "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n";
                    case 2 -> WATCH + "a\r\n{\"rev\":8}\n\r\n";
                    case 3 -> WATCH + "5\r\n{\"rev\r\n0\r\n\r\n";
                    case 4 -> WATCH + ScriptedPeers.chunk(line) + "0\r\n\r\n";
                    default -> WATCH;
                };
            });
            Client client = new Client(proxy(discovery, 256).port())) {
            String line = client.say(READ).line();
            while (line.startsWith("SERVER_ERROR busy")) {
                line = client.say(READ).line(); // the proxy has no endpoint list yet
            }
            assertEquals(line, "VA 1 O1");
            for (String since : List.of("1", "1", "1", "1", "7")) {
                assertTrue(
                    discovery.await("GET").startsWith("GET /catalog/members?follow=1&since=" + since + " "));
            }
        }
    }

    @Test(timeOut = 60_000)
    public void sendsNothingNewToDrainingEndpointAndDisconnectsRemovedOne() throws Exception {
        CountDownLatch watched = new CountDownLatch(1);
        try (Peer a = new Peer(hit("a"));
            Peer b = new Peer(hit("b"));
            Peer discovery = new Peer(m -> {
                watched.countDown();
                return null;
            });
            Client client = new Client(
                proxy(discovery, 256, ScriptedPeers.target("s-a", "m1", a.port, "active", 0)).port())) {
            assertEquals(client.say(READ).line() + client.line(), "VA 1 O1a");
            watched.await();
            discovery
                .say(WATCH + ScriptedPeers.chunk(
                    ScriptedPeers.list(2, false, ScriptedPeers.target("s-a", "m1", a.port, "leaving", 0),
                        ScriptedPeers.target("s-b", "m1", b.port, "active", 0))));
            while (client.say(READ).line().startsWith("VA") && !client.line().equals("b")) {
                continue; // the proxy has not applied the change yet
            }
            for (int i = 0; i < 30; i++) {
                assertEquals(client.say(READ.replace("mg k", "mg k" + i)).line() + client.line(), "VA 1 O1b");
            }
            discovery.say(ScriptedPeers
                .chunk(ScriptedPeers.list(3, false, ScriptedPeers.target("s-a", "m1", a.port, "left", 0))));
            assertEquals(a.await("closed"), "closed");
        }
    }

    /**
     * Guards against a program that ends on SIGHUP. The discovery address changes twice in a row, first to
     * one that does not respond yet.
     */
    @Test(timeOut = 60_000)
    public void followsNewDiscoveryAddressAtOnceAndIgnoresInvalidSettings() throws Exception {
        try (Peer a = new Peer(hit("a"));
            Peer b = new Peer(hit("b"));
            Peer silent = new Peer(m -> null);
            Peer second = new Peer(
                m -> WATCH
                    + ScriptedPeers.chunk(
                        ScriptedPeers.list(9, true, ScriptedPeers.target("s-b", "m1", b.port, "active", 0))));
            Peer first = new Peer(
                m -> WATCH
                    + ScriptedPeers.chunk(ScriptedPeers.list(7, true,
                        ScriptedPeers.target("s-a", "m1", a.port, "active", 0))))) {
            ProxyService proxy = proxy(first, 256, ScriptedPeers.target("s-a", "m1", a.port, "active", 0));
            try (Client client = new Client(proxy.port())) {
                assertEquals(client.say(READ).line() + client.line(), "VA 1 O1a");
                first.await("GET");
                for (String invalid : List.of("", "{", ScriptedPeers.start(1, 256, "{}"))) {
                    proxy.reload(() -> new ProxyConfiguration(invalid));
                }
                proxy.reload(
                    () -> new ProxyConfiguration(
                        ScriptedPeers.start(silent.port, 256, ScriptedPeers.list(1, true))));
                proxy.reload(
                    () -> new ProxyConfiguration(
                        ScriptedPeers.start(second.port, 256, ScriptedPeers.list(1, true))));
                assertNotNull(second.await("GET /catalog/members?follow=1&since="));
                assertEquals(first.await("closed"), "closed",
                    "the old watch was kept after the new one sent a list");
                String line = client.say(READ).line() + client.line();
                for (int i = 0; i < 2000 && !line.equals("VA 1 O1b"); i++) {
                    assertEquals(line, "VA 1 O1a", "a request failed during the change");
                    line = client.say(READ).line() + client.line();
                }
                assertEquals(line, "VA 1 O1b");
                assertEquals(first.connections.get(), 1, "an invalid file caused another poll");
            }
        }
    }
}
