package spurroad.control.distribution.relay;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.control.Trace;
import spurroad.control.distribution.DistributionSettings;
import spurroad.control.distribution.ProcessId;
import spurroad.control.distribution.message.Message.Acknowledgement;
import spurroad.control.distribution.message.Message.Heartbeat;
import spurroad.control.distribution.message.Message.RejectionReason;
import spurroad.control.distribution.message.Message.Subscribe;
import spurroad.control.distribution.message.Message.SubscriptionRejected;
import spurroad.control.distribution.message.Message.Unsubscribe;
import spurroad.control.distribution.message.Message.Update;
import spurroad.control.distribution.message.Outbox;
import spurroad.control.distribution.message.Participant;
import spurroad.control.distribution.publish.Publisher;
import spurroad.control.distribution.state.ConfigurationState;
import spurroad.control.distribution.state.ConfigurationUpdate;
import spurroad.control.distribution.state.PurgeLog;
import spurroad.control.distribution.state.PurgeUpdate;
import spurroad.control.distribution.state.ResourceKey;
import spurroad.control.distribution.state.Scope;
import spurroad.control.distribution.subscribe.Subscriber;
import spurroad.control.distribution.support.StateTrace;
import spurroad.control.distribution.support.TracedListener;
import spurroad.control.distribution.support.TracedParticipant;

/**
 * Compares each end of a link with recorded traces while the other end sends random valid messages. Time
 * advances in whole steps, so that timeouts expire at exactly the simulated times.
 */
public class LinkTraceTest {
    private static final long NANOS_PER_MILLISECOND = DistributionSettings.NANOS_PER_MILLISECOND;
    private static final long STEP_NANOS = 50 * NANOS_PER_MILLISECOND;
    private static final int STEPS = 6_000;
    private static final int CHILDREN = 9;
    private static final List<Scope> SCOPES = List.of(Scope.ALL, new Scope("east"), new Scope("west"));
    private static final List<String> REGIONS = List.of("", "east", "west");

    private final DistributionSettings settings = new DistributionSettings();

    /** The state that a publisher sends, changed at random. */
    private static final class Source {
        private final ConfigurationState configuration = new ConfigurationState(8);
        private final PurgeLog purges = new PurgeLog(64, 1 << 10);
        private final Random random;

        private Source(Random random) {
            this.random = random;
        }

        private void changeAtRandom() {
            for (int i = random.nextInt(4); i > 0; i--) {
                int name = random.nextInt(9);
                configuration.append(new ResourceKey(REGIONS.get(name % 3), "r" + name),
                    random.nextInt(5) == 0 ? null : new byte[] {(byte) name});
            }
            for (int i = random.nextInt(30); i > 0; i--) {
                purges.append(random.nextLong());
            }
        }

        /** Returns a number that is at most one greater than {@code present}, mostly close to it. */
        private long randomNumberNear(long present) {
            int kind = random.nextInt(20);
            int maxDistance = kind == 0 ? 3_000 : kind < 4 ? 100 : 6;
            return Math.max(0, present + 1 - random.nextInt(maxDistance));
        }
    }

    @DataProvider
    public Object[][] publishers() {
        return new Object[][] {
            {1, SCOPES.get(0), "d8a3593b7eb87648b724a676473c7f4bce463e68f436aa43a5023c50ed7d6b8b"},
            {2, SCOPES.get(0), "6d3a390012c10c08c8e0a96e153777706c887389817d6db9a49cae9af26cebeb"},
            {3, SCOPES.get(1), "d5ad8e7ef9bbe204fe4b429042231077bfee796b8d4d5a9d9b116f16a9711648"},
        };
    }

    @Test(dataProvider = "publishers")
    public void publisherProducesRecordedTrace(int seed, Scope scope, String digest) {
        Trace trace = Trace.named("publisher-" + seed);
        Random random = new Random(seed);
        Source source = new Source(random);
        Publisher publisher = new Publisher(settings, scope, source.configuration, source.purges, seed);
        Outbox outbox = TracedParticipant.traced(trace, (to, message) -> {});
        long nowNanos = 0;
        for (int step = 0; step < STEPS; step++) {
            nowNanos += random.nextInt(4) * STEP_NANOS;
            trace.number(nowNanos);
            callPublisherAtRandom(random, source, publisher, nowNanos, outbox);
            StateTrace.publisher(trace, publisher);
            trace.number(source.purges.startNumber()).end();
        }
        assertEquals(trace.digest(), digest);
    }

