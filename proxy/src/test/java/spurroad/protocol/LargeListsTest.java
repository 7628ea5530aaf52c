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
    private static final int LARGE_COUNT = 1100;
    private static final EndpointList.EndpointNames NAMES = new EndpointList.EndpointNames(
        List.of("m1", "origin"), List.of("a"), true);

    private static String[] targets(int nameLength) {
        String[] targets = new String[LARGE_COUNT];
        for (int i = 0; i < LARGE_COUNT; i++) {
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

    private static String chunked(String body, int maxChunkBytes) {
        StringBuilder text = new StringBuilder("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int start = 0; start < body.length(); start += maxChunkBytes) {
            String part = body.substring(start, Math.min(body.length(), start + maxChunkBytes));
            text.append(Integer.toHexString(part.length())).append("\r\n").append(part).append("\r\n");
        }
        return text.append("0\r\n\r\n").toString();
    }

    /**
     * The number of characters appended to names, whether the list is indented, and the maximum chunk size.
     */
    @DataProvider
    Object[][] listFormats() {
        return new Object[][] {{20, false, 1000}, {20, true, 1000}, {20, true, Integer.MAX_VALUE},
            {1500, false, Integer.MAX_VALUE}, {1500, true, 64_000}, {1500, true, Integer.MAX_VALUE}};
    }

    @Test(dataProvider = "listFormats")
    public void readsCompleteListOfManyEndpoints(int nameLength, boolean indented, int maxChunkBytes)
        throws Exception {
        String list = ScriptedPeers.list(7, true, targets(nameLength));
        String body = (indented ? indented(list) : list) + "\n";
        byte[] bytes = chunked(body, maxChunkBytes).getBytes(StandardCharsets.ISO_8859_1);
        ByteSource in = new ByteSource(new ByteArrayInputStream(bytes));
        EndpointList endpointList = EndpointList.read(
            Json.read(Http.readListText(Http.bodyStream(in, Http.readFinalHead(in)))),
            NAMES);
        assertEquals(endpointList.endpoints().size(), LARGE_COUNT);
        assertEquals(endpointList.endpoints().get(LARGE_COUNT - 1).address().getPort(), LARGE_COUNT);
    }

    /** Nearly every one of many cache nodes is a candidate for some keys. */
    @Test
    public void spreadsKeysOverNearlyAllOfManyEndpoints() throws Exception {
        String list = ScriptedPeers.list(7, true, targets(20));
        EndpointList endpointList = EndpointList.read(Json.read(list), NAMES);
        LoadBalancer loadBalancer = new LoadBalancer(
            new ProxyConfiguration(ScriptedPeers.start(1, 1024, list)).settings.deployment,
            1);
        Decisions decisions = new Decisions();
        long nowNanos = 1_000_000_000L;
        loadBalancer.onEndpointUpdate(nowNanos,
            endpointList.endpoints().stream().map(EndpointList.ListedEndpoint::endpoint).toList(), true,
            decisions);
        assertEquals(loadBalancer.adminStatus().listedEndpoints(), LARGE_COUNT);
        Set<EndpointId> used = new HashSet<>();
        for (long request = 0; request < 30 * LARGE_COUNT; request++) {
            decisions.clear();
            loadBalancer.onRequest(nowNanos, new RequestId(request), new RequestClassId(0), new TenantId(0),
                new CacheKey(request + 1), false, 0,
                4_000_000_000L, decisions);
            decisions.attemptsToStart.forEach(attempt -> used.add(attempt.endpoint()));
            decisions.clear();
            loadBalancer.onClientDisconnect(nowNanos, new RequestId(request), decisions);
        }
        assertTrue(used.size() > 0.95 * LARGE_COUNT, used.size() + " of " + LARGE_COUNT);
    }

    @Test
    public void readsConfigurationOfManyProxiesAndEndpoints() {
        List<String> proxies = new ArrayList<>();
        for (int i = 0; i < LARGE_COUNT; i++) {
            proxies.add("\"127.0.0.1:" + (10_000 + i) + "\"");
        }
        String text = ScriptedPeers.start(1, 1024, indented(ScriptedPeers.list(7, true, targets(20))))
            .replace("\"allowed\":{", "\"balancers\":" + LARGE_COUNT + ",\"index\":" + (LARGE_COUNT - 1)
                + ",\"allowed\":{\"peers\":true,")
            .replace("\"known\":", "\"proxies\":[" + String.join(",", proxies) + "],\"known\":");
        ProxyConfiguration configuration = new ProxyConfiguration(text);
        assertEquals(configuration.peerAddresses.size(), LARGE_COUNT);
        assertEquals(configuration.initialEndpoints.endpoints().size(), LARGE_COUNT);
        assertEquals(configuration.settings.deployment.fleet().proxyIndex(), LARGE_COUNT - 1);
        assertEquals(configuration.settings.deployment.fleet().proxyCount(), LARGE_COUNT);
    }
}
