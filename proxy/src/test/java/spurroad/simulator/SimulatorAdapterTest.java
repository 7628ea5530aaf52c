package spurroad.simulator;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.util.HexFormat;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the replies to batches, written in hexadecimal digits. */
public class SimulatorAdapterTest {
    private static final String EMPTY_BATCH = "00000000 0000000000805c5a 00000000 00000001";
    private static final String SETTINGS = "tracks.count=1\ntracks.0.effect=retryable\n"
        + "tracks.0.sloTimeUs=1000000\n"
        + "obligations.coldUs=0\nsomething.new=1\ntickUs=5000\ndiscovery=on_request\n";
    private static final String LAUNCH = record(10, "00000003 0000000000000009" + text(SETTINGS));
    private static final String ENDPOINTS = record(20, "00000003 02 0000000000000029 00000001"
        + "00 00 0000000000000000 3f800000 0a124a07 1f93 03 0000");
    private static final String REQUEST = record(30,
        "00000003 000bba465d3a91c4 00000000 0000 00 00000000 00002ee0"
            + "91f03b7c55d20a64 0003a980");

    private static String text(String s) {
        return String.format("%08x", s.length()) + HexFormat.of().formatHex(s.getBytes());
    }

    private static String record(int code, String fields) {
        String hex = fields.replace(" ", "");
        return String.format("%02x%08x", code, hex.length() / 2) + hex;
    }

    private static String batch(int number, int count, String... records) {
        String body = String.join("", records);
        return String.format("%08x%016x%08x%08x", body.length() / 2, 1_000_000, count, number) + body;
    }

    private static String run(String hex) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        byte[] in = HexFormat.of().parseHex(hex.replace(" ", ""));
        new SimulatorAdapter(new DataInputStream(new ByteArrayInputStream(in)), out).run();
        return HexFormat.of().formatHex(out.toByteArray());
    }

    @Test
    public void repliesToEmptyBatchAndReturnsAtEndOfInput() throws IOException {
        assertEquals(run(EMPTY_BATCH + EMPTY_BATCH), "0000000000000001".repeat(2));
        assertEquals(run(""), "");
    }

    @Test
    public void sendsRequestToListedEndpoint() throws IOException {
        String reply = run(batch(12, 4, LAUNCH, ENDPOINTS, record(200, "ffff"), REQUEST));
        assertEquals(reply.substring(8, 16), "0000000c");
        assertEquals(Integer.parseInt(reply.substring(0, 8), 16), reply.length() / 2 - 8);
        assertTrue(reply.contains("6e0000000500000003" + "01"), "subscribes to the endpoint list");
        assertTrue(reply.contains("0a0000001600000003000bba465d3a91c40a124a071f930003a980"), reply);
    }

    @Test
    public void ignoresEventsOfUnknownOrStoppedInstances() throws IOException {
        String powerOff = record(100, "00000003");
        assertEquals(
            run(batch(1, 1, REQUEST) + batch(2, 4, LAUNCH, ENDPOINTS, powerOff, REQUEST)).substring(0, 16),
            "0000000000000001");
        assertTrue(!run(batch(2, 4, LAUNCH, ENDPOINTS, powerOff, REQUEST)).contains("000bba465d3a91c4"));
    }

    @DataProvider
    Object[][] malformed() {
        return new Object[][] {{"0000"}, {EMPTY_BATCH.substring(0, 30)},
            {"ffffffff" + EMPTY_BATCH.substring(8)},
            {batch(1, 2, LAUNCH)}, {batch(1, 0, LAUNCH)}, {batch(1, 1, "1e00ffffff00000003")},
            {batch(1, 2, LAUNCH, record(30, "00000003 00"))},
            {batch(1, 2, LAUNCH, record(20, "00000003 02 0000000000000029 7fffffff"))},
            {batch(1, 1, record(10, "00000003 0000000000000009" + text("tracks.count=1\n")))},
            {batch(1, 1, record(10, "00000003 0000000000000009" + text("tracks.count=x\n")))},
            {batch(1, 1, record(10, "00000003 0000000000000009" + text("x=1\n")))}};
    }

    @Test(dataProvider = "malformed")
    public void rejectsMalformedInputWithOneLineMessage(String hex) {
        WireFormatException e = org.testng.Assert.expectThrows(WireFormatException.class, () -> run(hex));
        assertTrue(!e.getMessage().isBlank() && !e.getMessage().contains("\n"));
        assertThrows(WireFormatException.class, () -> run(EMPTY_BATCH + hex));
    }
}