    private static void callPublisherAtRandom(Random random, Source source, Publisher publisher,
                                              long nowNanos, Outbox outbox) {
        ProcessId child = new ProcessId(random.nextInt(CHILDREN));
        Publisher.Status status = new Publisher.Status(2 + nowNanos / (1_000 * STEP_NANOS),
            random.nextInt(9) - 1, random.nextInt(20) > 0);
        int kind = random.nextInt(100);
        if (kind < 15) {
            publisher.onSubscribe(nowNanos, child, subscribe(random, source, nowNanos), status, outbox);
        } else if (kind < 45) {
            publisher.onAcknowledgement(nowNanos, child, acknowledgement(random, source, nowNanos));
        } else if (kind < 47) {
            publisher.onUnsubscribe(child, new Unsubscribe(randomSentAtMillis(random, nowNanos)));
        } else if (kind < 75) {
            publisher.flush(nowNanos, status, outbox);
        } else if (kind < 97) {
            source.changeAtRandom();
        } else if (kind < 99) {
            publisher.retainPurgesAfter(random.nextInt(3) > 0 ? Long.MAX_VALUE : source.purges.startNumber());
        } else if (random.nextInt(5) == 0) {
            publisher.rejectChildren(RejectionReason.NOT_A_RELAY, outbox);
        }
    }

    private static long randomSentAtMillis(Random random, long nowNanos) {
        return Math.max(0, nowNanos / NANOS_PER_MILLISECOND - 50L * random.nextInt(10));
    }

    private static Subscribe subscribe(Random random, Source source, long nowNanos) {
        long purgeNumber = random.nextInt(3) == 0 ? Subscribe.NO_PURGE_NUMBER
            : source.randomNumberNear(source.purges.lastNumber());
        return new Subscribe(SCOPES.get(random.nextInt(3)), random.nextInt(4) > 0,
            source.randomNumberNear(source.configuration.sequence()), purgeNumber, random.nextInt(3) * 40,
            random.nextInt(4) == 0, randomSentAtMillis(random, nowNanos));
    }

    private static Acknowledgement acknowledgement(Random random, Source source, long nowNanos) {
        return new Acknowledgement(random.nextInt(12),
            source.randomNumberNear(source.configuration.sequence()),
            source.randomNumberNear(source.purges.lastNumber()), random.nextInt(5) == 0,
            randomSentAtMillis(random, nowNanos));
    }

    /** Subscribes more children than a publisher may have, at first faster than it accepts them. */
    @Test
    public void subscriptionLimitsProduceRecordedTrace() {
        Trace trace = Trace.named("publisher-crowd");
        Random random = new Random(4);
        Source source = new Source(random);
        source.configuration.append(new ResourceKey("", "r"), new byte[1]);
        Publisher publisher = new Publisher(settings, Scope.ALL, source.configuration, source.purges, 4);
        Outbox outbox = TracedParticipant.traced(trace, (to, message) -> {});
        int subscriberCount = settings.maxChildren + 20;
        long nowNanos = 0;
        for (int step = 0; step < 3 * subscriberCount; step++) {
            nowNanos += NANOS_PER_MILLISECOND
                * (step < subscriberCount / 2 ? random.nextInt(6) : 5 + random.nextInt(3));
            trace.number(nowNanos);
            publisher.onSubscribe(nowNanos, new ProcessId(step % subscriberCount),
                subscribe(random, source, nowNanos),
                new Publisher.Status(1, 0, true), outbox);
            StateTrace.publisher(trace, publisher);
            trace.end();
        }
        assertEquals(publisher.childCount(), settings.maxChildren);
        assertEquals(trace.digest(), "53076eb89161d83e0847b0d67232011f51dd2b0622ddd5e2ecebb0f24f80173f");
    }

