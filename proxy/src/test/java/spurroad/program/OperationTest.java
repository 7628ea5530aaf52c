package spurroad.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.testng.annotations.Test;
import spurroad.configuration.InvalidSettingException;
import spurroad.configuration.ProxyConfiguration;
import spurroad.fixture.ScriptedPeers;
import spurroad.fixture.ScriptedPeers.Client;
import spurroad.fixture.ScriptedPeers.Peer;

/** Operations on a serving proxy: metrics, drains and settings reloads. */
public class OperationTest {

    private static String metrics(ProxyService proxy) {
        StringBuilder all = new StringBuilder();
        proxy.metrics()
            .forEach(metric -> all.append(metric.name()).append('=').append(metric.value()).append(' '));
        return all.toString();
    }

    private static boolean setDrained(ProxyService proxy, String id, boolean drained)
        throws InterruptedException {
        AtomicBoolean known = new AtomicBoolean();
        CountDownLatch done = new CountDownLatch(1);
        Consumer<Boolean> onResult = listed -> {
            known.set(listed);
            done.countDown();
        };
        proxy.setDrained(id, drained, onResult);
        assertTrue(done.await(20, TimeUnit.SECONDS));
        return known.get();
    }

    private static String read(Client client, String key) throws Exception {
        String line = client.say(RunningProxy.READ.replace("mg k", "mg " + key)).line();
        return line.startsWith("VA") ? client.line() : line;
    }

    @Test
    public void sendsNothingToDrainedCacheNodeUntilItsReturn() throws Exception {
        try (Peer a = new Peer(RunningProxy.hit("a"));
            Peer b = new Peer(RunningProxy.hit("b"));
            Peer discovery = new Peer(m -> RunningProxy.WATCH)) {
            String first = ScriptedPeers.target("s-1", "m1", a.port, "active", 0);
            String second = ScriptedPeers.target("s-2", "m1", b.port, "active", 0);
            ProxyService proxy = RunningProxy.proxy(discovery, 256, first, second);
            try (Client client = new Client(proxy.port())) {
                assertTrue(!setDrained(proxy, "s-9", true), "drained an endpoint that was never listed");
                assertTrue(setDrained(proxy, "s-1", true));
                assertTrue(setDrained(proxy, "s-1", true), "a repeated drain is not idempotent");
                String again = ScriptedPeers.list(2, true, first, second) + "\n";
                discovery.say(Integer.toHexString(again.length()) + "\r\n" + again + "\r\n");
                for (int i = 0; i < 100; i++) {
                    assertEquals(read(client, "k" + i), "b");
                }
                assertTrue(a.received.stream().noneMatch(m -> m.startsWith("mg")),
                    "the drained node received requests after a new endpoint list");
                assertTrue(metrics(proxy).contains("discovered=2 ejected=1"), metrics(proxy));
                assertTrue(setDrained(proxy, "s-1", false));
                boolean used = false;
                for (int i = 0; i < 1000 && !used; i++) {
                    used = read(client, "k" + i).equals("a");
                }
                assertTrue(used, "one call does not end a repeated drain");
                assertTrue(setDrained(proxy, "s-1", true) && setDrained(proxy, "s-2", true));
                assertTrue(read(client, "k").startsWith("SERVER_ERROR"),
                    "expected an error at once, as all cache nodes are drained");
            }
        }
    }

    /** Whatever the outcomes are, results and outstanding requests add up to the requests taken. */
    @Test
    public void resultsAndOutstandingAddUpToRequestsTaken() throws Exception {
        Random random = new Random(5);
        try (Peer node = new Peer(
            m -> random.nextInt(4) == 0 ? null : random.nextInt(3) == 0 ? "SERVER_ERROR failed\r\n"
                : RunningProxy.hit("v").apply(m));
            Peer discovery = new Peer(m -> RunningProxy.WATCH)) {
            ProxyService proxy = RunningProxy.proxy(discovery, 256,
                ScriptedPeers.target("s-1", "m1", node.port, "active", 0));
            int requestsTaken = 0;
            for (int i = 0; i < 20; i++) {
                try (Client client = new Client(proxy.port())) {
                    for (int j = random.nextInt(4); j >= 0; j--, requestsTaken++) {
                        client.say(
                            RunningProxy.READ.replace("9000", "100").replace("O1", "Oi" + requestsTaken));
                        if (random.nextBoolean()) {
                            client.line();
                        }
                    }
                }
            }
            Thread.sleep(500);
            int sum = 0;
            for (String metric : metrics(proxy).split(" ")) {
                sum += metric.startsWith("results.read") || metric.startsWith("outstanding")
                    ? Integer.parseInt(metric.split("=")[1]) : 0;
            }
            assertTrue(sum > 0 && sum <= requestsTaken,
                "expected all requests except those of disconnected clients: " + metrics(proxy));
            assertTrue(metrics(proxy).contains("outstanding=0"), metrics(proxy));
        }
    }

    @Test
    public void replacesSettingsCompletelyOrNotAtAll() throws Exception {
        try (Peer node = new Peer(RunningProxy.hit("v"));
            Peer discovery = new Peer(m -> RunningProxy.WATCH)) {
            String known = ScriptedPeers.list(1, true,
                ScriptedPeers.target("s-1", "m1", node.port, "active", 0));
            String first = ScriptedPeers.start(discovery.port, 256, known);
            String other = first
                .replace("{\"name\":\"read\",", "{\"name\":\"look\",\"statementTimeoutUs\":9000000,")
                .replace("\"mostExecutions\":6", "\"mostExecutions\":2");
            ProxyService proxy = RunningProxy.service(new ProxyConfiguration(first));
            try (Client client = new Client(proxy.port())) {
                assertEquals(read(client, "k"), "v");
                for (String invalid : new String[] {"", other.substring(0, other.length() - 2), "[]",
                    other.replace("9000000,", "0,"),
                    other.replace("\"mostExecutions\":2", "\"mostExecutions\":0"),
                    other.replace("\"mostExecutions\":2,", ""), other.replace("\"seed\":\"7f\",", ""),
                    other.replace("\"name\":\"put\"", "\"name\":\"look\""),
                    other.replace("\"importance\":1", "\"x\":1"),
                    other.replace("\"cancel\":true", "\"cancel\":1")}) {
                    proxy.reload(() -> new ProxyConfiguration(invalid));
                    assertEquals(read(client, "k"), "v", invalid);
                }
                proxy.reload(() -> {
                    throw new InvalidSettingException("it can't be read");
                });
                assertTrue(metrics(proxy).contains("sighup_applied=0 sighup_rejected=11"), metrics(proxy));
                proxy.reload(() -> new ProxyConfiguration(other));
                String look = RunningProxy.READ.replace("c=read", "c=look");
                String line = client.say(look).line();
                for (int i = 0; i < 100 && line.startsWith("CLIENT_ERROR"); i++) {
                    line = client.say(look).line();
                }
                assertEquals(line, "VA 1 O1");
                client.line();
                assertEquals(client.say(RunningProxy.READ).line(), "CLIENT_ERROR unknown class",
                    "expected the removed class to be unknown");
                assertTrue(
                    metrics(proxy).contains("results.look.succeeded=1")
                        && metrics(proxy).contains("results.read.succeeded=11"),
                    "counts lost by the reload: " + metrics(proxy));
            }
        }
    }
}
