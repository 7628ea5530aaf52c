package spurroad.control.distribution.codec;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.zip.CRC32C;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.control.Trace;
import spurroad.control.distribution.log.Command;
import spurroad.control.distribution.log.LogEntry;
import spurroad.control.distribution.log.LogSnapshot;
import spurroad.control.distribution.message.Message;
import spurroad.control.distribution.state.ConfigurationEntry;
import spurroad.control.distribution.state.ConfigurationUpdate.Delta;
import spurroad.control.distribution.state.ConfigurationUpdate.Snapshot;
import spurroad.control.distribution.state.PurgeBatch;
import spurroad.control.distribution.state.PurgeUpdate;
import spurroad.control.distribution.state.ResourceKey;
import spurroad.control.distribution.state.Scope;
import spurroad.control.distribution.support.MessageTrace;

/**
 * Pins the encoding of all messages, and the errors for malformed bytes.
 */
public class MessageCodecGoldenTest {
    private static final HexFormat HEX = HexFormat.of();
    private static final ConfigurationEntry ENTRY = new ConfigurationEntry(7,
        new ResourceKey("öst", "node-7"), new byte[] {1, -2});
    private static final ConfigurationEntry EMPTY = new ConfigurationEntry(300, new ResourceKey("", "none"),
        new byte[0]);
    private static final ConfigurationEntry REMOVAL = new ConfigurationEntry(301,
        new ResourceKey("", "limit"), null);
    private static final Message.Heartbeat HEARTBEAT = new Message.Heartbeat(3, 1L << 40, 5, -1, 200, true);
    private static final Message.Heartbeat DETACHED = new Message.Heartbeat(1, 2, 3, 4, 5, false);

    @DataProvider
    public Object[][] messages() {
        return new Object[][] {
            {new Message.Subscribe(Scope.ALL, false, 0, Message.Subscribe.NO_PURGE_NUMBER, 0, false, 0),
                "01010000000000000006e7c3cc"},
            {new Message.Subscribe(new Scope("east"), true, Long.MAX_VALUE, 12, 8_192, true, 1L << 41),
                "0100046561737401ffffffffffffffff7f0d8040018080808080401364cade"},
            {new Message.Unsubscribe(17), "0c11c0ca91da"},
            {new Message.SubscriptionRejected(Message.RejectionReason.NOT_A_RELAY, 0), "0200002f0bf177"},
            {new Message.SubscriptionRejected(Message.RejectionReason.NOT_READY, 1), "020101cec2ea03"},
            {new Message.SubscriptionRejected(Message.RejectionReason.BUSY, 127), "02027f27c5a9b0"},
            {new Message.SubscriptionRejected(Message.RejectionReason.LOG_TOO_SHORT, 128),
                "020380011486d1cf"},
            {new Message.Update(1, DETACHED, Optional.empty(), Optional.empty()),
                "030101020305050000009c407907"},
            {new Message.Update(2, HEARTBEAT,
                Optional.of(new Delta(6, 400, List.of(ENTRY, EMPTY, REMOVAL))),
                Optional.of(new PurgeBatch(5, new long[] {-1, 0, Long.MIN_VALUE}))),
                "0302038080808080200500c8010101069003030704c3b67374066e6f64652d37010201fea5020004"
                    + "6e6f6e6501000100056c696d697400010503ffffffffffffffff0000000000000000800000000000"
                    + "0000215f59fb"},
            {new Message.Update(3, HEARTBEAT, Optional.of(new Snapshot(301, List.of(ENTRY, EMPTY))),
                Optional.of(new PurgeUpdate.Reset(77))),
                "0303038080808080200500c8010102ad02020704c3b67374066e6f64652d37010201fea50200046e"
                    + "6f6e650100024d54f3fbed"},
            {new Message.Acknowledgement(1, 2, 3, true, 4), "0401020301045cbfc8cb"},
            {new Message.LeaseRequest("site-1", 5), "0506736974652d310558e88c42"},
            {new Message.LeaseReply("site-1", true, 3_000, 5), "0606736974652d3101b9170576e2e5a3"},
            {new Message.LeaseReply("site-1", false, Message.LeaseReply.NOT_A_GRANTOR, 5),
                "0606736974652d31000005549661b2"},
            {new Message.RequestVote(1, 2, 3, true), "0701020301b9a2ab5e"},
            {new Message.RequestVoteReply(1, true, false), "0801010008c02228"},
            {new Message.AppendEntries(4, 3, 2, List.of(), 1, 7, -1, 6), "0904030200010700063a2832b3"},
            {new Message.AppendEntries(4, 3, 2, List.of(new LogEntry(1, new Command.NoOp()),
                new LogEntry(2, new Command.ConfigurationChange(ENTRY.key(), ENTRY.value())),
                new LogEntry(2, new Command.ConfigurationChange(REMOVAL.key(), null)),
                new LogEntry(4, new Command.Purge(new long[] {5, -6}))), 1, 7, 8, 6),
                "09040302040100020104c3b67374066e6f64652d37010201fe020100056c696d6974000402020000"
                    + "000000000005fffffffffffffffa01070906f779db5f"},
            {new Message.AppendEntriesReply(1, true, 2, 3, 4), "0a0101020304b5e66cc9"},
            {new Message.InstallSnapshot(8, new LogSnapshot(5, 4, new Snapshot(9, List.of(ENTRY)), 3), 2),
                "0b08050409010704c3b67374066e6f64652d37010201fe0302cac6a3f0"},
        };
    }

    @Test(dataProvider = "messages")
    public void encodingIsUnchanged(Message message, String bytes) throws MalformedMessageException {
        assertEquals(HEX.formatHex(MessageCodec.encode(message)), bytes);
        Message decoded = MessageCodec.decode(HEX.parseHex(bytes));
        assertEquals(digestOfFields(decoded), digestOfFields(message));
        assertEquals(HEX.formatHex(MessageCodec.encode(decoded)), bytes);
    }

