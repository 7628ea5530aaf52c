package spurroad.protocol;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.protocol.MetaCommand.Kind;

/** Parsing of client commands, their form for cache nodes, and the response to each fault. */
public class MetaCommandFormTest {
    private static final String BAD_FORMAT = "CLIENT_ERROR bad command line format";
    private static final String BAD_KEY = "CLIENT_ERROR bad key";
    private static final String BAD_LENGTH = "CLIENT_ERROR bad length";
    private static final String BAD_DATA_CHUNK = "CLIENT_ERROR bad data chunk";
    private static final String NO_ID = "CLIENT_ERROR no request id";
    private static final String NO_TIMEOUT = "CLIENT_ERROR no time to wait";
    private static final String LINE_TOO_LONG = "CLIENT_ERROR line too long";
    private static final String UNKNOWN_COMMAND = "ERROR";
    private static final int MAX_KEY_BYTES = 250;
    private static final int MAX_ID_BYTES = 32;
    private static final int MAX_LINE_BYTES = 2048;
    private static final int MAX_BUFFERED_VALUE_BYTES = 65_536;
    private static final int MAX_VALUE_BYTES = 4_194_304;
    private static final long PROXY_TIMEOUT_MILLIS = 123;

    /** A valid command: the text that the client sends, its meaning, and the message to a cache node. */
    private record ValidCommand(String sent, Kind kind, String key, String id, long timeoutMillis,
                                long costHintMicros,
                                String value, String attributesForOrigin, String sentToNode) {
        @Override
        public String toString() {
            return sent.length() < 200 ? sent.replace("\r\n", "|") : sent.substring(0, 60) + "...";
        }
    }

    private static ValidCommand read(String sent, String key, String id, long timeoutMillis,
                                     long costHintMicros, String attributesForOrigin,
                                     String sentToNode) {
        return new ValidCommand(sent, Kind.READ, key, id, timeoutMillis, costHintMicros, "",
            attributesForOrigin, sentToNode);
    }

    private static ValidCommand write(String sent, String key, String id, long timeoutMillis, String value,
                                      String attributesForOrigin,
                                      String sentToNode) {
        return new ValidCommand(sent, Kind.WRITE, key, id, timeoutMillis, 0, value, attributesForOrigin,
            sentToNode);
    }

