package spurroad.control.distribution.codec;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import java.util.zip.CRC32C;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
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

public class MessageCodecTest {
    private static final ConfigurationEntry ENTRY = new ConfigurationEntry(7,
        new ResourceKey("östlich", "node-7"), new byte[] {1, 2});
    private static final ConfigurationEntry REMOVAL = new ConfigurationEntry(9, new ResourceKey("", "limit"),
        null);
    private static final Message.Heartbeat HEARTBEAT = new Message.Heartbeat(3, 1L << 40, 5, -1, 1L << 41,
        true);

    @DataProvider
    public Object[][] messages() {
        return new Object[][] {
            {new Message.Subscribe(Scope.ALL, false, 0, Message.Subscribe.NO_PURGE_NUMBER, 0, false, 0)},
            {new Message.Subscribe(new Scope("east"), true, Long.MAX_VALUE, 12, 8_192, true, 1L << 41)},
            {new Message.Unsubscribe(17)},
            {new Message.SubscriptionRejected(Message.RejectionReason.LOG_TOO_SHORT, 1_234)},
            {new Message.Update(1, HEARTBEAT, Optional.empty(), Optional.empty())},
            {new Message.Update(2, HEARTBEAT, Optional.of(new Delta(6, 9, List.of(ENTRY, REMOVAL))),
                Optional.of(new PurgeBatch(5, new long[] {-1, 0, Long.MIN_VALUE})))},
            {new Message.Update(3, HEARTBEAT, Optional.of(new Snapshot(9, List.of(ENTRY))),
                Optional.of(new PurgeUpdate.Reset(77)))},
            {new Message.Acknowledgement(1, 2, 3, true, 4)},
            {new Message.LeaseRequest("site-1", 5)},
            {new Message.LeaseReply("site-1", true, 3_000, 5)},
            {new Message.LeaseReply("site-1", false, Message.LeaseReply.NOT_A_GRANTOR, 5)},
            {new Message.RequestVote(1, 2, 3, true)},
            {new Message.RequestVoteReply(1, true, false)},
            {new Message.AppendEntries(4, 3, 2, List.of(), 1, 7, -1, 6)},
            {new Message.AppendEntries(4, 3, 2, List.of(new LogEntry(1, new Command.NoOp()),
                new LogEntry(2, new Command.ConfigurationChange(REMOVAL.key(), null))), 1, 7, 8, 6)},
            {new Message.AppendEntriesReply(1, true, 2, 3, 4)},
            {new Message.InstallSnapshot(8, new LogSnapshot(5, 4, new Snapshot(9, List.of(ENTRY)), 3), 2)}};
    }

    /** Verifies that the test data covers all kinds of messages; fails for a new kind without a row. */
    @Test
    public void allMessageKindsAreTested() {
        Set<Class<?>> tested = Arrays.stream(messages()).map(row -> row[0].getClass())
            .collect(Collectors.toSet());
        assertEquals(tested, kindsOf(Message.class).collect(Collectors.toSet()));
    }

    private static Stream<Class<?>> kindsOf(Class<?> type) {
        return type.isSealed()
            ? Arrays.stream(type.getPermittedSubclasses()).flatMap(MessageCodecTest::kindsOf)
            : Stream.of(type);
    }

    @Test
    public void rejectionReasonsRoundTrip() throws MalformedMessageException {
        for (Message.RejectionReason reason : Message.RejectionReason.values()) {
            Message rejected = new Message.SubscriptionRejected(reason, 1);
            assertEquals(MessageCodec.decode(MessageCodec.encode(rejected)), rejected);
        }
    }

    @Test(dataProvider = "messages")
    public void messagesRoundTrip(Message message) throws MalformedMessageException {
        assertEquals(MessageCodec.decode(MessageCodec.encode(message)), message);
    }

    @Test
    public void commandsWithArraysRoundTrip() throws MalformedMessageException {
        Message.AppendEntries read = (Message.AppendEntries) MessageCodec
            .decode(MessageCodec.encode(new Message.AppendEntries(1, 0, 0,
                List.of(new LogEntry(1, new Command.Purge(new long[] {5, -6})),
                    new LogEntry(1, new Command.ConfigurationChange(ENTRY.key(), new byte[] {9}))),
                0, 0, 0, 0)));
        assertEquals(((Command.Purge) read.entries().get(0).command()).hashes(), new long[] {5, -6});
        assertEquals(((Command.ConfigurationChange) read.entries().get(1).command()).value(), new byte[] {9});
    }

    @Test(dataProvider = "messages")
    public void corruptedAndTruncatedMessagesAreRejected(Message message) {
        byte[] bytes = MessageCodec.encode(message);
        for (int bit = 0; bit < bytes.length * 8; bit++) {
            byte[] corrupted = bytes.clone();
            corrupted[bit / 8] ^= (byte) (1 << bit % 8);
            assertThrows(MalformedMessageException.class, () -> MessageCodec.decode(corrupted));
        }
        for (int length = 0; length < bytes.length; length++) {
            byte[] truncated = Arrays.copyOf(bytes, length);
            assertThrows(MalformedMessageException.class, () -> MessageCodec.decode(truncated));
        }
    }

    /**
     * Verifies that fields are validated even if the checksum is valid: malformed ones cause no other
     * exception and no large allocation.
     */
    @Test(dataProvider = "messages")
    public void malformedFieldsThrowOnlyMalformedMessageException(Message message) {
        byte[] bytes = MessageCodec.encode(message);
        Random random = new Random(bytes.length);
        for (int i = 0; i < 3_000; i++) {
            byte[] body = Arrays.copyOf(bytes, Math.max(1, bytes.length - 4 + random.nextInt(3) - 1));
            for (int change = random.nextInt(4); change >= 0; change--) {
                body[random.nextInt(body.length)] = (byte) random.nextInt();
            }
            try {
                Message read = MessageCodec.decode(withChecksum(body));
                assertEquals(MessageCodec.encode(read).length, body.length + 4, "decoded to " + read);
            } catch (MalformedMessageException expected) {
                assertTrue(expected.getMessage() != null);
            }
        }
    }

    private static byte[] withChecksum(byte[] body) {
        CRC32C checksum = new CRC32C();
        checksum.update(body, 0, body.length);
        byte[] bodyWithChecksum = Arrays.copyOf(body, body.length + 4);
        for (int i = 0; i < 4; i++) {
            bodyWithChecksum[body.length + i] = (byte) (checksum.getValue() >>> (24 - 8 * i));
        }
        return bodyWithChecksum;
    }

    @Test
    public void heartbeatIsShortAndPurgeTakesEightBytes() {
        int heartbeat = MessageCodec.encode(new Message.Update(1_000, HEARTBEAT, Optional.empty(),
            Optional.empty())).length;
        int batch = MessageCodec.encode(new Message.Update(1_000, HEARTBEAT, Optional.empty(),
            Optional.of(new PurgeBatch(5, new long[112])))).length;
        assertTrue(heartbeat <= 40, heartbeat + " bytes");
        assertTrue(batch - heartbeat <= 112 * 8 + 4, batch - heartbeat + " bytes");
    }
}
