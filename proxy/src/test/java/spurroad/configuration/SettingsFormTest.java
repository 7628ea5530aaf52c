package spurroad.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.model.DeduplicationScope;
import spurroad.model.Deployment;
import spurroad.model.Effect;
import spurroad.model.EndpointKindId;
import spurroad.model.Fleet;
import spurroad.model.RequestClass;
import spurroad.model.ZoneId;

/** Every key of the configuration: the field that it sets, its unit and its default. */
public class SettingsFormTest {
    private static final String MISSING = null;

    /** A configuration with the required keys only. */
    static final String MINIMAL = "{'name':'n1','listen':'127.0.0.1:11211','discovery':'127.0.0.1:8500',"
        + "'seed':'7f','known':{'targets':[]},"
        + "'settings':{'tracks':[{'name':'read','effect':'retryable','sloTimeUs':8000000}]}}";

    // ---- keys outside the settings

    /** A key, its value, the field and the expected value of the field. */
    @DataProvider
    Object[][] keys() {
        return new Object[][] {row("name", "'n2'", s -> s.name, "n2"),
            row("listen", "'10.0.0.1:1'", s -> s.listenAddress, new InetSocketAddress("10.0.0.1", 1)),
            row("discovery", "'[::1]:2'", s -> s.discoveryAddress, new InetSocketAddress("::1", 2)),
            row("seed", "'ffffffffffffffff'", s -> s.seed, -1L), row("seed", "'7F'", s -> s.seed, 0x7fL),
            row("admin_addr", MISSING, s -> s.adminAddress, null),
            row("admin_addr", "'10.0.0.1:3'", s -> s.adminAddress, new InetSocketAddress("10.0.0.1", 3)),
            row("limits.memory_mb", MISSING, s -> s.memoryMb, 192),
            row("limits.memory_mb", "64.9", s -> s.memoryMb, 64),
            row("limits.cores", MISSING, s -> s.cores, 1.0), row("limits.cores", "0.01", s -> s.cores, 0.01),
            row("limits.sockets", MISSING, s -> s.connectionPermits, 1024 - 20),
            row("limits.sockets", "64", s -> s.connectionPermits, 64 - 20),
            row("limits.sockets", "100000", s -> s.connectionPermits, 1309),
            row("limits.sockets", MISSING, s -> s.reservedDescriptors, 20),
            row("admin_addr", "'10.0.0.1:3'", s -> s.reservedDescriptors, 40),
            row("known.rev", MISSING, s -> s.initialEndpoints.revision(), 0L),
            row("known.rev", "41", s -> s.initialEndpoints.revision(), 41L),
            row("known.all", "true", s -> s.initialEndpoints.isComplete(), true),
            row("known.targets", "[{'uid':'s','endpoint':'10.0.0.1:4','az':'a','model':'m','state':'left'}]",
                s -> s.initialEndpoints.endpoints().size(), 1),
            row("proxies", "['10.0.0.1:5']", s -> s.peerAddresses, List.of()),
            row("settings.allowed", "{'peers':false}", s -> s.peerAddresses, List.of())};
    }

    private static Object[] row(String key, String json, Function<ProxyConfiguration, Object> field,
                                Object value) {
        return new Object[] {key, json, field, value};
    }

    @Test(dataProvider = "keys")
    public void readsKeyIntoField(String key, String json, Function<ProxyConfiguration, Object> field,
                                  Object value) {
        EditableJson file = new EditableJson(MINIMAL);
        String text = json == MISSING ? file.text() : file.with(key, json).text();
        assertEquals(field.apply(new ProxyConfiguration(text)), value, key);
    }

    @Test
    public void readsPeerAddressesIfGossipIsAllowed() {
        ProxyConfiguration configuration = new ProxyConfiguration(
            new EditableJson(MINIMAL).with("settings.allowed.peers", "true")
                .with("settings.balancers", "2").with("proxies", "['10.0.0.1:5','10.0.0.1:6']").text());
        assertEquals(configuration.peerAddresses,
            List.of(new InetSocketAddress("10.0.0.1", 5), new InetSocketAddress("10.0.0.1", 6)));
        assertEquals(configuration.reservedDescriptors, 23);
    }

    // ---- the environment