    @DataProvider
    Object[] validCommands() {
        String longKey = "k".repeat(MAX_KEY_BYTES);
        String longId = "1".repeat(MAX_ID_BYTES);
        String longValue = "x".repeat(MAX_BUFFERED_VALUE_BYTES);
        return new Object[] {
            read("mg 7f3a v O9b1f Pc=read,t=acme,d=480\r\n", "7f3a", "9b1f", 480, 0, "c=read,t=acme,d=123",
                "mg 7f3a v O9b1f Pc=read,t=acme,d=123\r\n"),
            read("mg 7f3a v Pc=read,d=480 O9b1f\r\n", "7f3a", "9b1f", 480, 0, "c=read,d=123",
                "mg 7f3a v Pc=read,d=123 O9b1f\r\n"),
            read("mg 7f3a v O9b1f Pd=480\n", "7f3a", "9b1f", 480, 0, "d=123", "mg 7f3a v O9b1f Pd=123\r\n"),
            read("mg 7f3a v O9b1f Pd=480  \r\n", "7f3a", "9b1f", 480, 0, "d=123",
                "mg 7f3a v O9b1f Pd=123\r\n"),
            read("mg 7f3a v O9b1f Pd=0,c=read\r\n", "7f3a", "9b1f", 0, 0, "d=123,c=read",
                "mg 7f3a v O9b1f Pd=123,c=read\r\n"),
            read("mg 7f3a v O9b1f Pd=3600000\r\n", "7f3a", "9b1f", 3_600_000, 0, "d=123",
                "mg 7f3a v O9b1f Pd=123\r\n"),
            read("mg 7f3a v O9b1f Pc=read,t=acme,r=1,h=2500,size=9,d=480,x=d=9\r\n", "7f3a", "9b1f", 480,
                2500, "c=read,t=acme,r=1,h=2500,size=9,d=123,x=d=9",
                "mg 7f3a v O9b1f Pc=read,t=acme,r=1,h=2500,size=9,d=123,x=d=9\r\n"),
            read("mg Pkey v O9b1f Pd=480\r\n", "Pkey", "9b1f", 480, 0, "d=123",
                "mg Pkey v O9b1f Pd=123\r\n"),
            read("mg " + longKey + " v O" + longId + " Pd=480\r\n", longKey, longId, 480, 0, "d=123",
                "mg " + longKey + " v O" + longId + " Pd=123\r\n"),
            write("ms 7f3a 5 O9b1f Pc=put,t=acme,d=480,k=5c0f\r\nhello\r\n", "7f3a", "9b1f", 480, "hello",
                "c=put,t=acme,d=123,k=5c0f", "ms 7f3a 5 O9b1f Pc=put,t=acme,d=123,k=5c0f\r\nhello\r\n"),
            write("ms 7f3a 0 O9b1f Pd=480\r\n\r\n", "7f3a", "9b1f", 480, "", "d=123",
                "ms 7f3a 0 O9b1f Pd=123\r\n\r\n"),
            write("ms 7f3a 4 Pd=480 O9b1f\r\n\r\n\0\u00ff\r\n", "7f3a", "9b1f", 480, "\r\n\0\u00ff", "d=123",
                "ms 7f3a 4 Pd=123 O9b1f\r\n\r\n\0\u00ff\r\n"),
            write("ms 7f3a 65536 O9b1f Pd=480\r\n" + longValue + "\r\n", "7f3a", "9b1f", 480, longValue,
                "d=123", "ms 7f3a 65536 O9b1f Pd=123\r\n" + longValue + "\r\n")};
    }

    @Test(dataProvider = "validCommands")
    public void readsAndForwardsValidCommand(ValidCommand expected) throws IOException {
        checkValid(MetaCommand.read(WireText.stream(expected.sent)), expected);
        checkValid(WireText.readByteByByte(expected.sent, MetaCommand::read), expected);
    }

    private static void checkValid(MetaCommand command, ValidCommand expected) {
        assertNull(command.errorResponse);
        assertSame(command.kind, expected.kind);
        assertEquals(command.key(), expected.key);
        assertEquals(command.id(), expected.id);
        assertEquals(command.timeoutMillis(), expected.timeoutMillis);
        assertEquals(command.costHintMicros(), expected.costHintMicros);
        assertFalse(command.hasLongValue());
        assertEquals(command.valueLength(), expected.value.length());
        assertEquals(WireText.text(command.value), expected.value);
        assertEquals(command.attributesWithTimeout(PROXY_TIMEOUT_MILLIS), expected.attributesForOrigin);
        assertEquals(WireText.text(command.forEndpoint(PROXY_TIMEOUT_MILLIS)), expected.sentToNode);
    }

    @Test
    public void returnsValueOfEachAttribute() throws IOException {
        MetaCommand command = MetaCommand.read(WireText.stream("mg a v O1 Pc=read,t=acme,r=1,d=480\r\n"));
        Map.of("c", "read", "t", "acme", "r", "1", "d", "480").forEach((name, value) -> {
            assertTrue(command.hasAttribute(name), name);
            assertEquals(command.attribute(name), value);
        });
        assertFalse(command.hasAttribute("k"));
        assertEquals(command.attribute("k"), "");
    }

    @DataProvider
    Object[] readinessChecks() {
        return new Object[] {"mn\r\n", "mn\n", "mn  \r\n", "mn O1 k\r\n"};
    }

    @Test(dataProvider = "readinessChecks")
    public void acceptsAnyFlagsOnReadinessCheck(String sent) throws IOException {
        assertSame(MetaCommand.read(WireText.stream(sent)).kind, Kind.READY);
    }

