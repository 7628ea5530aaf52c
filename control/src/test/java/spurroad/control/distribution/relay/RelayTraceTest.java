package spurroad.control.distribution.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.control.Trace;
import spurroad.control.distribution.DistributionSettings;
import spurroad.control.distribution.ProcessId;
import spurroad.control.distribution.lease.LeaseGrantor;
import spurroad.control.distribution.message.Message;
import spurroad.control.distribution.message.Message.Acknowledgement;
import spurroad.control.distribution.message.Message.LeaseRequest;
import spurroad.control.distribution.message.Message.Subscribe;
import spurroad.control.distribution.message.Message.Unsubscribe;
import spurroad.control.distribution.message.Outbox;
import spurroad.control.distribution.message.Participant;
import spurroad.control.distribution.publish.Publisher;
import spurroad.control.distribution.state.ConfigurationState;
import spurroad.control.distribution.state.PurgeLog;
import spurroad.control.distribution.state.ResourceKey;
import spurroad.control.distribution.state.Scope;
import spurroad.control.distribution.state.StateListener;
import spurroad.control.distribution.subscribe.Subscriber;
import spurroad.control.distribution.support.StateTrace;
import spurroad.control.distribution.support.TracedListener;
import spurroad.control.distribution.support.TracedParticipant;

/**
 * Compares a relay with recorded traces. The relay has a child, and a parent and a grantor that are
 * temporarily unresponsive, independently of each other. Messages have no delay, and time advances in whole
 * steps.
 */
public class RelayTraceTest {
    private static final long SECOND = DistributionSettings.NANOS_PER_SECOND;
    private static final long STEP_NANOS = SECOND / 20;
    private static final int PHASES = 1_000;
    private static final ProcessId RELAY = new ProcessId(0);
    private static final ProcessId PARENT = new ProcessId(1);
    private static final ProcessId GRANTOR = new ProcessId(2);
    private static final ProcessId CHILD = new ProcessId(3);

    private record Sent(ProcessId from, ProcessId to, Message message) {}

    /** The relay with its parent, grantor and child. */
    private static final class RelayEnvironment {
        private final DistributionSettings settings = new DistributionSettings();
        private final ConfigurationState configuration = new ConfigurationState(16);
        private final PurgeLog purges = new PurgeLog(1 << 14, 1 << 14);
        private final Publisher parent = new Publisher(settings, Scope.ALL, configuration, purges, 1);
        private final LeaseGrantor grantor = new LeaseGrantor(0, settings, 1);
        private final Relay relay;
        private final Participant traced;
        private final Subscriber child;
        private final Deque<Sent> inFlight = new ArrayDeque<>();
        private long nowNanos;
        private boolean isParentUnresponsive;
        private boolean isGrantorUnresponsive;

        private RelayEnvironment(Trace trace, long seed) {
            Relay.TreePosition position = new Relay.TreePosition("site", List.of(GRANTOR), List.of(PARENT),
                List.of(), 1);
            relay = new Relay(0, settings, Scope.ALL, position, new TracedListener(trace), seed);
            traced = new TracedParticipant(RELAY, relay, trace,
                atNanos -> StateTrace.relay(trace, atNanos, relay));
            child = new Subscriber(settings, new Scope("east"), new ConfigurationState(0), new PurgeLog(0, 0),
                0, StateListener.NONE, seed);
            child.setParentCandidates(0, List.of(RELAY), List.of());
            change("first");
        }

        private void change(String name) {
            configuration.append(new ResourceKey("east", name), new byte[] {1});
        }

        private void purge(int count) {
            for (int i = 0; i < count; i++) {
                purges.append(purges.lastNumber());
            }
        }

        private void run(long durationNanos) {
            for (long endNanos = nowNanos + durationNanos; nowNanos < endNanos;) {
                step();
            }
        }

