package spurroad.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.configuration.ProxyConfiguration;
import spurroad.fixture.ScriptedPeers;
import spurroad.fixture.ScriptedPeers.Client;
import spurroad.fixture.ScriptedPeers.Peer;

/**
 * A request that comes again with the same id after its client left. Guards against a non-idempotent write
 * that runs twice: nothing was known of the first one any more.
 */
public class RepeatedIdTest {
    private static final String DEDUPLICATED = "\"effect\":\"dedup\",\"dedupScope\":\"all\","
        + "\"dedupWindowUs\":9000000";
    private static final String NON_IDEMPOTENT = "\"effect\":\"fragile\"";
    private static final String WRITE = "ms k 1 Oid Pc=put,t=acme,d=5000,k=key1\r\na\r\n";
    private static final String READ = "mg k v Oid Pc=read,t=acme,d=5000\r\n";
    private static final long ORIGIN_MILLIS = 600;

    private static String execute(String message, AtomicInteger executions) {
        if (!message.startsWith("PUT ")) {
            return RunningProxy.ok("");
        }
        executions.incrementAndGet();
        try {
            Thread.sleep(ORIGIN_MILLIS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
        return RunningProxy.ok("r");
    }

    private static ProxyService proxy(Peer node, Peer origin, String effect) throws Exception {
        Peer discovery = new Peer(message -> RunningProxy.WATCH);
        String list = ScriptedPeers.list(1, true,
            ScriptedPeers.target("s-1", "m1", node.port, "active", 0),
            ScriptedPeers.target("s-o", "origin", origin.port, "active", 0));
        return RunningProxy.service(new ProxyConfiguration(
            ScriptedPeers.start(discovery.port, 256, list).replace(DEDUPLICATED, effect)));
    }

    /** How long the first client stays, whether it resets its connection, and the pause before the second. */
    @DataProvider
    Object[][] moments() {
        return new Object[][] {{50, false, 0}, {50, true, 0}, {100, false, 50}, {250, true, 50},
            {400, false, 0}, {400, false, 400}};
    }

    @Test(dataProvider = "moments", timeOut = 60_000)
    public void runsNonIdempotentWriteOnce(long stayMillis, boolean resets, long pauseMillis)
        throws Exception {
        AtomicInteger executions = new AtomicInteger();
        try (Peer node = new Peer(RunningProxy.hit("v"));
            Peer origin = new Peer(message -> execute(message, executions))) {
            int port = proxy(node, origin, NON_IDEMPOTENT).port();
            Client first = new Client(port).say(WRITE);
            Thread.sleep(stayMillis);
            if (resets) {
                first.reset();
            } else {
                first.close();
            }
            Thread.sleep(pauseMillis);
            try (Client second = new Client(port)) {
                assertEquals(second.say(WRITE).line(), "SERVER_ERROR failed", "it may have run");
                Thread.sleep(ORIGIN_MILLIS);
                assertEquals(executions.get(), 1);
                String other = second.say(WRITE.replace("Oid", "Oother")).line();
                assertEquals(other, "HD Oother cr", "another id is served");
            }
        }
    }

    /** A repeat that does no harm is served. */
    @Test(timeOut = 60_000)
    public void servesRepeatThatDoesNoHarm() throws Exception {
        AtomicInteger executions = new AtomicInteger();
        try (Peer node = new Peer(RunningProxy.hit("v"));
            Peer origin = new Peer(message -> execute(message, executions))) {
            int port = proxy(node, origin, DEDUPLICATED).port();
            for (String command : new String[] {READ, WRITE}) {
                Client first = new Client(port).say(command);
                Thread.sleep(100);
                first.close();
                try (Client second = new Client(port)) {
                    String line = second.say(command).line();
                    assertTrue(line.startsWith("VA 1 Oid") || line.equals("HD Oid cr"), line);
                }
            }
        }
    }
}