    @Test
    public void readsEnvironmentVariables() {
        ProxyConfiguration none = new ProxyConfiguration(new EditableJson(MINIMAL).text(), Map.of());
        assertNull(none.adminAddress);
        assertNull(none.restartDirectory);
        assertEquals(none.listenDescriptor, "");
        String file = new EditableJson(MINIMAL).with("admin_addr", "'10.0.0.1:3'").text();
        ProxyConfiguration all = new ProxyConfiguration(file, Map.of("BALANCER_ADMIN_ADDR", "10.0.0.1:7",
            "BALANCER_LISTEN_FD", "0", "TMPDIR", "/there"));
        assertEquals(all.adminAddress, new InetSocketAddress("10.0.0.1", 7));
        assertEquals(all.listenDescriptor, "0");
        assertEquals(all.restartDirectory, Path.of("/there/spurroad-n1"));
    }

    /** A proxy that opens its own socket shares no directory with other processes. */
    @Test
    public void sharesDirectoryOnlyWithInheritedSocket() {
        assertNull(new ProxyConfiguration(new EditableJson(MINIMAL).text(),
            Map.of("TMPDIR", "/there")).restartDirectory);
        assertNull(new ProxyConfiguration(new EditableJson(MINIMAL).text(),
            Map.of("BALANCER_LISTEN_FD", "0")).restartDirectory);
    }

    // ---- settings, from a file and from the simulator

    /** A key of the settings, its value, the field and the expected value of the field. */
    @DataProvider
    Object[][] generalSettings() {
        String two = "['m1','m2']";
        String project = "[{'name':'acme','allowancePerS':300},{'name':'b','allowancePerS':1.5}]";
        return new Object[][] {
            setting("kinds", MISSING, s -> s.endpointNames.kinds(), List.of()),
            setting("kinds", two, s -> s.endpointNames.kinds(), List.of("m1", "m2")),
            setting("failureDomains", MISSING, s -> s.endpointNames.zones(), List.of()),
            setting("failureDomains", two, s -> s.endpointNames.zones(), List.of("m1", "m2")),
            setting("weights", MISSING, s -> s.endpointNames.weighted(), false),
            setting("weights", "'off'", s -> s.endpointNames.weighted(), false),
            setting("weights", "'other'", s -> s.endpointNames.weighted(), false),
            setting("weights", "'nominal'", s -> s.endpointNames.weighted(), true),
            setting("weights", "'rough'", s -> s.endpointNames.weighted(), true),
            setting("report.columns", MISSING, s -> s.reportColumns, List.of()),
            setting("report.columns", "['busy','rif']", s -> s.reportColumns, List.of("busy", "rif")),
            setting("allowed.connectTimeoutUs", MISSING, s -> s.connectTimeoutNanos, 1_000_000_000L),
            setting("allowed.connectTimeoutUs", "2500", s -> s.connectTimeoutNanos, 2_500_000L),
            setting("allowed.maxOpen", MISSING, s -> s.maxOpenRequests, 20_000),
            setting("allowed.maxOpen", "7", s -> s.maxOpenRequests, 7),
            setting("allowed.maxOpen", "0", s -> s.maxOpenRequests, 1),
            setting("obligations.askWithinUs", MISSING, s -> s.maxPollIntervalNanos, 20_000_000_000L),
            setting("obligations.askWithinUs", "0", s -> s.maxPollIntervalNanos, 20_000_000_000L),
            setting("obligations.askWithinUs", "2500", s -> s.maxPollIntervalNanos, 2_500_000L),
            setting("tracks.0.name", "'get'", s -> s.requestClassNames, List.of("get")),
            setting("tracks.0.statementTimeoutUs", MISSING, s -> s.maxRequestTimeoutNanos, 0L),
            setting("tracks.0.statementTimeoutUs", "2500", s -> s.maxRequestTimeoutNanos, 2_500_000L),
            setting("projects", MISSING, s -> s.tenantNames, List.of()),
            setting("projects", project, s -> s.tenantNames, List.of("acme", "b"))};
    }

