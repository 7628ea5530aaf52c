package spurroad.protocol;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.net.InetSocketAddress;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.model.CellId;
import spurroad.model.Endpoint;
import spurroad.model.EndpointId;
import spurroad.model.EndpointKindId;
import spurroad.model.EndpointPhase;
import spurroad.model.ZoneId;

/** Reading of complete endpoint lists and changes, and the error messages for malformed ones. */
public class EndpointListFormTest {
    private static final EndpointList.EndpointNames WEIGHTED = new EndpointList.EndpointNames(
        List.of("m1", "origin"),
        List.of("a", "b"), true);
    private static final EndpointList.EndpointNames UNWEIGHTED = new EndpointList.EndpointNames(
        List.of("m1", "origin"),
        List.of("a", "b"), false);
    private static final String ENTRY = "{'uid':'s-5be2a07c','endpoint':'10.1.0.18:11211','az':'b',"
        + "'model':'origin','pod_group':3,'state':'active','capacity_hint':2.5,'boot_ms':1700000000123}";
    private static final Endpoint READ_ENTRY = new Endpoint(new EndpointId(0xace623f1fdc27c8aL),
        new EndpointKindId(1),
        new ZoneId(1), new CellId(3), 1_700_000_000_123_000_000L, 2.5, EndpointPhase.READY);

    private static EndpointList read(String list, EndpointList.EndpointNames names) throws ProtocolException {
        return EndpointList.read(Json.read(list.replace('\'', '"')), names);
    }

    private static EndpointList.ListedEndpoint readSingle(String entry, EndpointList.EndpointNames names)
        throws ProtocolException {
        List<EndpointList.ListedEndpoint> endpoints = read("{'targets':[" + entry + "]}", names).endpoints();
        assertEquals(endpoints.size(), 1);
        return endpoints.get(0);
    }

    @Test
    public void readsCompleteList() throws ProtocolException {
        EndpointList list = read("{'rev':41,'all':true,'targets':[" + ENTRY + "],'more':{}}", WEIGHTED);
        assertEquals(list.revision(), 41);
        assertTrue(list.isComplete());
        assertEquals(list.endpoints(),
            List.of(new EndpointList.ListedEndpoint(READ_ENTRY, new InetSocketAddress("10.1.0.18", 11211))));
    }

    @Test
    public void readsChanges() throws ProtocolException {
        EndpointList changes = read(
            "{'rev':43,'all':false,'targets':[" + ENTRY.replace("active", "left") + ","
                + ENTRY.replace("active", "leaving").replace("5be2", "5be3") + "]}",
            WEIGHTED);
        assertEquals(changes.revision(), 43);
        assertFalse(changes.isComplete());
        assertEquals(changes.endpoints().get(0).endpoint(), READ_ENTRY.asRemoved());
        assertSame(changes.endpoints().get(1).endpoint().phase(), EndpointPhase.DRAINING);
    }

    /** A list without a revision has revision 0; one without {@code all} holds changes. */
    @Test
    public void usesDefaultsForMissingListFields() throws ProtocolException {
        EndpointList list = read("{'targets':[]}", WEIGHTED);
        assertEquals(list, new EndpointList(0, false, List.of()));
        assertFalse(read("{'all':'true','targets':[]}", WEIGHTED).isComplete());
    }

    @Test
    public void usesDefaultsForMissingEntryFields() throws ProtocolException {
        Endpoint entry = readSingle(
            "{'uid':'s','endpoint':'10.1.0.18:11211','az':'a','model':'m1','state':'active','new':[1]}",
            WEIGHTED).endpoint();
        assertEquals(entry.cell(), new CellId(0));
        assertEquals(entry.startedAtNanos(), 0);
        assertEquals(entry.weight(), 1.0);
    }

    @DataProvider
    Object[][] states() {
        return new Object[][] {{"active", EndpointPhase.READY}, {"leaving", EndpointPhase.DRAINING},
            {"left", EndpointPhase.REMOVED},
            {"other", EndpointPhase.DRAINING}, {"ACTIVE", EndpointPhase.DRAINING},
            {"", EndpointPhase.DRAINING}};
    }

    @Test(dataProvider = "states")
    public void treatsUnknownStateAsDraining(String state, EndpointPhase phase)
        throws ProtocolException {
        assertSame(readSingle(ENTRY.replace("active", state), WEIGHTED).endpoint().phase(), phase);
    }

    /** The listed capacity and the weight if capacities are used as weights. */
    @DataProvider
    Object[][] weights() {
        return new Object[][] {{"2.5", 2.5}, {"0", 1.0}, {"-1", 1.0}, {"1e39", 1.0}, {"null", 1.0}};
    }

