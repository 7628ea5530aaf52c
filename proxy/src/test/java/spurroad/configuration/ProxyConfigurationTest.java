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
    private static final String GOOD = ScriptedPeers.start(8500, 1024,
        ScriptedPeers.list(41, true, ScriptedPeers.target("s", "m1", 1, "active", 0)));

    @Test
    public void aFileAndTheSimulatorsLinesGiveTheSameSettings() {
        ProxyConfiguration configuration = new ProxyConfiguration(GOOD);
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
    public void connectionPermitsFitIntoDescriptorsAndMemory() {
        int all = new ProxyConfiguration(GOOD).connectionPermits;
        assertTrue(all < 1024, "the virtual machine has descriptors of its own");
        assertTrue(new ProxyConfiguration(GOOD.replace(":1024", ":512")).connectionPermits < all - 500);
        assertTrue(new ProxyConfiguration(GOOD.replace(":192", ":96")).connectionPermits < all / 2,
            "the virtual machine takes a fixed part of the memory");
        assertEquals(
            new ProxyConfiguration(GOOD.replaceFirst("\"limits\":\\{[^}]*\\},", "")).connectionPermits, all);
    }

    /** Inherited descriptors and a system limit below the configured one reduce the permits. */
    @Test
    public void connectionPermitsFitIntoTheLimitsOfTheProcess() {
        int all = new ProxyConfiguration(GOOD).connectionPermits;
        assertEquals(new ProxyConfiguration(GOOD, Map.of(), new ProcessLimits(100, 20_000)).connectionPermits,
            all - 100);
        assertEquals(new ProxyConfiguration(GOOD, Map.of(), new ProcessLimits(0, 300)).connectionPermits,
            all - (1024 - 300));
        assertEquals(new ProxyConfiguration(GOOD, Map.of(), new ProcessLimits(0, 2048)).connectionPermits,
            all);
        assertTrue(
            new ProxyConfiguration(GOOD, Map.of(), new ProcessLimits(5_000, 300)).connectionPermits > 0);
        assertEquals(ProcessLimits.ofThisProcess().maxOpenFiles() > 0, true);
    }

    @Test
    public void changesThatNeedARestartAreNamed() {
        String other = GOOD.replace(":8500", ":8600").replace("\"seed\":\"7f\"", "\"seed\":\"8\"");
        assertEquals(new ProxyConfiguration(GOOD).restartOnlyChanges(new ProxyConfiguration(other)),
            List.of());
        other = other.replace(":192", ":256").replace("\"n1\"", "\"n2\"");
        assertEquals(new ProxyConfiguration(GOOD).restartOnlyChanges(new ProxyConfiguration(other)),
            List.of("limits", "name"));
    }

    @DataProvider
    Object[][] faults() {
        return new Object[][] {{"{", "BALANCER_CONFIG", "JSON"}, {"[]", "the whole", "object"},
            {GOOD.replace("\"name\":\"n1\"", "\"x\":1"), "name", "missing"},
            {GOOD.replace("\"n1\"", "1"), "name", "text"},
            {GOOD.replace("\"listen\"", "\"x\""), "listen", "missing"},
            {GOOD.replace("127.0.0.1:0", "localhost:0"), "listen", "address"},
            {GOOD.replace("127.0.0.1:8500", "127.0.0.1"), "discovery", "address"},
            {GOOD.replace("\"seed\":\"7f\"", "\"seed\":\"x\""), "seed", "hexadecimal"},
            {GOOD.replace(":1024", ":10"), "limits.sockets", "number"},
            {GOOD.replace(":192", ":\"192\""), "limits.memory_mb", "number"},
            {GOOD.replace("\"limits\":{", "\"limits\":1,\"x\":{"), "limits", "object"},
            {GOOD.replace("\"known\"", "\"x\""), "known", "missing"},
            {GOOD.replace("\"uid\"", "\"x\""), "known", "uid"},
            {GOOD.replace("\"settings\"", "\"x\""), "settings", "missing"},
            {GOOD.replace("\"tracks\"", "\"x\""), "tracks", "missing"},
            {GOOD.replace("\"retryable\"", "\"often\""), "tracks.0.effect", "unknown"},
            {GOOD.replace("\"sloTimeUs\":8000000", "\"x\":1"), "tracks.0.sloTimeUs", "missing"},
            {GOOD.replace("\"allowancePerS\":1000", "\"allowancePerS\":\"x\""), "projects.0.allowancePerS",
                "number"},
            {GOOD.replace("\"tickUs\":5000", "\"tickUs\":true"), "tickUs", "number"},
            {GOOD.replace("\"seed\"", "\"admin_addr\":\"here\",\"seed\""), "admin_addr", "address"},
            {GOOD.replace("\"seed\"", "\"admin_addr\":7,\"seed\""), "admin_addr", "text"},
            {GOOD.replace("\"mostExecutions\":6", "\"mostExecutions\":0"), "allowed.mostExecutions",
                "over 0"},
            {GOOD.replace("\"sloTimeUs\":8000000", "\"sloTimeUs\":-1"), "tracks.0.sloTimeUs", "over 0"},
            {GOOD.replace("\"importance\":5", "\"statementTimeoutUs\":0"), "tracks.1.statementTimeoutUs",
                "over 0"},
            {GOOD.replace("\"put\"", "\"read\""), "tracks.1.name", "another class"},
            {GOOD.replace("\"probes\":true", "\"probes\":1"), "allowed.probes", "true nor false"}};
    }

    @Test(dataProvider = "faults")
    public void aFaultIsOneLineThatNamesTheKey(String text, String key, String what) {
        String line = expectThrows(InvalidSettingException.class, () -> new ProxyConfiguration(text))
            .getMessage();
        assertTrue(line.contains(key) && line.contains(what), line);
        assertFalse(line.contains("\n"));
    }

    private static String gossiping(String proxies, String settings) {
        return GOOD.replace("\"settings\":{", proxies + "\"settings\":{" + settings)
            .replace("\"allowed\":{", "\"allowed\":{\"peers\":true,");
    }

    /** The file of a proxy with gossip allowed, the faulty key, and a part of the error message. */
    @DataProvider
    Object[][] gossipFaults() {
        String two = "\"proxies\":[\"127.0.0.1:7001\",\"127.0.0.1:7002\"],";
        String count = "\"balancers\":2,";
        return new Object[][] {{gossiping("", count), "proxies", "2 addresses"},
            {gossiping(two, "\"balancers\":3,"), "proxies", "3 addresses"},
            {gossiping(two.replace("7002", "7001"), count), "proxies.1", "another proxy"},
            {gossiping(two.replace("7002", "0"), count), "proxies.1", "no port"},
            {gossiping(two.replace("127.0.0.1:7002", "there"), count), "proxies.1", "address"},
            {gossiping(two, count + "\"index\":2,"), "index", "none of the 2"},
            {gossiping(two, count + "\"index\":0.5,"), "index", "none of the 2"},
            {gossiping(two, count + "\"myZone\":1,"), "myZone", "none of the 1"},
            {gossiping(two, count + "\"deductions\":{\"crossZone\":\"x\"},"), "deductions.crossZone",
                "number"},
            {GOOD.replace("\"allowed\":{", "\"allowed\":{\"peers\":1,"), "allowed.peers", "true nor false"}};
    }

    @Test(dataProvider = "gossipFaults")
    public void faultsOfTheGossipSettingsNameTheKey(String text, String key, String what) {
        String line = expectThrows(InvalidSettingException.class, () -> new ProxyConfiguration(text))
            .getMessage();
        assertTrue(line.contains(key) && line.contains(what), line);
    }

    /** By default gossip is disabled; the own zone is used only if requests across zones are costly. */
    @Test
    public void theFleetIsReadWhereItIsGivenAndStandaloneOtherwise() {
        assertEquals(new ProxyConfiguration(GOOD).settings.deployment.fleet(), Fleet.STANDALONE);
        ProxyConfiguration configuration = new ProxyConfiguration(
            gossiping("\"proxies\":[\"127.0.0.1:7001\",\"127.0.0.1:7002\"],",
                "\"balancers\":2,\"index\":1,\"myZone\":0,\"deductions\":{\"crossZone\":0.13},"));
        assertEquals(configuration.settings.deployment.fleet(), new Fleet(new ZoneId(0), 1, 2, true));
        assertEquals(configuration.peerAddresses.get(1).getPort(), 7002);
        assertTrue(configuration.connectionPermits < new ProxyConfiguration(GOOD).connectionPermits,
            "the gossip socket takes descriptors");
    }

    @Test
    public void theAdminAddressOfTheEnvironmentTakesPrecedence() {
        String file = GOOD.replace("\"seed\"", "\"admin_addr\":\"127.0.0.1:7\",\"seed\"");
        assertEquals(new ProxyConfiguration(GOOD).adminAddress, null);
        assertEquals(new ProxyConfiguration(file).adminAddress.getPort(), 7);
        assertEquals(
            new ProxyConfiguration(file, Map.of("BALANCER_ADMIN_ADDR", "127.0.0.1:8")).adminAddress.getPort(),
            8);
        assertTrue(
            new ProxyConfiguration(file).connectionPermits < new ProxyConfiguration(GOOD).connectionPermits,
            "admin connections take descriptors");
        assertTrue(expectThrows(InvalidSettingException.class,
            () -> new ProxyConfiguration(GOOD, Map.of("BALANCER_LISTEN_FD", "3")))
            .getMessage().contains("BALANCER_LISTEN_FD"));
    }

    @Test
    public void aFileThatTheEnvironmentDoesNotNameIsAFault() {
        for (Map<String, String> environment : List.of(Map.<String, String>of(),
            Map.of("BALANCER_CONFIG", "/none"))) {
            assertTrue(expectThrows(InvalidSettingException.class,
                () -> ProxyConfiguration.fromEnvironment(environment))
                .getMessage().contains("BALANCER_CONFIG"));
        }
    }
}
