package spurroad.protocol;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayInputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.balancer.LoadBalancer;
import spurroad.configuration.ProxyConfiguration;
import spurroad.fixture.ScriptedPeers;
import spurroad.model.CacheKey;
import spurroad.model.Decisions;
import spurroad.model.EndpointId;
import spurroad.model.RequestClassId;
import spurroad.model.RequestId;
import spurroad.model.TenantId;

/** Deployments with more cache nodes and proxies than any known one. */
public class LargeListsTest {
    private static final int MANY = 1100;
    private static final EndpointList.EndpointNames NAMES = new EndpointList.EndpointNames(
        List.of("m1", "origin"), List.of("a"), true);

    private static String[] targets(int nameLength) {
        String[] targets = new String[MANY];
        for (int i = 0; i < MANY; i++) {
            String uid = "node-" + i + "-" + "x".repeat(nameLength);
            targets[i] = ScriptedPeers.target(uid, "m1", 1 + i, "active", 0);
        }
        return targets;
    }

    private static String indented(String list) {
        StringBuilder text = new StringBuilder();
        String indent = "\n";
        for (char c : list.toCharArray()) {
            boolean closes = c == '}' || c == ']';
            indent = closes ? indent.substring(0, indent.length() - 4) : indent;
            text.append(closes ? indent : "").append(c);
            indent += c == '{' || c == '[' ? "    " : "";
            text.append(c == '{' || c == '[' || c == ',' ? indent : "");
        }
        return text.toString();
    }

    private static String chunked(String body, int most) {
        StringBuilder text = new StringBuilder("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int from = 0; from < body.length(); from += most) {
            String part = body.substring(from, Math.min(body.length(), from + most));
            text.append(Integer.toHexString(part.length())).append("\r\n").append(part).append("\r\n");
        }
        return text.append("0\r\n\r\n").toString();
    }

    /**
     * The number of characters appended to names, whether the list is indented, and the maximum chunk size.
     */
    @DataProvider
    Object[][] forms() {
        return new Object[][] {{20, false, 1000}, {20, true, 1000}, {20, true, Integer.MAX_VALUE},
            {1500, false, Integer.MAX_VALUE}, {1500, true, 64_000}, {1500, true, Integer.MAX_VALUE}};
    }

    @Test(dataProvider = "forms")
    public void aListOfManyNodesIsReadWhole(int nameLength, boolean indented, int chunk) throws Exception {
        String list = ScriptedPeers.list(7, true, targets(nameLength));
        String body = (indented ? indented(list) : list) + "\n";
        byte[] bytes = chunked(body, chunk).getBytes(StandardCharsets.ISO_8859_1);
        ByteSource in = new ByteSource(new ByteArrayInputStream(bytes));
        EndpointList read = EndpointList.read(
            Json.read(Http.readListText(Http.bodyStream(in, Http.readFinalHead(in)))),
            NAMES);
        assertEquals(read.endpoints().size(), MANY);
        assertEquals(read.endpoints().get(MANY - 1).address().getPort(), MANY);
    }

    /** Nearly every one of many cache nodes is a candidate for some keys. */
    @Test
    public void manyNodesAreUsed() throws Exception {
        String list = ScriptedPeers.list(7, true, targets(20));
        EndpointList read = EndpointList.read(Json.read(list), NAMES);
        LoadBalancer balance = new LoadBalancer(
            new ProxyConfiguration(ScriptedPeers.start(1, 1024, list)).settings.deployment,
            1);
        Decisions decided = new Decisions();
        long now = 1_000_000_000L;
        balance.onEndpointUpdate(now,
            read.endpoints().stream().map(EndpointList.ListedEndpoint::endpoint).toList(), true,
            decided);
        assertEquals(balance.adminStatus().listedEndpoints(), MANY);
        Set<EndpointId> used = new HashSet<>();
        for (long query = 0; query < 30 * MANY; query++) {
            decided.clear();
            balance.onRequest(now, new RequestId(query), new RequestClassId(0), new TenantId(0),
                new CacheKey(query + 1), false, 0,
                4_000_000_000L, decided);
            decided.attemptsToStart.forEach(s -> used.add(s.endpoint()));
            decided.clear();
            balance.onClientDisconnect(now, new RequestId(query), decided);
        }
        assertTrue(used.size() > 0.95 * MANY, used.size() + " of " + MANY);
    }

    @Test
    public void settingsOfManyProxiesAndNodesAreRead() {
        List<String> proxies = new ArrayList<>();
        for (int i = 0; i < MANY; i++) {
            proxies.add("\"127.0.0.1:" + (10_000 + i) + "\"");
        }
        String text = ScriptedPeers.start(1, 1024, indented(ScriptedPeers.list(7, true, targets(20))))
            .replace("\"allowed\":{", "\"balancers\":" + MANY + ",\"index\":" + (MANY - 1)
                + ",\"allowed\":{\"peers\":true,")
            .replace("\"known\":", "\"proxies\":[" + String.join(",", proxies) + "],\"known\":");
        ProxyConfiguration start = new ProxyConfiguration(text);
        assertEquals(start.peerAddresses.size(), MANY);
        assertEquals(start.initialEndpoints.endpoints().size(), MANY);
        assertEquals(start.settings.deployment.fleet().proxyIndex(), MANY - 1);
        assertEquals(start.settings.deployment.fleet().proxyCount(), MANY);
    }
}