    /** The same for the fields of {@link Deployment}. */
    @DataProvider
    Object[][] deploymentSettings() {
        String project = "[{'name':'acme','allowancePerS':300},{'name':'b','allowancePerS':1.5}]";
        return new Object[][] {
            deployment("projects", MISSING, Deployment::tenantQuotasPerSecond, List.of()),
            deployment("projects", project, Deployment::tenantQuotasPerSecond, List.of(300.0, 1.5)),
            deployment("familyInfo", MISSING, Deployment::originKind, null),
            deployment("familyInfo", "{'mode':'aside','originKind':1}", Deployment::originKind,
                new EndpointKindId(1)),
            deployment("familyInfo", "{'mode':'through','originKind':1}", Deployment::originKind, null),
            deployment("familyInfo", "{'mode':'aside','originKind':-1}", Deployment::originKind, null),
            deployment("familyInfo", "{'mode':'aside'}", Deployment::originKind, null),
            deployment("familyInfo", "{'originKind':1}", Deployment::originKind, null),
            deployment("discovery", MISSING, Deployment::pollsDiscovery, false),
            deployment("discovery", "'pushed'", Deployment::pollsDiscovery, false),
            deployment("discovery", "'on_request'", Deployment::pollsDiscovery, true),
            deployment("allowed.probes", MISSING, Deployment::loadProbesAllowed, false),
            deployment("allowed.probes", "true", Deployment::loadProbesAllowed, true),
            deployment("allowed.cancel", MISSING, Deployment::cancellationAllowed, false),
            deployment("allowed.cancel", "true", Deployment::cancellationAllowed, true),
            deployment("allowed", "{'maxRetryAfterUs':2500}", Deployment::maxRetryAfterNanos, 0L),
            deployment("allowed", "{'retryAfter':true}", Deployment::maxRetryAfterNanos, 0L),
            deployment("allowed", "{'retryAfter':true,'maxRetryAfterUs':2500}",
                Deployment::maxRetryAfterNanos,
                2_500_000L),
            deployment("allowed.mostExecutions", MISSING, Deployment::maxAttempts, 1),
            deployment("allowed.mostExecutions", "6", Deployment::maxAttempts, 6),
            deployment("obligations.startCapacity", MISSING, Deployment::slowStartInitialFraction, 1.0),
            deployment("obligations.startCapacity", "0.3", Deployment::slowStartInitialFraction, 0.3),
            deployment("obligations.coldUs", MISSING, Deployment::slowStartNanos, 0L),
            deployment("obligations.coldUs", "2500", Deployment::slowStartNanos, 2_500_000L),
            deployment("tickUs", MISSING, Deployment::clockTickNanos, 0L),
            deployment("tickUs", "0.5", Deployment::clockTickNanos, 500L),
            deployment("allowed.idleCloseUs", MISSING, Deployment::idleTimeoutNanos,
                2_305_843_009_213_692_928L),
            deployment("allowed.idleCloseUs", "2500", Deployment::idleTimeoutNanos, 2_500_000L)};
    }

    /** The same for the fields of a request class, called a track in the settings. */
    @DataProvider
    Object[][] requestClassSettings() {
        return new Object[][] {requestClass("effect", "'retryable'", RequestClass::effect, Effect.IDEMPOTENT),
            requestClass("effect", "'dedup'", RequestClass::effect, Effect.DEDUPLICATED),
            requestClass("effect", "'fragile'", RequestClass::effect, Effect.NON_IDEMPOTENT),
            requestClass("dedupScope", MISSING, RequestClass::deduplicationScope, DeduplicationScope.CELL),
            requestClass("dedupScope", "'cell'", RequestClass::deduplicationScope, DeduplicationScope.CELL),
            requestClass("dedupScope", "'other'", RequestClass::deduplicationScope, DeduplicationScope.CELL),
            requestClass("dedupScope", "'zone'", RequestClass::deduplicationScope, DeduplicationScope.ZONE),
            requestClass("dedupScope", "'all'", RequestClass::deduplicationScope, DeduplicationScope.ALL),
            requestClass("dedupWindowUs", MISSING, RequestClass::deduplicationWindowNanos, 0L),
            requestClass("dedupWindowUs", "2500", RequestClass::deduplicationWindowNanos, 2_500_000L),
            requestClass("sloTimeUs", "2500.7", RequestClass::latencyObjectiveNanos, 2_500_000L),
            requestClass("aimStretch", MISSING, RequestClass::latencyObjectiveStretch, 0.0),
            requestClass("aimStretch", "1.5", RequestClass::latencyObjectiveStretch, 1.5),
            requestClass("importance", MISSING, RequestClass::priorityWeight, 1.0),
            requestClass("importance", "2.5", RequestClass::priorityWeight, 2.5),
            requestClass("tardyImportance", MISSING, RequestClass::lateValueFraction, 0.0),
            requestClass("tardyImportance", "0.3", RequestClass::lateValueFraction, 0.3)};
    }

