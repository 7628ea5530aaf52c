package spurroad.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.configuration.ProxyConfiguration;
import spurroad.fixture.ScriptedPeers;
import spurroad.fixture.ScriptedPeers.Client;
import spurroad.fixture.ScriptedPeers.Peer;
import spurroad.program.ProxyService;
import spurroad.transport.Clock;
import spurroad.transport.EventLog;
import spurroad.transport.Threads;

/** Tests the messages that a proxy sends to cache nodes, the origin, discovery and other proxies. */
public class UpstreamMessagesFormTest {
    private static final String WATCH = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String FOUND = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
    private static final String LOAD_RESPONSE = "STAT inflight 0\r\nEND\r\n";
    private static final String HOST = "127.0.0.1:8080";
    private static final int REVISION = 41;
    private static final int RECEIVE_TIMEOUT_MILLIS = 200;
    private static final int MAX_REQUESTS = 100;
    /** Peer update about a tenant's requests: topic 2, tenant 0, one request. */
    private static final String TENANT_REQUEST = "02" + "0000000000000000" + "3f800000";

    private static String cacheNodeResponse(String message) {
        return message.startsWith("stats") ? LOAD_RESPONSE
            : "EN O" + message.replaceFirst("(?s).*? O(\\S+).*", "$1") + "\r\n";
    }

    private static ProxyService service(String settings) throws Exception {
        EventLog log = new EventLog();
        return new ProxyService(new ProxyConfiguration(settings), new Threads(log), log, new Clock(), null);
    }

    // ---- whole requests

    /** A read that misses at the cache node, a write, and the watch of the endpoint list. */
    @Test
    public void requestsHaveExpectedForm() throws Exception {
        try (Peer node = new Peer(UpstreamMessagesFormTest::cacheNodeResponse);
            Peer origin = new Peer(message -> FOUND);
            Peer discovery = new Peer(message -> WATCH)) {
            ProxyService proxy = service(ScriptedPeers.start(discovery.port, 256,
                ScriptedPeers.list(REVISION, true, ScriptedPeers.target("s-1", "m1", node.port, "active", 0),
                    ScriptedPeers.target("s-o", "origin", origin.port, "active", 0))));
            assertEquals(discovery.await("GET "), "GET /catalog/members?follow=1&since=41 HTTP/1.1\n"
                + "Host: 127.0.0.1:" + discovery.port + "\n");
            try (Client client = new Client(proxy.port())) {
                client.say("mg a/b v O1 Pc=read,t=acme,r=1,d=9000,h=20,size=7\r\n");
                assertEquals(client.line(), "VA 4 O1");
                assertTrue(node.await("mg ").matches(
                    "mg a/b v O1 Pc=read,t=acme,r=1,d=[1-9][0-9]{0,3},h=20,size=7"));
                checkOriginRequest(origin.await("GET /a"), "GET /a%2Fb HTTP/1.1", origin.port,
                    "c=read,t=acme,r=1,d=[1-9][0-9]{0,3},h=20,size=7", "1", "");
                client.line();
                client.say("ms a 5 O2 Pc=put,t=acme,d=9000,k=5c0f\r\nhello\r\n");
                assertEquals(client.line(), "HD O2 cbody");
                checkOriginRequest(origin.await("PUT "), "PUT /a HTTP/1.1", origin.port,
                    "c=put,t=acme,d=[1-9][0-9]{0,3},k=5c0f", "2", "Content-Length: 5\n\nhello");
            }
            proxy.end();
        }
    }

    /** Accepts both orders of the two headers; the recording peer adds the line between head and body. */
    private static void checkOriginRequest(String request, String firstLine, int port, String list,
                                           String id, String rest) {
        String head = firstLine + "\nHost: 127.0.0.1:" + port + "\n";
        assertTrue(request.startsWith(head), request);
        String extras = "X-Extras: " + list + "\n";
        String requestId = "X-Request-Id: " + id + "\n";
        String end = rest.replace("\n\n", "\n");
        assertTrue(request.substring(head.length())
            .matches("(" + extras + requestId + "|" + requestId + extras + ")" + end), request);
    }

    /** Proxies send each peer update as a datagram of its own. */
    @Test
    public void peerUpdateIsSentAsDatagram() throws Exception {
        try (DatagramSocket other = new DatagramSocket(0, InetAddress.getLoopbackAddress());
            DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress());
            Peer discovery = new Peer(message -> WATCH)) {
            other.setSoTimeout(RECEIVE_TIMEOUT_MILLIS);
            int own = free.getLocalPort();
            free.close();
            ProxyService proxy = service(
                withPeers(ScriptedPeers.start(discovery.port, 256, ScriptedPeers.list(1, true)),
                    other.getLocalPort(), own));
            assertEquals(firstDatagram(proxy, other), TENANT_REQUEST);
            proxy.end();
        }
    }

    /** Sends requests until a datagram arrives, as a proxy sends none before its own socket is open. */
    private static String firstDatagram(ProxyService proxy, DatagramSocket other) throws IOException {
        try (Client client = new Client(proxy.port())) {
            for (int i = 0; i < MAX_REQUESTS; i++) {
                client.say("mg k" + i + " v O" + i + " Pc=read,t=acme,d=9000\r\n");
                try {
                    return receive(other);
                } catch (SocketTimeoutException e) {
                    // the next request has another key
                }
            }
        }
        throw new AssertionError("no datagram received");
    }

    /** Returns settings of the second of two proxies; the first one owns tenant 0. */
    private static String withPeers(String settings, int first, int second) {
        return settings.replace("\"settings\":{", "\"proxies\":[\"127.0.0.1:" + first + "\",\"127.0.0.1:"
            + second + "\"],\"settings\":{\"balancers\":2,\"index\":1,")
            .replace("\"allowed\":{", "\"allowed\":{\"peers\":true,");
    }

    private static String receive(DatagramSocket socket) throws IOException {
        DatagramPacket packet = new DatagramPacket(new byte[64], 64);
        socket.receive(packet);
        return HexFormat.of().formatHex(packet.getData(), 0, packet.getLength());
    }

    // ---- load probes and the bytes after a long value

    /** Returns the load probe and the bytes after a long value, for a cache node and the origin. */
    @DataProvider
    Object[][] protocols() {
        return new Object[][] {{UpstreamProtocol.CACHE, "stats load\r\n", "\r\n"},
            {UpstreamProtocol.origin(HOST), "GET /_load HTTP/1.1\r\nHost: " + HOST + "\r\n\r\n", ""}};
    }

    @Test(dataProvider = "protocols")
    public void loadProbeHasExpectedForm(UpstreamProtocol protocol, String loadProbe, String afterValue) {
        assertEquals(text(protocol.message(null, 0)), loadProbe);
        assertEquals(text(protocol.afterValue()), afterValue);
    }

    private static String text(byte[] message) {
        return new String(message, StandardCharsets.ISO_8859_1);
    }
}
