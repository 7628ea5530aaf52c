package spurroad.simulator;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests the simulator's wire format byte for byte, and the error message for each kind of malformed input.
 */
public class SimulatorWireFormTest {
    private static final String DIALOGUE = "/golden/forms/wire-dialogue.txt";
    private static final HexFormat HEX = HexFormat.of();
    private static final int LAUNCH = 10;
    private static final int REQUEST = 30;
    private static final int INSTANCE_FAILED = 100;
    private static final String REQUEST_FIELDS = "00000003 000bba465d3a91c4 00000000 0000 00"
        + "00000000 00002ee0 91f03b7c55d20a64 0003a980";
    private static final String SETTINGS = "tracks.count=1\ntracks.0.effect=retryable\n"
        + "tracks.0.sloTimeUs=1000000\n";

    private static byte[] replyTo(byte[] input) throws IOException {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        new SimulatorAdapter(new DataInputStream(new ByteArrayInputStream(input)), output).run();
        return output.toByteArray();
    }

    // ---- the recorded dialogue

    @Test
    public void repliesToRecordedDialogueByteForByte() throws IOException {
        RecordedDialogue recorded = RecordedDialogue.ofResource(DIALOGUE);
        List<String> replies = RecordedDialogue.repliesOf(replyTo(recorded.input()));
        for (int i = 0; i < Math.min(replies.size(), recorded.replies().size()); i++) {
            assertEquals(replies.get(i), recorded.replies().get(i), "line " + i + " of the replies");
        }
        assertEquals(replies, recorded.replies());
    }

    /** Lists all record codes in decimal; the input also contains the unknown code 200. */
    @Test
    public void dialogueContainsEveryKindOfRecord() {
        RecordedDialogue recorded = RecordedDialogue.ofResource(DIALOGUE);
        assertEquals(new TreeSet<>(recorded.inputCodes()), Set.of(10, 20, 30, 50, 60, 70, 80, 90, 100, 200));
        assertEquals(new TreeSet<>(recorded.outputCodes()), Set.of(10, 20, 30, 40, 50, 60, 70, 80, 110));
    }

    /** The record has a code, the instance number, and the reason preceded by its length. */
    @Test
    public void reportsFailedInstanceInRecord() throws IOException {
        byte[] output = replyTo(HEX.parseHex(batch(7, 2, launch("tracks.count=0\n"),
            record(REQUEST, REQUEST_FIELDS))));
        ByteBuffer bytes = ByteBuffer.wrap(output);
        assertEquals(bytes.getInt(), output.length - 8);
        assertEquals(bytes.getInt(), 7);
        assertEquals(bytes.get(), INSTANCE_FAILED);
        assertEquals(bytes.getInt(), output.length - 13);
        assertEquals(bytes.getInt(), 3);
        byte[] text = new byte[bytes.getShort()];
        bytes.get(text);
        assertEquals(bytes.remaining(), 0);
        assertTrue(new String(text, StandardCharsets.UTF_8)
            .matches("java\\.lang\\.\\w+: Index -1 out of bounds for length 0 at .+"));
    }

    // ---- malformed input

    private static String record(int code, String fields) {
        String hex = fields.replace(" ", "");
        return String.format("%02x%08x", code, hex.length() / 2) + hex;
    }

    private static String launch(String settings) {
        return record(LAUNCH, "00000003 0000000000000009" + String.format("%08x", settings.length())
            + HEX.formatHex(settings.getBytes(StandardCharsets.UTF_8)));
    }

    private static String batch(int number, int records, String... body) {
        String hex = String.join("", body).replace(" ", "");
        return String.format("%08x%016x%08x%08x", hex.length() / 2, 1_000_000, records, number) + hex;
    }

    @DataProvider
    Object[][] malformed() {
        String validLaunch = launch(SETTINGS);
        return new Object[][] {{"00", "input ended inside a batch"},
            {"00000000 0000000000805c5a 00000000 000000", "input ended inside a batch"},
            {batch(1, 1, validLaunch).substring(0, 60), "input ended inside a batch"},
            {"10000001 0000000000000000 00000000 00000007", "batch 7 has an invalid header"},
            {"00000000 ffffffffffffffff 00000000 ffffffff", "batch 4294967295 has an invalid header"},
            {"00000000 0020c49ba5e353f8 00000000 00000001", "batch 1 has an invalid header"},
            {batch(2, 2, "c8 00000000"), "batch 2 has an invalid header"},
            {batch(1, 0, validLaunch), "batch is longer than its records"},
            {batch(1, 1, validLaunch, "00"), "batch is longer than its records"},
            {batch(1, 1, "1e 00ffffff 00000003"), "record 0 is longer than its batch"},
            {batch(1, 1, "1e ffffffff 00000003"), "record 0 is longer than its batch"},
            {batch(1, 2, record(200, "00000003"), "1e"), "record 1 is truncated"},
            {batch(1, 1, record(30, "0000")), "record 0 with code 30 has invalid fields"},
            {batch(1, 2, validLaunch, record(20, "00000003 02 0000000000000029 7fffffff")),
                "record 1 with code 20 has invalid fields"},
            {batch(1, 2, validLaunch, record(20, "00000003 02 0000000000000029 ffffffff")),
                "record 1 with code 20 has invalid fields"},
            {batch(1, 2, validLaunch, record(30, "00000003 00")), "record 1 with code 30 has invalid fields"},
            {batch(1, 2, validLaunch, record(50, "00000003")), "record 1 with code 50 has invalid fields"},
            {batch(1, 2, validLaunch, record(60, "00000003")), "record 1 with code 60 has invalid fields"},
            {batch(1, 2, validLaunch, record(70, "00000003")), "record 1 with code 70 has invalid fields"},
            {batch(1, 2, validLaunch, record(80, "00000003")), "record 1 with code 80 has invalid fields"},
            {batch(1, 2, validLaunch, record(90, "00000003")), "record 1 with code 90 has invalid fields"},
            {batch(1, 2, validLaunch, record(100, "000003")), "record 1 with code 100 has invalid fields"},
            {batch(1, 1, record(LAUNCH, "00000003 0000000000000009 00000001")),
                "record 0 with code 10 has invalid fields"},
            {batch(1, 1, launch("")), "setting tracks.count is missing"},
            {batch(1, 1, launch("tracks.count=x\n")), "setting tracks.count is not a number"},
            {batch(1, 1, launch("tracks.count=1\n")), "setting tracks.0.effect is missing"},
            {batch(1, 1, launch(SETTINGS.replace("retryable", "often"))),
                "setting tracks.0.effect has an unknown value"},
            {batch(1, 1, launch(SETTINGS.replace("sloTimeUs", "x"))),
                "setting tracks.0.sloTimeUs is missing"}};
    }

    @Test(dataProvider = "malformed")
    public void rejectsMalformedInputWithExpectedMessage(String hex, String line) {
        byte[] input = HEX.parseHex(hex.replace(" ", ""));
        assertEquals(expectThrows(WireFormatException.class, () -> replyTo(input)).getMessage(), line);
    }
}