    private static Object[] setting(String key, String json, Function<DeploymentSettings, Object> field,
                                    Object value) {
        return new Object[] {"settings." + key, json, field, value};
    }

    private static Object[] deployment(String key, String json, Function<Deployment, Object> field,
                                       Object value) {
        return setting(key, json, s -> field.apply(s.deployment), value);
    }

    private static Object[] requestClass(String key, String json, Function<RequestClass, Object> field,
                                         Object value) {
        return deployment("tracks.0." + key, json, d -> field.apply(d.requestClasses().get(0)), value);
    }

    @Test(dataProvider = "generalSettings")
    public void readsGeneralSetting(String key, String json, Function<DeploymentSettings, Object> field,
                                    Object value) {
        checkSetting(key, json, field, value);
    }

    @Test(dataProvider = "deploymentSettings")
    public void readsDeploymentSetting(String key, String json,
                                       Function<DeploymentSettings, Object> field,
                                       Object value) {
        checkSetting(key, json, field, value);
    }

    @Test(dataProvider = "requestClassSettings")
    public void readsRequestClassSetting(String key, String json,
                                         Function<DeploymentSettings, Object> field,
                                         Object value) {
        checkSetting(key, json, field, value);
    }

    private static void checkSetting(String key, String json, Function<DeploymentSettings, Object> field,
                                     Object value) {
        EditableJson file = new EditableJson(MINIMAL);
        if (json != MISSING) {
            file.with(key, json);
        }
        assertEquals(field.apply(new ProxyConfiguration(file.text()).settings), value, key + " in a file");
        assertEquals(field.apply(DeploymentSettings.fromLines(file.lines("settings"))), value,
            key + " from the simulator");
    }

    /** Settings and the resulting fleet; the zone is used only if requests across zones cost 0.05 or more. */
    @DataProvider
    Object[][] fleets() {
        String twoZones = "'failureDomains':['a','b'],";
        return new Object[][] {{"", Fleet.STANDALONE},
            {"'balancers':3,'index':2,", new Fleet(null, 2, 3, false)},
            {"'balancers':2.9,", new Fleet(null, 0, 2, false)},
            {twoZones + "'myZone':1,", Fleet.STANDALONE},
            {twoZones + "'myZone':1,'deductions':{'crossZone':0.049},", Fleet.STANDALONE},
            {twoZones + "'myZone':1,'deductions':{'crossZone':0.05},", new Fleet(new ZoneId(1), 0, 1, false)},
            {twoZones + "'deductions':{'crossZone':0.13},", Fleet.STANDALONE}};
    }

    @Test(dataProvider = "fleets")
    public void readsFleet(String settings, Fleet fleet) {
        String text = MINIMAL.replace("'settings':{", "'settings':{" + settings);
        assertEquals(new ProxyConfiguration(new EditableJson(text).text()).settings.deployment.fleet(),
            fleet);
        assertEquals(
            DeploymentSettings.fromLines(new EditableJson(text).lines("settings")).deployment.fleet(),
            fleet);
    }

    @Test
    public void enablesGossipIfAllowed() {
        String lines = new EditableJson(MINIMAL).with("settings.allowed.peers", "true").lines("settings");
        assertEquals(DeploymentSettings.fromLines(lines).deployment.fleet(), new Fleet(null, 0, 1, true));
    }

    /** Each proxy admits an equal share of a tenant's allowance. */
    @Test
    public void dividesTenantAllowanceAmongProxies() {
        String text = new EditableJson(MINIMAL).with("settings.balancers", "4")
            .with("settings.projects", "[{'name':'acme','allowancePerS':300}]").text();
        assertEquals(new ProxyConfiguration(text).settings.deployment.tenantQuotasPerSecond(), List.of(75.0));
    }

    /** The longest statement timeout of all request classes is used. */
    @Test
    public void usesLongestStatementTimeout() {
        String text = new EditableJson(MINIMAL)
            .with("settings.tracks.0.statementTimeoutUs", "2500").with("settings.tracks.1",
                "{'name':'put','effect':'dedup','sloTimeUs':1,'statementTimeoutUs':900}")
            .text();
        assertEquals(new ProxyConfiguration(text).settings.maxRequestTimeoutNanos, 2_500_000L);
    }
}
