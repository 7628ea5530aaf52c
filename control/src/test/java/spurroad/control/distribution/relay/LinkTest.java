package spurroad.control.distribution.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import spurroad.control.distribution.DistributionSettings;
import spurroad.control.distribution.ProcessId;
import spurroad.control.distribution.message.Message;
import spurroad.control.distribution.message.Message.Acknowledgement;
import spurroad.control.distribution.message.Message.Heartbeat;
import spurroad.control.distribution.message.Message.RejectionReason;
import spurroad.control.distribution.message.Message.Subscribe;
import spurroad.control.distribution.message.Message.SubscriptionRejected;
import spurroad.control.distribution.message.Message.Unsubscribe;
import spurroad.control.distribution.message.Message.Update;
import spurroad.control.distribution.publish.Publisher;
import spurroad.control.distribution.state.ConfigurationEntry;
import spurroad.control.distribution.state.ConfigurationState;
import spurroad.control.distribution.state.ConfigurationUpdate.Delta;
import spurroad.control.distribution.state.ConfigurationUpdate.Snapshot;
import spurroad.control.distribution.state.Freshness;
import spurroad.control.distribution.state.PurgeBatch;
import spurroad.control.distribution.state.PurgeLog;
import spurroad.control.distribution.state.PurgeUpdate;
import spurroad.control.distribution.state.ResourceKey;
import spurroad.control.distribution.state.Scope;
import spurroad.control.distribution.subscribe.Subscriber;
import spurroad.control.distribution.support.CheckingListener;

/** Tests a publisher and a subscriber, message by message. */
public class LinkTest {
    private static final long SECOND = DistributionSettings.NANOS_PER_SECOND;
    private static final long START = 1_000 * SECOND;
    private static final ProcessId PARENT = new ProcessId(1);
    private static final ProcessId OTHER_PARENT = new ProcessId(2);
    private static final ProcessId CHILD = new ProcessId(3);
    private static final Scope EAST = new Scope("east");

    private final DistributionSettings settings = new DistributionSettings();
    private ConfigurationState source;
    private PurgeLog sourcePurges;
    private Publisher publisher;
    private Publisher.Status status;
    private CheckingListener listener;
    private Subscriber subscriber;
    private final List<Message> messagesToChild = new ArrayList<>();
    private final List<Message> messagesToParent = new ArrayList<>();
    private final List<ProcessId> recipients = new ArrayList<>();

    @BeforeMethod
    public void start() {
        source = new ConfigurationState(8);
        sourcePurges = new PurgeLog(64, 1 << 14);
        publisher = new Publisher(settings, Scope.ALL, source, sourcePurges, 1);
        status = new Publisher.Status(1, 0, true);
        listener = new CheckingListener();
        subscriber = new Subscriber(settings, EAST, new ConfigurationState(0), new PurgeLog(0, 0), 0,
            listener, 7);
        subscriber.setParentCandidates(START, List.of(PARENT, OTHER_PARENT), List.of());
        messagesToChild.clear();
        messagesToParent.clear();
        recipients.clear();
        change(1);
    }

    private void change(int name) {
        source.append(new ResourceKey("east", "node-" + name), new byte[] {(byte) name});
    }

    private void purge(int count) {
        for (int i = 0; i < count; i++) {
            sourcePurges.append(i);
        }
    }

    private void sendFromChild(ProcessId to, Message message) {
        recipients.add(to);
        messagesToParent.add(message);
    }

    private static Message takeFirst(List<Message> messages) {
        return messages.remove(0);
    }

    /** Subscribes the child; the publisher answers in place of whichever candidate the child chose. */
    private void attach(long nowNanos) {
        subscriber.onTimer(nowNanos, this::sendFromChild);
        publisher.onSubscribe(nowNanos, CHILD, (Subscribe) takeFirst(messagesToParent), status,
            (to, m) -> messagesToChild.add(m));
        deliver(nowNanos);
    }

    private void deliver(long nowNanos) {
        while (!messagesToChild.isEmpty()) {
            subscriber.onMessage(nowNanos, subscriber.parent(), takeFirst(messagesToChild),
                this::sendFromChild);
        }
        while (!messagesToParent.isEmpty()) {
            publisher.onAcknowledgement(nowNanos, CHILD, (Acknowledgement) takeFirst(messagesToParent));
        }
    }

    private List<Message> flush(long nowNanos) {
        messagesToChild.clear();
        publisher.flush(nowNanos, status, (to, m) -> messagesToChild.add(m));
        return messagesToChild;
    }

