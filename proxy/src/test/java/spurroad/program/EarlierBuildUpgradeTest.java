package spurroad.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.SkipException;
import org.testng.annotations.Test;
import spurroad.fixture.ScriptedPeers;
import spurroad.fixture.ScriptedPeers.Client;
import spurroad.fixture.ScriptedPeers.Peer;
import spurroad.overload.Platform;
import spurroad.overload.Platform.Proxy;

/**
 * Hot restarts between an earlier build of the proxy and the classes of this one, as real processes on one
 * listening socket. The property {@code spurroad.earlierJar} names the earlier jar; without it these tests
 * are skipped and check nothing.
 */
public class EarlierBuildUpgradeTest {
    private static final String EARLIER_JAR = "spurroad.earlierJar";
    private static final int READS = 50;
    private static final long END_SECONDS = 10;

    /** Returns the command that starts the earlier build; skips the test if there is no earlier jar. */
    private static String earlierBuild() {
        String jar = System.getProperty(EARLIER_JAR, "");
        if (jar.isEmpty()) {
            throw new SkipException("not run: no jar of an earlier build in the property " + EARLIER_JAR);
        }
        assertTrue(Files.isRegularFile(Path.of(jar)), "no jar at " + jar);
        return Platform.fromClasses().replaceFirst(" -cp .*", " -jar " + jar);
    }

    @Test
    public void thisBuildTakesOverFromEarlierBuild() throws Exception {
        upgrade(earlierBuild(), Platform.fromClasses());
    }

    /** Covers a rollback to the earlier build. */
    @Test
    public void earlierBuildTakesOverFromThisBuild() throws Exception {
        upgrade(Platform.fromClasses(), earlierBuild());
    }

    private static void upgrade(String oldCommand, String newCommand) throws Exception {
        try (Peer first = new Peer(RunningProxy.hit("first"));
            Peer second = new Peer(RunningProxy.hit("second"));
            Peer discovery = new Peer(m -> RunningProxy.WATCH);
            Platform platform = new Platform()) {
            String configuration = configuration(discovery, first, second);
            Proxy old = platform.ready(configuration, oldCommand);
            expectSuccess(old.call("POST", "/cache-nodes/s-1/maint"));
            expectReads(platform.port, "old", "second");
            Proxy next = platform.ready(configuration, newCommand);
            expectDrained(next, 1);
            expectCallsReachBothProcesses(old, next);
            expectReads(platform.port, "both", "second");
            endOldProcess(old, next);
            expectReads(platform.port, "next", "second");
            assertFalse(first.received.stream().anyMatch(m -> m.startsWith("mg")),
                "a drained node received requests");
            expectDrained(next, 1);
            returnToUse(next, platform.port);
        }
    }

    private static String configuration(Peer discovery, Peer first, Peer second) {
        String targets = ScriptedPeers.list(1, true,
            ScriptedPeers.target("s-1", "m1", first.port, "active", 0),
            ScriptedPeers.target("s-2", "m1", second.port, "active", 0));
        return ScriptedPeers.start(discovery.port, 256, targets)
            .replace("\"allowancePerS\":1000", "\"allowancePerS\":1000000"); // no tenant is over quota
    }

    /** Each process confirms an operator's drain only after the other process has applied it. */
    private static void expectCallsReachBothProcesses(Proxy old, Proxy next) throws Exception {
        for (Proxy called : new Proxy[] {old, next}) {
            expectSuccess(called.call("POST", "/cache-nodes/s-2/maint"));
            expectDrained(old, 2);
            expectDrained(next, 2);
            expectSuccess(called.call("POST", "/cache-nodes/s-2/ready"));
            expectDrained(old, 1);
            expectDrained(next, 1);
        }
    }

    private static void endOldProcess(Proxy old, Proxy next) throws Exception {
        old.terminate();
        assertTrue(old.ended(END_SECONDS), "the old process is still alive after " + END_SECONDS + " s");
        assertTrue(next.alive());
        assertFalse(Files.readString(old.log()).contains("can't"), Files.readString(old.log()));
        assertFalse(Files.readString(next.log()).contains("not believed"), Files.readString(next.log()));
        assertFalse(Files.readString(next.log()).contains("malformed shared file"),
            Files.readString(next.log()));
    }

    private static void returnToUse(Proxy proxy, int port) throws Exception {
        expectSuccess(proxy.call("POST", "/cache-nodes/s-1/ready"));
        expectDrained(proxy, 0);
        try (Client client = new Client(port)) {
            boolean used = false;
            for (int i = 0; i < 1000 && !used; i++) {
                used = read(client, "back" + i).equals("first");
            }
            assertTrue(used, "the node was not returned to use");
        }
    }

    private static void expectSuccess(String answer) {
        assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
    }

    private static void expectDrained(Proxy proxy, int nodes) throws Exception {
        String metrics = proxy.call("GET", "/stats");
        assertTrue(metrics.contains("proxy.ejected:" + nodes + "|g"), metrics);
    }

    /** New connections are all served by the node that is in use. */
    private static void expectReads(int port, String key, String value) throws Exception {
        for (int i = 0; i < READS; i++) {
            try (Client client = new Client(port)) {
                assertEquals(read(client, key + i), value);
            }
        }
    }

    private static String read(Client client, String key) throws Exception {
        String line = client.say(RunningProxy.READ.replace("mg k", "mg " + key).replace("O1", "O" + key))
            .line();
        return line != null && line.startsWith("VA") ? client.line() : "answered " + line;
    }
}
