package spurroad.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The exact error message for each kind of fault of each key. */
public class SettingFaultsFormTest {
    private static final String REMOVED = "gone";
    private static final int COLUMNS = 3;

    /** A configuration with every key, to which the changes of the tables are applied. */
    private static final String COMPLETE = "{'name':'n1','listen':'127.0.0.1:11211',"
        + "'discovery':'127.0.0.1:8500','admin_addr':'127.0.0.1:11280','seed':'7f',"
        + "'limits':{'cores':1,'memory_mb':192,'sockets':1024},"
        + "'known':{'rev':41,'all':true,'targets':[{'uid':'s-1','endpoint':'127.0.0.1:11301','az':'a',"
        + "'model':'m1','pod_group':1,'state':'active','capacity_hint':1,'boot_ms':0}]},"
        + "'proxies':['127.0.0.1:7001','127.0.0.1:7002'],"
        + "'settings':{'balancers':2,'index':1,'myZone':0,'deductions':{'crossZone':0.13},"
        + "'discovery':'on_request','failureDomains':['a','b'],'kinds':['m1','origin'],"
        + "'familyInfo':{'mode':'aside','originKind':1},'weights':'nominal','tickUs':5000,"
        + "'allowed':{'cancel':true,'probes':true,'retryAfter':true,'peers':true,'maxRetryAfterUs':2000000,"
        + "'mostExecutions':6,'connectTimeoutUs':250000,'idleCloseUs':5000000,'maxOpen':20000},"
        + "'obligations':{'coldUs':9000000,'startCapacity':0.3,'askWithinUs':2000000},"
        + "'report':{'columns':['busy','rif']},'projects':[{'name':'acme','allowancePerS':1000}],"
        + "'tracks':[{'name':'read','effect':'retryable','sloTimeUs':1200000,'statementTimeoutUs':2000000,"
        + "'importance':1,'tardyImportance':0.3,'aimStretch':1},"
        + "{'name':'put','effect':'dedup','dedupScope':'all','dedupWindowUs':2500000,'sloTimeUs':1200000,"
        + "'statementTimeoutUs':2000000,'importance':2,'tardyImportance':0.25,'aimStretch':1}]}}";

    /** Reads the rows of a resource: key, JSON value or {@code gone} for a removed key, and error message. */
    private static Object[][] readTable(String name) {
        try (InputStream in = SettingFaultsFormTest.class.getResourceAsStream("/golden/forms/" + name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8).lines()
                .filter(line -> !line.isBlank() && !line.startsWith("#"))
                .map(line -> line.split(" +\\| +", COLUMNS)).toArray(Object[][]::new);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String configurationWithChange(String key, String json) {
        EditableJson file = new EditableJson(COMPLETE);
        return (json.equals(REMOVED) ? file.without(key) : file.with(key, json)).text();
    }

    private static String faultOf(String text, Map<String, String> environment) {
        return expectThrows(InvalidSettingException.class, () -> new ProxyConfiguration(text, environment))
            .getMessage();
    }

    // ---- at startup

    @DataProvider
    Object[][] startupFaults() {
        return readTable("setting-faults.txt");
    }

    @Test(dataProvider = "startupFaults")
    public void reportsFaultAtStartup(String key, String json, String message) {
        assertEquals(faultOf(configurationWithChange(key, json), Map.of()), message);
    }

    @DataProvider
    Object[][] malformedFiles() {
        return new Object[][] {{"", "BALANCER_CONFIG is not JSON: expected a value at character 1"},
            {"{", "BALANCER_CONFIG is not JSON: expected '\"' at character 2"},
            {"{\"a\":1,}", "BALANCER_CONFIG is not JSON: expected '\"' at character 8"},
            {"[]", "the whole is not an object"}, {"null", "the whole is missing"},
            {"{}", "name is missing"}};
    }

    @Test(dataProvider = "malformedFiles")
    public void reportsMalformedFile(String text, String message) {
        assertEquals(faultOf(text, Map.of()), message);
    }

    @DataProvider
    Object[][] environments() {
        return new Object[][] {
            {"BALANCER_ADMIN_ADDR", "here", "BALANCER_ADMIN_ADDR: here is no address and port"},
            {"BALANCER_LISTEN_FD", "3", "BALANCER_LISTEN_FD is 3: expected 0, the only descriptor that the "
                + "virtual machine takes over"}};
    }

    @Test(dataProvider = "environments")
    public void reportsFaultOfEnvironment(String variable, String value, String message) {
        assertEquals(faultOf(configurationWithChange("seed", "'7f'"), Map.of(variable, value)), message);
    }

    @Test
    public void reportsMissingFile() {
        String notSet = "BALANCER_CONFIG is not set: expected the path of a JSON file";
        assertEquals(faultOfFile(Map.of()), notSet);
        assertEquals(faultOfFile(Map.of("BALANCER_CONFIG", "")), notSet);
        assertEquals(faultOfFile(Map.of("BALANCER_CONFIG", "/none/such")),
            "BALANCER_CONFIG: can't read /none/such");
    }

    private static String faultOfFile(Map<String, String> environment) {
        return expectThrows(InvalidSettingException.class,
            () -> ProxyConfiguration.fromEnvironment(environment))
            .getMessage();
    }

    // ---- at a reload

    @DataProvider
    Object[][] reloadFaults() {
        return readTable("setting-reload-faults.txt");
    }

    @Test(dataProvider = "reloadFaults")
    public void reportsFaultAtReload(String key, String json, String message) {
        ProxyConfiguration inForce = new ProxyConfiguration(new EditableJson(COMPLETE).text());
        ProxyConfiguration next = new ProxyConfiguration(configurationWithChange(key, json));
        assertEquals(
            expectThrows(InvalidSettingException.class, () -> inForce.checkReplacement(next)).getMessage(),
            message);
    }

    @DataProvider
    Object[][] changesAcceptedAtReload() {
        return readTable("setting-reload-accepted.txt");
    }

    /** Changes that a reload accepts, and the keys among them that are reported as needing a restart. */
    @Test(dataProvider = "changesAcceptedAtReload")
    public void namesChangeThatNeedsRestart(String key, String json, String restartOnlyKeys) {
        ProxyConfiguration inForce = new ProxyConfiguration(new EditableJson(COMPLETE).text());
        ProxyConfiguration next = new ProxyConfiguration(configurationWithChange(key, json));
        inForce.checkReplacement(next);
        assertEquals(String.join(" and ", inForce.restartOnlyChanges(next)),
            restartOnlyKeys.equals("-") ? "" : restartOnlyKeys);
    }

    @Test
    public void namesChangesThatNeedRestartInOrder() {
        ProxyConfiguration inForce = new ProxyConfiguration(new EditableJson(COMPLETE).text());
        String text = new EditableJson(COMPLETE).with("settings.allowed.maxOpen", "7").with("name", "'n2'")
            .with("settings.weights", "'off'").with("limits.cores", "2").with("extra", "1").text();
        assertEquals(inForce.restartOnlyChanges(new ProxyConfiguration(text)),
            List.of("extra", "limits", "name",
                "settings.kinds, failureDomains, weights", "settings.allowed.maxOpen"));
    }
}