    private Update flushFirst(long nowNanos) {
        return (Update) flush(nowNanos).get(0);
    }

    @Test
    public void sendsNewChildSnapshotAndThenDeltas() {
        attach(START);
        assertEquals(subscriber.configuration().sequence(), 1);
        change(2);
        Update update = flushFirst(START + SECOND);
        assertTrue(update.configuration().orElseThrow() instanceof Delta);
        deliver(START + SECOND);
        assertEquals(subscriber.configuration().sequence(), 2);
        assertTrue(flushFirst(START + 2 * SECOND).configuration().isEmpty(), "a heartbeat");
    }

    @Test
    public void resendsLostUpdateDetectedByNextHeartbeat() {
        attach(START);
        change(2);
        flush(START + SECOND).clear(); // lost
        flush(START + 2 * SECOND);
        deliver(START + 2 * SECOND);
        assertEquals(subscriber.configuration().sequence(), 1);
        flush(START + 3 * SECOND);
        deliver(START + 3 * SECOND);
        assertEquals(subscriber.configuration().sequence(), 2);
        assertEquals(listener.sequences.size(), 2);
    }

    @Test
    public void appliesDuplicatedReorderedAndLateUpdatesOnce() {
        attach(START);
        change(2);
        Update first = flushFirst(START + SECOND);
        change(2);
        Update second = flushFirst(START + 2 * SECOND);
        receive(second);
        assertEquals(subscriber.configuration().sequence(), 1, "the update before it is missing");
        receive(first);
        assertEquals(subscriber.configuration().sequence(), 2);
        receive(second);
        receive(first);
        receive(second);
        assertEquals(subscriber.configuration().sequence(), 3);
    }

    private void receive(Update update) {
        subscriber.onMessage(START + 2 * SECOND, subscriber.parent(), update, this::sendFromChild);
    }

    @Test
    public void ignoresUpdateOfEarlierTerm() {
        status = new Publisher.Status(5, 0, true);
        attach(START);
        status = new Publisher.Status(4, 0, true);
        change(2);
        purge(3);
        flush(START + SECOND);
        deliver(START + SECOND);
        assertEquals(subscriber.configuration().sequence(), 1);
        assertEquals(subscriber.term(), 5);
        assertEquals(listener.purgeCount, 0);
    }

    @Test
    public void ignoresMessagesOfFormerParent() {
        attach(START);
        Delta delta = new Delta(1, 2, List.of(new ConfigurationEntry(2, new ResourceKey("east", "x"), null)));
        ProcessId formerParent = subscriber.parent().equals(PARENT) ? OTHER_PARENT : PARENT;
        subscriber.onMessage(START, formerParent,
            new Update(1, new Heartbeat(9, 2, 0, 0, 0, true), Optional.of(delta),
                Optional.empty()),
            this::sendFromChild);
        assertEquals(subscriber.configuration().sequence(), 1);
        assertTrue(messagesToParent.isEmpty());
    }

    @Test
    public void sendsSlowChildNewestStateInsteadOfQueue() {
        attach(START);
        long nowNanos = START;
        int updates = 0;
        for (int i = 0; i < 200; i++) { // for 50 s the child acknowledges no update, but does not time out
            change(2);
            nowNanos += settings.flushIntervalNanos;
            publisher.onAcknowledgement(nowNanos, CHILD,
                new Acknowledgement(0, 1, 0, false, nowNanos / DistributionSettings.NANOS_PER_MILLISECOND));
            updates += flush(nowNanos).size();
        }
        assertTrue(updates <= settings.maxUnacknowledgedUpdates, updates + " updates in flight");
        messagesToChild.clear();
        publisher.onAcknowledgement(nowNanos, CHILD, new Acknowledgement(updates + 2L, 1, 0, true, 0));
        assertTrue(flush(nowNanos + SECOND / 2).isEmpty(),
            "an update that was never sent can't be acknowledged");
        publisher.onAcknowledgement(nowNanos, CHILD, new Acknowledgement(updates + 1L, 1, 0, true, 0));
        Update coalesced = flushFirst(nowNanos + 2 * SECOND);
        assertTrue(coalesced.configuration().orElseThrow() instanceof Snapshot,
            "the log of 8 no longer retains the changes");
        assertEquals(coalesced.configuration().orElseThrow().entries().size(), 2);
        deliver(nowNanos + 2 * SECOND);
        assertEquals(subscriber.configuration().sequence(), 201);
    }