        private void step() {
            nowNanos += STEP_NANOS;
            if (!isParentUnresponsive) {
                parent.flush(nowNanos, status(), outbox(PARENT));
            }
            if (nowNanos >= relay.nextTimerNanos()) {
                traced.onTimer(nowNanos, outbox(RELAY));
            }
            if (nowNanos >= child.nextTimerNanos()) {
                child.onTimer(nowNanos, outbox(CHILD));
            }
            while (!inFlight.isEmpty()) {
                deliver(inFlight.remove());
            }
        }

        private Publisher.Status status() {
            return new Publisher.Status(1, 0, true);
        }

        private Outbox outbox(ProcessId from) {
            return (to, message) -> inFlight.add(new Sent(from, to, message));
        }

        private void deliver(Sent sent) {
            if (sent.to().equals(RELAY)) {
                traced.onMessage(nowNanos, sent.from(), sent.message(), outbox(RELAY));
            } else if (sent.to().equals(CHILD)) {
                child.onMessage(nowNanos, sent.from(), sent.message(), outbox(CHILD));
            } else if (sent.to().equals(PARENT) && !isParentUnresponsive) {
                toParent(sent.from(), sent.message());
            } else if (sent.message() instanceof LeaseRequest request && !isGrantorUnresponsive) {
                grantor.onRequest(nowNanos, sent.from(), request, outbox(GRANTOR));
            }
        }

        private void toParent(ProcessId from, Message message) {
            if (message instanceof Subscribe subscribe) {
                parent.onSubscribe(nowNanos, from, subscribe, status(), outbox(PARENT));
            } else if (message instanceof Acknowledgement acknowledgement) {
                parent.onAcknowledgement(nowNanos, from, acknowledgement);
            } else if (message instanceof Unsubscribe unsubscribe) {
                parent.onUnsubscribe(from, unsubscribe);
            }
        }

        private void requestLease() {
            LeaseRequest request = new LeaseRequest("subgroup",
                nowNanos / DistributionSettings.NANOS_PER_MILLISECOND);
            traced.onMessage(nowNanos, CHILD, request, outbox(RELAY));
        }
    }

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {
            {1, "aec3e9edfc3ccdb83b0bc65da1ef37c659eed2da85ff1ccde016b18294475817"},
            {2, "cc3c34f43464fa4b67c69c8329be0fe45c54bdc16a605a13b2e8dacfaab085d1"},
        };
    }

    @Test(dataProvider = "seeds")
    public void relayUnderOutagesProducesRecordedTrace(int seed, String digest) {
        Trace trace = Trace.named("relay-" + seed);
        Random random = new Random(seed);
        RelayEnvironment environment = new RelayEnvironment(trace, seed);
        for (int phase = 0; phase < PHASES; phase++) {
            environment.isParentUnresponsive = random.nextInt(3) == 0;
            environment.isGrantorUnresponsive = random.nextInt(4) == 0;
            environment.change("resource-" + random.nextInt(5));
            environment.purge(random.nextInt(600));
            environment.requestLease();
            environment.run(random.nextInt(120) * STEP_NANOS);
        }
        assertEquals(trace.digest(), digest);
    }

    /**
     * Adds purges about a minute after a relay has a parent again: until then the log retains for former
     * children the older purges that these would replace.
     */
    @Test
    public void purgeRetentionForFormerChildrenProducesRecordedTrace() {
        Trace trace = Trace.named("relay-return");
        for (long delayNanos = 58 * SECOND; delayNanos < 62 * SECOND; delayNanos += 4 * STEP_NANOS) {
            RelayEnvironment environment = new RelayEnvironment(trace, 1);
            environment.run(8 * SECOND);
            environment.purge(environment.settings.usualPurgeLogCapacity + 10);
            environment.run(2 * SECOND);
            environment.isParentUnresponsive = true;
            environment.run(2 * SECOND);
            assertTrue(environment.relay.isRelay() && !environment.relay.subscriber().isAttached());
            environment.isParentUnresponsive = false;
            environment.run(delayNanos);
            environment.purge(30);
            environment.run(SECOND);
        }
        assertEquals(trace.digest(), "fa24cb17eb41d0ea77769a00080d146aedd3976ee6bdd99b401a4e814f172561");
    }
}