    @Test(dataProvider = "weights")
    public void usesCapacityAsWeightOnlyIfEnabled(String capacity, double weight) throws ProtocolException {
        String entry = ENTRY.replace("2.5", capacity);
        assertEquals(readSingle(entry, WEIGHTED).endpoint().weight(), weight);
        assertEquals(readSingle(entry, UNWEIGHTED).endpoint().weight(), 1.0);
    }

    @Test
    public void clampsStartBeforeEpochToZero() throws ProtocolException {
        assertEquals(readSingle(ENTRY.replace("1700000000123", "-5"), WEIGHTED).endpoint().startedAtNanos(),
            0);
    }

    /** Names that are not in the settings get numbers from 65,536 on, the same in every proxy. */
    @Test
    public void assignsHashedNumbersToNamesOutsideSettings() throws ProtocolException {
        Endpoint entry = readSingle(ENTRY.replace("'origin'", "'m9'").replace("'b'", "'z'"), WEIGHTED)
            .endpoint();
        assertEquals(entry.kind(), new EndpointKindId(65_536 + 0x8dd3));
        assertEquals(entry.zone(), new ZoneId(65_536 + 0x1a6d));
    }

    @Test
    public void hashesNamesAndKeysWithFnv1a() {
        assertEquals(EndpointList.hash(""), 0xcbf29ce484222325L);
        assertEquals(EndpointList.hash("a"), 0xaf63dc4c8601ec8cL);
        assertEquals(EndpointList.hash("foobar"), 0x85944171f73967e8L);
        assertEquals(EndpointList.cacheKey("foobar").value(), 0x85944171f73967e8L);
    }

    @DataProvider
    Object[][] addresses() {
        return new Object[][] {{"10.1.0.18:11211", "10.1.0.18", 11211}, {"255.255.255.255:0",
            "255.255.255.255", 0}, {"[::1]:65535", "::1", 65535}};
    }

    @Test(dataProvider = "addresses")
    public void parsesAddressAndPort(String text, String address, int port)
        throws ProtocolException {
        assertEquals(EndpointList.parseAddress(text), new InetSocketAddress(address, port));
    }

    @DataProvider
    Object[] malformedAddresses() {
        return new Object[] {"", ":", "here", "10.1.0.18", "10.1.0.18:", "10.1.0.18:x", "10.1.0.18:65536",
            "10.1.0.18:-1", "10.1.0.256:1", "10.1.0:1", "localhost:1", "::1:1", "[]:1", "[::1:1", "[g]:1"};
    }

    @Test(dataProvider = "malformedAddresses")
    public void rejectsMalformedAddressAndNamesIt(String text) {
        assertEquals(
            expectThrows(ProtocolException.class, () -> EndpointList.parseAddress(text)).getMessage(),
            text + " is no address and port");
    }

    @DataProvider
    Object[][] malformedLists() {
        return new Object[][] {{"[]", "a list without targets"}, {"{'rev':1}", "a list without targets"},
            {"{'targets':{}}", "a list without targets"}, {"{'targets':[1]}",
                "targets holds what is no entry"},
            {"{'rev':'1','targets':[]}", "rev is not a number"},
            {listWithReplacedText("'uid'", "'x'"), "an entry without uid"},
            {listWithReplacedText("'s-5be2a07c'", "7"), "an entry without uid"},
            {listWithReplacedText("'endpoint'", "'x'"), "an entry without endpoint"},
            {listWithReplacedText("'az'", "'x'"), "an entry without az"},
            {listWithReplacedText("'model'", "'x'"), "an entry without model"},
            {listWithReplacedText("'state'", "'x'"), "an entry without state"},
            {listWithReplacedText("'state':'active'", "'state':null"), "an entry without state"},
            {listWithReplacedText("'pod_group':3", "'pod_group':'3'"), "pod_group is not a number"},
            {listWithReplacedText("2.5", "true"), "capacity_hint is not a number"},
            {listWithReplacedText("1700000000123", "'0'"), "boot_ms is not a number"},
            {listWithReplacedText("10.1.0.18:11211", "there:1"), "there:1 is no address and port"}};
    }

    private static String listWithReplacedText(String replaced, String replacement) {
        return "{'targets':[" + ENTRY.replace(replaced, replacement) + "]}";
    }

    @Test(dataProvider = "malformedLists")
    public void reportsFaultOfMalformedList(String list, String message) {
        assertEquals(expectThrows(ProtocolException.class, () -> read(list, WEIGHTED)).getMessage(), message);
    }
}