    @DataProvider
    Object[][] longWrites() {
        return new Object[][] {{"ms 7f3a 65537 O9b1f Pc=put,d=480,k=5\r\n", MAX_BUFFERED_VALUE_BYTES + 1,
            "ms 7f3a 65537 O9b1f Pc=put,d=123,k=5\r\n"},
            {"ms 7f3a 4194304 Pd=480 O9b1f\r\n", MAX_VALUE_BYTES, "ms 7f3a 4194304 Pd=123 O9b1f\r\n"}};
    }

    /** A value of over 64 KiB is not read with its command, and not part of the message to the cache node. */
    @Test(dataProvider = "longWrites")
    public void leavesLongValueUnread(String sent, int length, String sentToNode)
        throws IOException {
        ByteSource in = WireText.stream(sent + "abc");
        MetaCommand command = MetaCommand.read(in);
        assertSame(command.kind, Kind.WRITE);
        assertTrue(command.hasLongValue());
        assertEquals(command.valueLength(), length);
        assertEquals(command.value.length, 0);
        assertEquals(in.available(), "abc".length());
        assertEquals(WireText.text(command.forEndpoint(PROXY_TIMEOUT_MILLIS)), sentToNode);
    }

    /** Faults after which the next command can still be found: sent text and error response. */
    @DataProvider
    Object[][] recoverableFaults() {
        String tooLongKey = "k".repeat(MAX_KEY_BYTES + 1);
        String tooLongId = "1".repeat(MAX_ID_BYTES + 1);
        return new Object[][] {{"\r\n", UNKNOWN_COMMAND}, {"   \r\n", UNKNOWN_COMMAND},
            {" mg a v O1 Pd=5\r\n", UNKNOWN_COMMAND},
            {"get a\r\n", UNKNOWN_COMMAND}, {"MG a v O1 Pd=5\r\n", UNKNOWN_COMMAND},
            {"mnx\r\n", UNKNOWN_COMMAND},
            {"stats load\r\n", UNKNOWN_COMMAND}, {"me a\r\n", UNKNOWN_COMMAND},
            {"mg\r\n", BAD_KEY}, {"mg  v O1 Pd=5\r\n", BAD_KEY},
            {"mg " + tooLongKey + " v O1 Pd=5\r\n", BAD_KEY},
            {"mg a v Pd=5\r\n", NO_ID}, {"mg a v O Pd=5\r\n", NO_ID}, {"mg a\r\n", NO_ID},
            {"mg a v O" + tooLongId + " Pd=5\r\n", NO_ID},
            {"mg a v O1\r\n", NO_TIMEOUT}, {"mg a v O1 Pc=read\r\n", NO_TIMEOUT},
            {"mg a v O1 Pd=\r\n", NO_TIMEOUT}, {"mg a v O1 Pd=-5\r\n", NO_TIMEOUT},
            {"mg a v O1 Pd=1.5\r\n", NO_TIMEOUT}, {"mg a v O1 Pd=3600001\r\n", NO_TIMEOUT},
            {"mg a v O1 Pd=0000000000000005\r\n", NO_TIMEOUT},
            {"mg a k O1 Pd=5\r\n", BAD_FORMAT}, {"mg a vv O1 Pd=5\r\n", BAD_FORMAT},
            {"mg a O1 Pd=5\r\n", BAD_FORMAT}, {"mg a O1 v Pd=5\r\n", BAD_FORMAT},
            {"mg a v O1 Pd=5 q\r\n", BAD_FORMAT}, {"mg a v  O1 Pd=5\r\n", BAD_FORMAT},
            {"mg a\t v O1 Pd=5\r\n", BAD_FORMAT}, {"mg \u00e4 v O1 Pd=5\r\n", BAD_FORMAT},
            {"mg a v O1 Pd=5,\r\n", BAD_FORMAT}, {"mg a v O1 P,d=5\r\n", BAD_FORMAT},
            {"mg a v O1 Pd=5,c\r\n", BAD_FORMAT}, {"mg a v O1 Pd=5,c=\r\n", BAD_FORMAT},
            {"mg a v O1 Pd=5,=read\r\n", BAD_FORMAT}, {"mg a v O1 Pd=5,d=6\r\n", BAD_FORMAT},
            {"mg a v O1 Pd=5,h=x\r\n", BAD_FORMAT}, {"mg a v O1 Pd=5,h=-1\r\n", BAD_FORMAT},
            {"ms a 1 Pd=5\r\nx\r\n", NO_ID}, {"ms a 1 O1 Pc=put\r\nx\r\n", NO_TIMEOUT},
            {"ms  1 O1 Pd=5\r\nx\r\n", BAD_KEY}};
    }