    @Test
    public void removesChildWithoutAcknowledgements() {
        attach(START);
        publisher.flush(START + 4 * SECOND, status, (to, m) -> {});
        assertEquals(publisher.childCount(), 1);
        publisher.flush(START + 6 * SECOND, status, (to, m) -> {});
        assertEquals(publisher.childCount(), 0);
        assertEquals(publisher.nextFlushNanos(), Long.MAX_VALUE);
    }

    @Test
    public void childOfUnresponsiveParentResumesAtAnotherWithinTimeout() {
        attach(START);
        ProcessId first = recipients.get(0);
        long lostNanos = START + settings.parentTimeoutNanos;
        assertTrue(subscriber.nextTimerNanos() <= lostNanos);
        subscriber.onTimer(lostNanos, this::sendFromChild);
        subscriber.onTimer(subscriber.nextTimerNanos(), this::sendFromChild);
        assertTrue(subscriber.nextTimerNanos() < lostNanos + SECOND);
        assertFalse(recipients.get(recipients.size() - 1).equals(first));
        Subscribe resubscription = (Subscribe) messagesToParent.get(messagesToParent.size() - 1);
        assertEquals(resubscription.configurationSequence(), 1);
        assertTrue(resubscription.hasConfiguration());
    }

    @Test
    public void detachesFromParentThatStaysDetached() {
        attach(START);
        status = new Publisher.Status(1, 0, false);
        flush(START + SECOND);
        deliver(START + SECOND);
        subscriber.onTimer(START + SECOND + settings.detachedTimeoutNanos - 1, this::sendFromChild);
        assertTrue(subscriber.isAttached());
        subscriber.onTimer(START + SECOND + settings.detachedTimeoutNanos, this::sendFromChild);
        assertFalse(subscriber.isAttached());
    }

    @Test
    public void notifiesFormerParentAndIgnoresLateUnsubscribe() {
        attach(START);
        ProcessId first = subscriber.parent();
        long lostNanos = START + settings.parentTimeoutNanos;
        subscriber.onTimer(lostNanos, this::sendFromChild);
        subscriber.onTimer(subscriber.nextTimerNanos(), this::sendFromChild);
        int unsubscribeIndex = IntStream.range(0, messagesToParent.size())
            .filter(i -> messagesToParent.get(i) instanceof Unsubscribe)
            .findFirst().orElseThrow();
        Unsubscribe unsubscribe = (Unsubscribe) messagesToParent.get(unsubscribeIndex);
        assertEquals(recipients.get(recipients.size() - messagesToParent.size() + unsubscribeIndex), first);
        publisher.onSubscribe(lostNanos + SECOND, CHILD, new Subscribe(EAST, true, 1, 0, 0, false,
            unsubscribe.sentAtMillis() + 1), status, (to, m) -> {});
        publisher.onUnsubscribe(CHILD, unsubscribe);
        assertEquals(publisher.childCount(), 1);
        publisher.onUnsubscribe(CHILD, new Unsubscribe(unsubscribe.sentAtMillis() + 2));
        assertEquals(publisher.childCount(), 0);
    }

    @Test
    public void limitsRateOfSimultaneousSubscriptionsAndSpreadsRetries() {
        List<SubscriptionRejected> rejections = new ArrayList<>();
        Subscribe request = new Subscribe(EAST, false, 0, Subscribe.NO_PURGE_NUMBER, 0, false, 0);
        for (int i = 0; i < 400; i++) {
            publisher.onSubscribe(START, new ProcessId(100 + i), request, status, (to, m) -> {
                if (m instanceof SubscriptionRejected rejected) {
                    rejections.add(rejected);
                }
            });
        }
        assertEquals(publisher.childCount(), settings.admissionBurst);
        assertTrue(rejections.stream().allMatch(r -> r.reason() == RejectionReason.BUSY));
        long earlyCount = rejections.stream().filter(r -> r.retryAfterMillis() < 900).count();
        assertTrue(earlyCount > 90 && earlyCount < 270,
            earlyCount + " of 360 may retry in the first half of the time");
        publisher.onSubscribe(START + SECOND, new ProcessId(9), request, status,
            (to, m) -> messagesToChild.add(m));
        assertTrue(messagesToChild.get(0) instanceof Update, "later subscriptions are accepted again");
    }

    @Test
    public void appliesPurgesOnceInOrderAndInBoundedBatches() {
        attach(START);
        purge(10_000);
        long nowNanos = START;
        for (int i = 0; i < 4; i++) {
            nowNanos += SECOND;
            Update update = flushFirst(nowNanos);
            update.purges().map(PurgeBatch.class::cast)
                .ifPresent(batch -> assertTrue(batch.hashes().length <= settings.maxPurgesPerUpdate));
            Update duplicate = (Update) messagesToChild.get(0);
            messagesToChild.add(duplicate);
            deliver(nowNanos);
        }
        assertEquals(listener.purgeCount, 10_000);
        assertEquals(listener.resetCount, 1, "at the start, when nothing was stored");
    }

