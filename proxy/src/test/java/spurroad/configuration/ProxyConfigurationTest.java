package spurroad.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.fixture.ScriptedPeers;
import spurroad.model.Effect;
import spurroad.model.EndpointKindId;
import spurroad.model.Fleet;
import spurroad.model.ZoneId;

/** Values of a configuration, and error messages that name the faulty key. */
public class ProxyConfigurationTest {
    private static final String VALID = ScriptedPeers.start(8500, 1024,
        ScriptedPeers.list(41, true, ScriptedPeers.target("s", "m1", 1, "active", 0)));

    @Test
    public void readsSameSettingsFromFileAndSimulatorLines() {
        ProxyConfiguration configuration = new ProxyConfiguration(VALID);
        DeploymentSettings lines = DeploymentSettings
            .fromLines("tickUs=5000\ndiscovery=on_request\nkinds=m1,origin\n"
                + "failureDomains=a\nfamilyInfo.mode=aside\nfamilyInfo.originKind=1\nprojects.count=1\n"
                + "projects.0.name=acme\nprojects.0.allowancePerS=1000.0\nallowed.cancel=true\n"
                + "allowed.probes=true\n"
                + "allowed.retryAfter=true\nallowed.maxRetryAfterUs=2000000\nallowed.mostExecutions=6\n"
                + "allowed.connectTimeoutUs=250000\nallowed.idleCloseUs=60000000\nreport.columns=rif\n"
                + "tracks.count=2\n"
                + "tracks.0.name=read\ntracks.0.effect=retryable\ntracks.0.sloTimeUs=8000000\n"
                + "tracks.0.importance=1\n"
                + "tracks.1.name=put\ntracks.1.effect=dedup\ntracks.1.dedupScope=all\n"
                + "tracks.1.dedupWindowUs=9000000\n"
                + "tracks.1.sloTimeUs=8000000\ntracks.1.importance=5\n");
        assertEquals(configuration.settings.deployment, lines.deployment);
        assertEquals(lines.deployment.originKind(), new EndpointKindId(1));
        assertEquals(lines.deployment.requestClasses().get(1).effect(), Effect.DEDUPLICATED);
        assertEquals(List.of(configuration.settings.requestClassNames, configuration.settings.tenantNames,
            configuration.settings.endpointNames.kinds(), configuration.settings.endpointNames.zones()),
            List.of(List.of("read", "put"), List.of("acme"), List.of("m1", "origin"), List.of("a")));
        assertEquals(
            List.of(configuration.name, configuration.seed, configuration.initialEndpoints.revision()),
            List.of("n1", 0x7fL, 41L));
    }

    @Test
    public void limitsConnectionPermitsByDescriptorsAndMemory() {
        int defaultPermits = new ProxyConfiguration(VALID).connectionPermits;
        assertTrue(defaultPermits < 1024, "the virtual machine has descriptors of its own");
        assertTrue(
            new ProxyConfiguration(VALID.replace(":1024", ":512")).connectionPermits < defaultPermits - 500);
        assertTrue(
            new ProxyConfiguration(VALID.replace(":192", ":96")).connectionPermits < defaultPermits / 2,
            "the virtual machine takes a fixed part of the memory");
        assertEquals(
            new ProxyConfiguration(VALID.replaceFirst("\"limits\":\\{[^}]*\\},", "")).connectionPermits,
            defaultPermits);
    }

    /** Inherited descriptors and a system limit below the configured one reduce the permits. */
    @Test
    public void limitsConnectionPermitsByProcessLimits() {
        int defaultPermits = new ProxyConfiguration(VALID).connectionPermits;
        assertEquals(
            new ProxyConfiguration(VALID, Map.of(), new ProcessLimits(100, 20_000)).connectionPermits,
            defaultPermits - 100);
        assertEquals(new ProxyConfiguration(VALID, Map.of(), new ProcessLimits(0, 300)).connectionPermits,
            defaultPermits - (1024 - 300));
        assertEquals(new ProxyConfiguration(VALID, Map.of(), new ProcessLimits(0, 2048)).connectionPermits,
            defaultPermits);
        assertTrue(
            new ProxyConfiguration(VALID, Map.of(), new ProcessLimits(5_000, 300)).connectionPermits > 0);
        assertEquals(ProcessLimits.ofThisProcess().maxOpenFiles() > 0, true);
    }

