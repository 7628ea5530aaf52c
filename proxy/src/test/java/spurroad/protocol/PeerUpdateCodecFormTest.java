package spurroad.protocol;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.util.HexFormat;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.model.CacheKey;
import spurroad.model.PeerUpdate;
import spurroad.model.PeerUpdate.Topic;

/** The encoded bytes of peer updates, and rejection of malformed messages. */
public class PeerUpdateCodecFormTest {
    private static final long SUBJECT = 0x0a124a071f93L;
    private static final CacheKey KEY = new CacheKey(0x91f03b7c55d20a64L);
    private static final HexFormat HEX = HexFormat.of();

    /** Topic, subject, value as f32; then service time in microseconds, cached fraction; then the key. */
    @DataProvider
    Object[][] messages() {
        return new Object[][] {
            {new PeerUpdate(Topic.IN_FLIGHT, SUBJECT, 1, KEY),
                "00 00000a124a071f93 3f800000 91f03b7c55d20a64"},
            {new PeerUpdate(Topic.IN_FLIGHT, SUBJECT, -0.25, CacheKey.NONE),
                "00 00000a124a071f93 be800000 0000000000000000"},
            {new PeerUpdate(Topic.LOAD, SUBJECT, 12.5, 35_000_000, 0.25),
                "01 00000a124a071f93 41480000 000088b8 3e800000"},
            {new PeerUpdate(Topic.LOAD, SUBJECT, 1e6, 4_294_967_295_000L, 1),
                "01 00000a124a071f93 49742400 ffffffff 3f800000"},
            {new PeerUpdate(Topic.TENANT_REQUEST, 3, 1), "02 0000000000000003 3f800000"},
            {new PeerUpdate(Topic.OVER_QUOTA, 3, 0.5), "03 0000000000000003 3f000000"},
            {PeerUpdate.ofOriginWrite(false), "04 0000000000000000 00000000"},
            {PeerUpdate.ofOriginWrite(true), "04 0000000000000000 3f800000"},
            {new PeerUpdate(Topic.ORIGIN_ADMISSION, 0, 0.75), "05 0000000000000000 3f400000"},
            {new PeerUpdate(Topic.CACHE_QUERY, SUBJECT, 419, KEY),
                "06 00000a124a071f93 43d18000 91f03b7c55d20a64"},
            {new PeerUpdate(Topic.CACHE_STATUS, SUBJECT, 12.5, 35_000_000, 1, KEY),
                "07 00000a124a071f93 41480000 000088b8 3f800000 91f03b7c55d20a64"},
            {new PeerUpdate(Topic.CACHE_STATUS, -1, 0, 0, 0, KEY),
                "07 ffffffffffffffff 00000000 00000000 00000000 91f03b7c55d20a64"}};
    }

    @Test(dataProvider = "messages")
    public void encodesAndDecodesMessage(PeerUpdate message, String hex) throws ProtocolException {
        byte[] bytes = bytes(hex);
        assertEquals(HEX.formatHex(PeerUpdateCodec.encode(message)), HEX.formatHex(bytes));
        assertEquals(PeerUpdateCodec.decode(bytes), message);
    }

    /** A service time beyond the range of its field is encoded as the largest possible value. */
    @Test
    public void saturatesServiceTimeBeyondFieldRange() {
        PeerUpdate message = new PeerUpdate(Topic.LOAD, 1, 1, Long.MAX_VALUE, 1);
        assertEquals(HEX.formatHex(PeerUpdateCodec.encode(message)), "01" + "0000000000000001" + "3f800000"
            + "ffffffff" + "3f800000");
    }

    @DataProvider
    Object[][] malformedMessages() {
        return new Object[][] {{"nothing", ""}, {"unknown topic", "08 0000000000000003 3f800000"},
            {"topic 255", "ff 0000000000000003 3f800000"},
            {"one byte missing", "02 0000000000000003 3f8000"},
            {"one extra byte", "02 0000000000000003 3f800000 00"},
            {"in-flight change of zero", "00 0000000000000003 00000000 0000000000000000"},
            {"in-flight change over one", "00 0000000000000003 3f800001 0000000000000000"},
            {"in-flight change below minus one", "00 0000000000000003 bf800001 0000000000000000"},
            {"negative queue", "01 0000000000000003 bf800000 00000000 3f800000"},
            {"queue over a million", "01 0000000000000003 49742401 00000000 3f800000"},
            {"queue not a number", "01 0000000000000003 7fc00000 00000000 3f800000"},
            {"cached fraction of zero", "01 0000000000000003 3f800000 00000000 00000000"},
            {"cached fraction over one", "01 0000000000000003 3f800000 00000000 3f800001"},
            {"two tenant requests", "02 0000000000000003 40000000"},
            {"over-quota fraction over one", "03 0000000000000003 3f800001"},
            {"negative over-quota fraction", "03 0000000000000003 bf000000"},
            {"origin write neither zero nor one", "04 0000000000000000 3f000000"},
            {"origin admission over one", "05 0000000000000000 3f800001"},
            {"negative origin admission", "05 0000000000000000 bf000000"},
            {"cache query with a fractional proxy number", "06 0000000000000003 3f000000 91f03b7c55d20a64"},
            {"cache query with a negative proxy number", "06 0000000000000003 bf800000 91f03b7c55d20a64"},
            {"cache status fraction 0.5", "07 0000000000000003 3f800000 00000000 3f000000 91f03b7c55d20a64"},
            {"cache status fraction NaN", "07 0000000000000003 3f800000 00000000 7fc00000 91f03b7c55d20a64"},
            {"cache status with a negative queue",
                "07 0000000000000003 bf800000 00000000 3f800000 91f03b7c55d20a64"}};
    }

    @Test(dataProvider = "malformedMessages")
    public void rejectsMalformedMessage(String description, String hex) {
        assertThrows(ProtocolException.class, () -> PeerUpdateCodec.decode(bytes(hex)));
    }

    private static byte[] bytes(String hex) {
        return HEX.parseHex(hex.replace(" ", ""));
    }
}