    @Test
    public void rejectsSubscriberBehindPurgeLogUnlessItAcceptsReset() {
        purge(100);
        Subscribe staleSubscribe = new Subscribe(EAST, true, 1, 10, 0, false, 0);
        publisher.onSubscribe(START, CHILD, staleSubscribe, status, (to, m) -> messagesToChild.add(m));
        assertEquals(((SubscriptionRejected) messagesToChild.get(0)).reason(), RejectionReason.LOG_TOO_SHORT);
        messagesToChild.clear();
        Subscribe acceptingSubscribe = new Subscribe(EAST, true, 1, 10, 0, true, 0);
        publisher.onSubscribe(START, CHILD, acceptingSubscribe, status, (to, m) -> messagesToChild.add(m));
        assertEquals(((Update) messagesToChild.get(0)).purges(), Optional.of(new PurgeUpdate.Reset(100)));
    }

    @Test
    public void resetsChildThatLostItsFirstUpdates() {
        purge(100);
        subscriber.onTimer(START, this::sendFromChild);
        // the first update is lost
        publisher.onSubscribe(START, CHILD, (Subscribe) takeFirst(messagesToParent), status, (to, m) -> {});
        purge(5);
        for (int i = 1; i < 5; i++) {
            flush(START + i * SECOND / 4);
            deliver(START + i * SECOND / 4);
        }
        assertEquals(subscriber.purges().lastNumber(), 105);
        assertEquals(subscriber.configuration().sequence(), 1);
    }

    // ---- freshness

    @Test
    public void freshnessStartsWithFirstUpdateAndExpiresOneLeaseAfterLast() {
        assertFalse(subscriber.freshness().isFresh(START));
        attach(START);
        assertTrue(subscriber.freshness().isFresh(START + settings.freshnessLeaseNanos - 1));
        assertFalse(subscriber.freshness().isFresh(START + settings.freshnessLeaseNanos));
    }

    @Test
    public void ageCountsFromEchoAndIncludesPublisherAge() {
        attach(START);
        status = new Publisher.Status(1, 2_000, true);
        flush(START + 4 * SECOND);
        deliver(START + 5 * SECOND); // the update was in flight for one second
        assertEquals(subscriber.freshness().ageMillis(START + 5 * SECOND), 5_000,
            "the earlier update results in the smaller age");
        flush(START + 6 * SECOND);
        deliver(START + 6 * SECOND);
        assertEquals(subscriber.freshness().ageMillis(START + 6 * SECOND), 3_000,
            "2 s old when it was sent, which was after the echo at 5 s");
    }

    @Test
    public void unknownOrImplausibleAgesDoNotExtendFreshness() {
        status = new Publisher.Status(1, Freshness.UNKNOWN_AGE_MILLIS, true);
        attach(START);
        assertFalse(subscriber.freshness().isFresh(START));
        for (long echoMillis : new long[] {START / DistributionSettings.NANOS_PER_MILLISECOND + 1,
            Long.MAX_VALUE}) {
            subscriber.onMessage(START, subscriber.parent(),
                new Update(9, new Heartbeat(1, 1, 0, 0, echoMillis, true),
                    Optional.empty(), Optional.empty()),
                this::sendFromChild);
            assertFalse(subscriber.freshness().isFresh(START), "echo " + echoMillis);
        }
        subscriber.onMessage(START, subscriber.parent(),
            new Update(9, new Heartbeat(1, 1, 0, Long.MAX_VALUE, 5, true),
                Optional.empty(), Optional.empty()),
            this::sendFromChild);
        assertFalse(subscriber.freshness().isFresh(START));
    }

    @Test
    public void heartbeatDoesNotRefreshSubscriberThatLacksPurges() {
        attach(START);
        purge(6_000);
        flush(START + SECOND);
        deliver(START + SECOND);
        assertEquals(subscriber.purges().lastNumber(), 4_096);
        assertEquals(subscriber.freshness().ageMillis(START + SECOND), 1_000, "not younger than before");
        flush(START + 2 * SECOND);
        deliver(START + 2 * SECOND);
        assertTrue(subscriber.freshness().ageMillis(START + 2 * SECOND) <= 1_000);
    }
}
