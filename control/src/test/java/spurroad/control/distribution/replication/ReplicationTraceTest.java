package spurroad.control.distribution.replication;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.control.Trace;
import spurroad.control.distribution.DistributionSettings;
import spurroad.control.distribution.ProcessId;
import spurroad.control.distribution.log.Command;
import spurroad.control.distribution.message.Message;
import spurroad.control.distribution.message.Outbox;
import spurroad.control.distribution.state.ResourceKey;
import spurroad.control.distribution.support.MessageTrace;
import spurroad.control.distribution.support.StateTrace;
import spurroad.control.distribution.support.TracedParticipant;

/**
 * Compares the replicas of a core with recorded traces: cores of several sizes whose messages are lost,
 * duplicated and delayed, and whose replicas are partitioned and restarted. Time advances in whole steps, so
 * that timeouts expire at exactly the simulated times.
 */
public class ReplicationTraceTest {
    private static final long STEP_NANOS = 10 * DistributionSettings.NANOS_PER_MILLISECOND;
    private static final int STEPS = 4_000;

    @DataProvider
    public Object[][] cores() {
        return new Object[][] {
            {1, 0.0, "13cd8d098e5b9b7cf88e96efd3e75f789eec1d069783048b2e3a448eb4ed004e"},
            {2, 0.02, "9157c8ce45a6eddda39a5371aaccd7b36c77d49684fc6e38ae614f79371b5167"},
            {3, 0.1, "74c9ab4631b9e5e20114957a760edcc2678e855d21b87c317c62096ec9e743cd"},
            {4, 0.05, "2d2037e1dc5acd498ca033d8c8ed65474b82f909c0415b6973d00e1ced242d6b"},
            {5, 0.02, "3a137f41df632a5b846a4ba543471b6432d07c0bea3c23eff6d08eaf324f320e"},
            {5, 0.25, "7cd7c348d977db563dc03aae8b1c3b3ade9d8167d87ba44d57df447785002310"},
        };
    }

    @Test(dataProvider = "cores")
    public void coreUnderRandomFaultsProducesRecordedTrace(int size, double loss, String digest) {
        Trace trace = Trace.named("core-" + size + "-" + loss);
        TracedCore core = new TracedCore(size, loss, trace);
        for (int step = 0; step < STEPS; step++) {
            core.step();
        }
        core.persistentStates.forEach(persistent -> PersistentStateTrace.full(trace, persistent));
        assertEquals(trace.digest(), digest);
    }

    private record Delivery(long atNanos, long order, int from, int to, Message message) {}

    /** Replicas, their persistent states and the messages between them. */
    private static final class TracedCore {
        private final DistributionSettings settings = new DistributionSettings();
        private final Trace trace;
        private final Random random;
        private final double loss;
        private final List<ProcessId> members;
        private final List<PersistentState> persistentStates = new ArrayList<>();
        private final List<RaftReplica> replicas = new ArrayList<>();
        private final PriorityQueue<Delivery> inFlight = new PriorityQueue<>(
            Comparator.comparingLong(Delivery::atNanos).thenComparingLong(Delivery::order));
        private long nowNanos = STEP_NANOS;
        private long order;
        private int partitioned = -1; // index of the partitioned replica; -1 for none

        private TracedCore(int size, double loss, Trace trace) {
            this.trace = trace;
            this.loss = loss;
            random = new Random(size);
            members = IntStream.range(0, size).mapToObj(ProcessId::new).toList();
            members.forEach(id -> persistentStates.add(new PersistentState()));
            members.forEach(id -> replicas.add(newReplica(id)));
        }

        private RaftReplica newReplica(ProcessId id) {
            return new RaftReplica(nowNanos, settings, id, members, persistentStates.get(id.value()),
                this::onCommit,
                random.nextLong());
        }

        private void onCommit(long index, Command command) {
            trace.part('a').number(index);
            MessageTrace.command(trace, command);
        }

        private void step() {
            nowNanos += STEP_NANOS;
            while (!inFlight.isEmpty() && inFlight.peek().atNanos() <= nowNanos) {
                deliver(inFlight.poll());
            }
            for (int i = 0; i < replicas.size(); i++) {
                if (nowNanos >= replicas.get(i).nextTimerNanos()) {
                    fireTimer(i);
                }
            }
            if (random.nextInt(6) == 0) {
                propose(random.nextInt(replicas.size()));
            }
            injectRandomFault();
        }

        private void deliver(Delivery delivery) {
            if (partitioned == delivery.from() || partitioned == delivery.to()) {
                return;
            }
            trace.part('r').number(nowNanos).number(delivery.to()).number(delivery.from());
            MessageTrace.fields(trace, delivery.message());
            replicas.get(delivery.to()).onMessage(nowNanos, members.get(delivery.from()), delivery.message(),
                outbox(delivery.to()));
            traceState(delivery.to());
        }

        private void fireTimer(int replica) {
            trace.part('w').number(nowNanos).number(replica);
            replicas.get(replica).onTimer(nowNanos, outbox(replica));
            traceState(replica);
        }

        private void propose(int replica) {
            Command command = random.nextInt(3) == 0
                ? new Command.Purge(random.longs(1 + random.nextInt(3)).toArray())
                : new Command.ConfigurationChange(new ResourceKey("", "r" + random.nextInt(5)),
                    new byte[] {1});
            long index = replicas.get(replica).propose(command).orElse(-1);
            trace.part('P').number(replica).number(index);
            traceState(replica);
        }

        private void injectRandomFault() {
            int kind = random.nextInt(300);
            if (kind == 0) {
                partitioned = random.nextInt(replicas.size());
            } else if (kind < 4) {
                partitioned = -1;
            } else if (kind == 4) {
                int restarted = random.nextInt(replicas.size());
                trace.part('x').number(restarted).end();
                replicas.set(restarted, newReplica(members.get(restarted)));
            }
        }

        private Outbox outbox(int from) {
            return TracedParticipant.traced(trace, (to, message) -> {
                if (random.nextDouble() < loss) {
                    return;
                }
                int copies = random.nextInt(20) == 0 ? 2 : 1;
                for (int copy = 0; copy < copies; copy++) {
                    long delay = STEP_NANOS * (1 + random.nextInt(random.nextInt(10) == 0 ? 60 : 5));
                    inFlight.add(new Delivery(nowNanos + delay, order++, from, to.value(), message));
                }
            });
        }

        private void traceState(int replica) {
            trace.part('=').number(replicas.get(replica).nextTimerNanos());
            StateTrace.replica(trace, nowNanos, replicas.get(replica));
            PersistentStateTrace.summary(trace, persistentStates.get(replica));
            trace.end();
        }
    }
}