    @Test
    public void namesChangesThatNeedRestart() {
        String other = VALID.replace(":8500", ":8600").replace("\"seed\":\"7f\"", "\"seed\":\"8\"");
        assertEquals(new ProxyConfiguration(VALID).restartOnlyChanges(new ProxyConfiguration(other)),
            List.of());
        other = other.replace(":192", ":256").replace("\"n1\"", "\"n2\"");
        assertEquals(new ProxyConfiguration(VALID).restartOnlyChanges(new ProxyConfiguration(other)),
            List.of("limits", "name"));
    }

    @DataProvider
    Object[][] faults() {
        return new Object[][] {{"{", "BALANCER_CONFIG", "JSON"}, {"[]", "the whole", "object"},
            {VALID.replace("\"name\":\"n1\"", "\"x\":1"), "name", "missing"},
            {VALID.replace("\"n1\"", "1"), "name", "text"},
            {VALID.replace("\"listen\"", "\"x\""), "listen", "missing"},
            {VALID.replace("127.0.0.1:0", "localhost:0"), "listen", "address"},
            {VALID.replace("127.0.0.1:8500", "127.0.0.1"), "discovery", "address"},
            {VALID.replace("\"seed\":\"7f\"", "\"seed\":\"x\""), "seed", "hexadecimal"},
            {VALID.replace(":1024", ":10"), "limits.sockets", "number"},
            {VALID.replace(":192", ":\"192\""), "limits.memory_mb", "number"},
            {VALID.replace("\"limits\":{", "\"limits\":1,\"x\":{"), "limits", "object"},
            {VALID.replace("\"known\"", "\"x\""), "known", "missing"},
            {VALID.replace("\"uid\"", "\"x\""), "known", "uid"},
            {VALID.replace("\"settings\"", "\"x\""), "settings", "missing"},
            {VALID.replace("\"tracks\"", "\"x\""), "tracks", "missing"},
            {VALID.replace("\"retryable\"", "\"often\""), "tracks.0.effect", "unknown"},
            {VALID.replace("\"sloTimeUs\":8000000", "\"x\":1"), "tracks.0.sloTimeUs", "missing"},
            {VALID.replace("\"allowancePerS\":1000", "\"allowancePerS\":\"x\""), "projects.0.allowancePerS",
                "number"},
            {VALID.replace("\"tickUs\":5000", "\"tickUs\":true"), "tickUs", "number"},
            {VALID.replace("\"seed\"", "\"admin_addr\":\"here\",\"seed\""), "admin_addr", "address"},
            {VALID.replace("\"seed\"", "\"admin_addr\":7,\"seed\""), "admin_addr", "text"},
            {VALID.replace("\"mostExecutions\":6", "\"mostExecutions\":0"), "allowed.mostExecutions",
                "over 0"},
            {VALID.replace("\"sloTimeUs\":8000000", "\"sloTimeUs\":-1"), "tracks.0.sloTimeUs", "over 0"},
            {VALID.replace("\"importance\":5", "\"statementTimeoutUs\":0"), "tracks.1.statementTimeoutUs",
                "over 0"},
            {VALID.replace("\"put\"", "\"read\""), "tracks.1.name", "another class"},
            {VALID.replace("\"probes\":true", "\"probes\":1"), "allowed.probes", "true nor false"}};
    }

    @Test(dataProvider = "faults")
    public void reportsFaultInOneLineThatNamesKey(String text, String key, String expectedPart) {
        String message = expectThrows(InvalidSettingException.class, () -> new ProxyConfiguration(text))
            .getMessage();
        assertTrue(message.contains(key) && message.contains(expectedPart), message);
        assertFalse(message.contains("\n"));
    }