    @Test(dataProvider = "recoverableFaults")
    public void answersRecoverableFault(String sent, String response) throws IOException {
        checkFault(MetaCommand.read(WireText.stream(sent)), response, false);
        checkFault(WireText.readByteByByte(sent, MetaCommand::read), response, false);
    }

    /** Faults after which the start of the next command is unknown: sent text and error response. */
    @DataProvider
    Object[][] unrecoverableFaults() {
        return new Object[][] {{"x".repeat(MAX_LINE_BYTES + 2) + "\r\n", LINE_TOO_LONG},
            {"mg " + "x".repeat(MAX_LINE_BYTES), LINE_TOO_LONG},
            {"ms\r\n", BAD_LENGTH}, {"ms a\r\n", BAD_LENGTH}, {"ms a x O1 Pd=5\r\n", BAD_LENGTH},
            {"ms a -1 O1 Pd=5\r\n", BAD_LENGTH}, {"ms a 4194305 O1 Pd=5\r\n", BAD_LENGTH},
            {"ms a 1 O1 Pd=5\r\nxy\r\n", BAD_DATA_CHUNK}, {"ms a 1 O1 Pd=5\r\nx\n\n", BAD_DATA_CHUNK},
            {"ms a 65537 Pd=5\r\n", NO_ID}, {"ms a 65537 O1\r\n", NO_TIMEOUT},
            {"ms " + "k".repeat(MAX_KEY_BYTES + 1) + " 65537 O1 Pd=5\r\n", BAD_KEY},
            {"ms a 65537 O1 Pd=5 q\r\n", BAD_FORMAT}};
    }

    @Test(dataProvider = "unrecoverableFaults")
    public void answersUnrecoverableFaultAndMarksIt(String sent, String response) throws IOException {
        checkFault(MetaCommand.read(WireText.stream(sent)), response, true);
        checkFault(WireText.readByteByByte(sent, MetaCommand::read), response, true);
    }

    private static void checkFault(MetaCommand command, String response, boolean unrecoverable) {
        assertSame(command.kind, Kind.INVALID);
        assertEquals(command.errorResponse, response);
        assertEquals(command.unrecoverable, unrecoverable);
    }

    /** The maximum length does not include the line end; the long command has an unknown name. */
    @Test
    public void acceptsLineOf2048Bytes() throws IOException {
        checkFault(MetaCommand.read(WireText.stream("x".repeat(MAX_LINE_BYTES) + "\n")), UNKNOWN_COMMAND,
            false);
        assertSame(MetaCommand.read(WireText.stream("mn" + " ".repeat(MAX_LINE_BYTES - 2) + "\n")).kind,
            Kind.READY);
    }

    @Test
    public void readsConsecutiveCommands() throws IOException {
        ByteSource in = WireText.stream("mn\r\nms a 1 O1 Pd=5\r\nx\r\nmg a v O2 Pd=5\r\nnonsense\r\n");
        assertSame(MetaCommand.read(in).kind, Kind.READY);
        assertEquals(MetaCommand.read(in).id(), "1");
        assertEquals(MetaCommand.read(in).id(), "2");
        assertEquals(MetaCommand.read(in).errorResponse, UNKNOWN_COMMAND);
        assertNull(MetaCommand.read(in));
    }
}