    @DataProvider
    public Object[][] subscribers() {
        return new Object[][] {
            {1, 0, "7ff9b629e79bb00244684e4f869701b459ad895390588f0a3b3e033cc32befc6"},
            {2, 64, "40a282f52f1762843ff25190f0ab5264fa4cc64b521368c49107855d6c65474d"},
            {3, 16, "a8009fee485e8f9ea354e166f0c067ee4ab1d70bb931b36188062f4c2744eeef"},
        };
    }

    @Test(dataProvider = "subscribers")
    public void subscriberProducesRecordedTrace(int seed, int logCapacity, String digest) {
        Trace trace = Trace.named("subscriber-" + seed);
        Random random = new Random(seed);
        Source source = new Source(random);
        Subscriber subscriber = new Subscriber(settings, SCOPES.get(1), new ConfigurationState(logCapacity),
            new PurgeLog(logCapacity, logCapacity), logCapacity, new TracedListener(trace), seed);
        Participant traced = new TracedParticipant(new ProcessId(0), subscriber, trace,
            atNanos -> StateTrace.subscriber(trace, atNanos, subscriber));
        long nowNanos = 0;
        for (int step = 0; step < STEPS; step++) {
            nowNanos += random.nextInt(step % 600 < 500 ? 4 : 12) * STEP_NANOS;
            if (random.nextInt(300) == 0) {
                subscriber.setParentCandidates(nowNanos, processes(1, random.nextInt(3)),
                    processes(4, random.nextInt(4)));
            }
            traced.onTimer(nowNanos, (to, message) -> {});
            answerAtRandom(random, source, subscriber, traced, nowNanos);
        }
        assertEquals(trace.digest(), digest);
    }

    private static List<ProcessId> processes(int first, int count) {
        return IntStream.range(first, first + count).mapToObj(ProcessId::new).toList();
    }

    private static void answerAtRandom(Random random, Source source, Subscriber subscriber,
                                       Participant traced, long nowNanos) {
        if (random.nextInt(5) == 0) {
            source.changeAtRandom();
        }
        boolean isFromParent = subscriber.parent() != null && random.nextInt(20) > 0;
        ProcessId from = isFromParent ? subscriber.parent() : new ProcessId(random.nextInt(9));
        int kind = random.nextInt(20);
        if (kind < 1) {
            RejectionReason reason = RejectionReason.values()[random
                .nextInt(RejectionReason.values().length)];
            traced.onMessage(nowNanos, from, new SubscriptionRejected(reason, random.nextInt(15_000)),
                (to, message) -> {});
        } else if (kind < 14) {
            traced.onMessage(nowNanos, from, update(random, source, nowNanos), (to, message) -> {});
        }
    }

    private static Update update(Random random, Source source, long nowNanos) {
        boolean hasConfiguration = random.nextInt(3) == 0;
        Optional<ConfigurationUpdate> configuration = hasConfiguration
            ? source.configuration.updateAfter(source.randomNumberNear(source.configuration.sequence()),
                random.nextInt(6) > 0,
                SCOPES.get(1))
            : Optional.empty();
        Heartbeat heartbeat = new Heartbeat(10 + nowNanos / (2_000 * STEP_NANOS) - random.nextInt(20) / 19,
            source.randomNumberNear(source.configuration.sequence()),
            source.randomNumberNear(source.purges.lastNumber()),
            random.nextInt(12) * 50 - 1, randomSentAtMillis(random, nowNanos), random.nextInt(12) > 0);
        return new Update(1 + random.nextInt(100), heartbeat, configuration, purges(random, source));
    }

    private static Optional<PurgeUpdate> purges(Random random, Source source) {
        int kind = random.nextInt(6);
        long from = source.randomNumberNear(source.purges.lastNumber());
        if (kind == 0) {
            return Optional.of(new PurgeUpdate.Reset(from));
        }
        if (kind > 3 || !source.purges.retainsAfter(from)) {
            return Optional.empty();
        }
        return source.purges.batchAfter(from, 40).map(batch -> batch);
    }
}