    private static String withGossip(String proxies, String settings) {
        return VALID.replace("\"settings\":{", proxies + "\"settings\":{" + settings)
            .replace("\"allowed\":{", "\"allowed\":{\"peers\":true,");
    }

    /** The file of a proxy with gossip allowed, the faulty key, and a part of the error message. */
    @DataProvider
    Object[][] gossipFaults() {
        String two = "\"proxies\":[\"127.0.0.1:7001\",\"127.0.0.1:7002\"],";
        String count = "\"balancers\":2,";
        return new Object[][] {{withGossip("", count), "proxies", "2 addresses"},
            {withGossip(two, "\"balancers\":3,"), "proxies", "3 addresses"},
            {withGossip(two.replace("7002", "7001"), count), "proxies.1", "another proxy"},
            {withGossip(two.replace("7002", "0"), count), "proxies.1", "no port"},
            {withGossip(two.replace("127.0.0.1:7002", "there"), count), "proxies.1", "address"},
            {withGossip(two, count + "\"index\":2,"), "index", "none of the 2"},
            {withGossip(two, count + "\"index\":0.5,"), "index", "none of the 2"},
            {withGossip(two, count + "\"myZone\":1,"), "myZone", "none of the 1"},
            {withGossip(two, count + "\"deductions\":{\"crossZone\":\"x\"},"), "deductions.crossZone",
                "number"},
            {VALID.replace("\"allowed\":{", "\"allowed\":{\"peers\":1,"), "allowed.peers", "true nor false"}};
    }

    @Test(dataProvider = "gossipFaults")
    public void reportsFaultOfGossipSettingsWithKey(String text, String key, String expectedPart) {
        String message = expectThrows(InvalidSettingException.class, () -> new ProxyConfiguration(text))
            .getMessage();
        assertTrue(message.contains(key) && message.contains(expectedPart), message);
    }

    /** By default gossip is disabled; the own zone is used only if requests across zones are costly. */
    @Test
    public void readsFleetAndDefaultsToStandalone() {
        assertEquals(new ProxyConfiguration(VALID).settings.deployment.fleet(), Fleet.STANDALONE);
        ProxyConfiguration configuration = new ProxyConfiguration(
            withGossip("\"proxies\":[\"127.0.0.1:7001\",\"127.0.0.1:7002\"],",
                "\"balancers\":2,\"index\":1,\"myZone\":0,\"deductions\":{\"crossZone\":0.13},"));
        assertEquals(configuration.settings.deployment.fleet(), new Fleet(new ZoneId(0), 1, 2, true));
        assertEquals(configuration.peerAddresses.get(1).getPort(), 7002);
        assertTrue(configuration.connectionPermits < new ProxyConfiguration(VALID).connectionPermits,
            "the gossip socket takes descriptors");
    }

    @Test
    public void prefersAdminAddressOfEnvironment() {
        String file = VALID.replace("\"seed\"", "\"admin_addr\":\"127.0.0.1:7\",\"seed\"");
        assertEquals(new ProxyConfiguration(VALID).adminAddress, null);
        assertEquals(new ProxyConfiguration(file).adminAddress.getPort(), 7);
        assertEquals(
            new ProxyConfiguration(file, Map.of("BALANCER_ADMIN_ADDR", "127.0.0.1:8")).adminAddress.getPort(),
            8);
        assertTrue(
            new ProxyConfiguration(file).connectionPermits < new ProxyConfiguration(VALID).connectionPermits,
            "admin connections take descriptors");
        assertTrue(expectThrows(InvalidSettingException.class,
            () -> new ProxyConfiguration(VALID, Map.of("BALANCER_LISTEN_FD", "3")))
            .getMessage().contains("BALANCER_LISTEN_FD"));
    }

    @Test
    public void rejectsUnsetOrMissingFile() {
        for (Map<String, String> environment : List.of(Map.<String, String>of(),
            Map.of("BALANCER_CONFIG", "/none"))) {
            assertTrue(expectThrows(InvalidSettingException.class,
                () -> ProxyConfiguration.fromEnvironment(environment))
                .getMessage().contains("BALANCER_CONFIG"));
        }
    }
}