    private static String digestOfFields(Message message) {
        Trace trace = Trace.unnamed();
        MessageTrace.fields(trace, message);
        trace.end();
        return trace.digest();
    }

    @DataProvider
    public Object[][] malformedBytes() {
        return new Object[][] {
            {"", "message has 0 bytes: expected at least 5"},
            {"00000000", "message has 4 bytes: expected at least 5"},
            {"0c1100000000", "checksum does not match the content"},
            {withChecksum("00"), "unknown message kind 0"},
            {withChecksum("0d"), "unknown message kind 13"},
            {withChecksum("ff"), "unknown message kind 255"},
            {withChecksum("0c"), "message is truncated: a field ends after the last byte"},
            {withChecksum("0c80"), "message is truncated: a field ends after the last byte"},
            {withChecksum("0c1101"), "1 unread bytes after the last field"},
            {withChecksum("0c8000"), "varint has a redundant zero byte: expected the shortest encoding"},
            {withChecksum("0cffffffffffffffffff"), "varint has more than 63 bits"},
            {withChecksum("0204"), "unknown rejection reason: expected 0 to 3, got 4"},
            {withChecksum("0102"), "boolean: expected 0 or 1, got 2"},
            {withChecksum("01010161"), "scope has the flag for all regions, but names region a"},
            {withChecksum("050561"), "count or length of 5 exceeds the 1 remaining bytes"},
            {withChecksum("0501ff00"), "string is not valid UTF-8"},
            {withChecksum("030101020305050003"),
                "unknown kind of configuration update: expected 0 to 2, got 3"},
            {withChecksum("03010102030505000003"), "unknown kind of purge update: expected 0 to 2, got 3"},
            {withChecksum("0301010203050500010505000000"), "delta: expected 0 <= from < to, got from 5 to 5"},
            {withChecksum("03010102030505000105090401"),
                "count or length of 4 exceeds the 1 remaining bytes"},
            {withChecksum("030101020305050001050901000161000000"),
                "entry with sequence number 0: expected 1 or more"},
            {withChecksum("03010102030505000105090105000161000000"),
                "entry with sequence number 5: expected over 5 and up to 9"},
            {withChecksum("0301010203050500010509010a000161000000"),
                "entry with sequence number 10: expected over 5 and up to 9"},
            {withChecksum("030101020305050000010000"),
                "purge batch: expected fromNumber >= 0, at least 1 hash and no overflow; "
                    + "got fromNumber 0, hash count 0"},
            {withChecksum("03010102030505000001050200"),
                "count or length of 2 exceeds the 1 remaining bytes"},
            {withChecksum("0901020301"), "count or length of 1 exceeds the 0 remaining bytes"},
            {withChecksum("09010203010003"), "unknown kind of command: expected 0 to 2, got 3"},
        };
    }

    @Test(dataProvider = "malformedBytes")
    public void malformedBytesAreRejectedWithExpectedError(String bytes, String error) {
        assertEquals(errorOf(HEX.parseHex(bytes)), error);
    }

    /**
     * Checks the start of the error only, as the rest contains the names of the components of the key's
     * record.
     */
    @Test
    public void snapshotWithRemovalIsMalformed() {
        String bytes = withChecksum("0301010203050500020901070001610000");
        assertTrue(
            errorOf(HEX.parseHex(bytes)).startsWith("snapshot contains a removal, expected values only: "));
    }

    private static String errorOf(byte[] bytes) {
        return expectThrows(MalformedMessageException.class, () -> MessageCodec.decode(bytes)).getMessage();
    }

    private static String withChecksum(String body) {
        return HEX.formatHex(withChecksum(HEX.parseHex(body)));
    }

    private static byte[] withChecksum(byte[] body) {
        CRC32C checksum = new CRC32C();
        checksum.update(body, 0, body.length);
        byte[] bytes = Arrays.copyOf(body, body.length + 4);
        for (int i = 0; i < 4; i++) {
            bytes[body.length + i] = (byte) (checksum.getValue() >>> (24 - 8 * i));
        }
        return bytes;
    }

    /** Pins which randomly changed bytes with a valid checksum can be decoded, and to which messages. */
    @Test
    public void decodingOfChangedBytesIsUnchanged() {
        Trace trace = Trace.named("codec");
        Random random = new Random(1);
        for (Object[] row : messages()) {
            byte[] bytes = MessageCodec.encode((Message) row[0]);
            for (int i = 0; i < 2_000; i++) {
                traceDecoded(trace, withChecksum(randomlyChanged(random, bytes)));
            }
        }
        assertEquals(trace.digest(), "3422320e32f044672accd5ad622e40d80aca591482d9bc5f6113675f9f1cd0f3");
    }

    private static byte[] randomlyChanged(Random random, byte[] bytes) {
        int length = bytes.length - 4 + (random.nextInt(8) == 0 ? random.nextInt(3) - 1 : 0);
        byte[] body = Arrays.copyOf(bytes, length);
        for (int change = random.nextInt(3); change >= 0; change--) {
            int changeIndex = random.nextInt(length);
            body[changeIndex] = (byte) (random.nextBoolean() ? random.nextInt(6)
                : body[changeIndex] ^ 1 << random.nextInt(8));
        }
        return body;
    }

    private static void traceDecoded(Trace trace, byte[] bytes) {
        trace.bytes(bytes);
        try {
            MessageTrace.message(trace, MessageCodec.decode(bytes));
        } catch (MalformedMessageException malformed) {
            trace.part('?');
        }
        trace.end();
    }
}
