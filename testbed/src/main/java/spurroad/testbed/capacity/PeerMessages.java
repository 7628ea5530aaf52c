package spurroad.testbed.capacity;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import spurroad.model.Decisions;
import spurroad.model.Endpoint;
import spurroad.model.Fleet;
import spurroad.protocol.PeerUpdateCodec;

/**
 * Messages among proxies that may talk, by how many they are. Nodes and load grow with them as in the fleet
 * that is planned for, so each proxy sends requests at the same rate and each node gets as many.
 */
final class PeerMessages implements Measure {
    // columns
    static final int TO_ONE = 0;
    static final int TO_ONE_BYTES = 1;
    static final int CPU = 2;
    static final int TO_ALL = 3;
    static final int TO_ALL_BYTES = 4;
    static final int FULL_CPU = 5;
    static final int STATE = 6;
    private static final double NODES_PER_PROXY = 6_800.0 / 16_000;
    private static final int HEADER_BYTES = 28; // of UDP and IPv4 in front of each message
    private static final long QUIET_SERVICE_NANOS = 10_000_000L;
    private static final long FULL_SERVICE_NANOS = 150_000_000L; // queues pass the soft limit of 100 ms
    private static final double FULL_BUDGET_SECONDS = 0.4; // simulated, after as long to begin with
    private static final double SHORT_BUDGET_SECONDS = 0.6;

    /** Proxies that receive each other's updates at once, in the order in which these are sent. */
    private static final class TalkingProxies {
        private final List<HollowProxy> proxies = new ArrayList<>();
        private final Deque<Message> messages = new ArrayDeque<>();
        private long now;
        private Sent toOne = Sent.NOTHING;
        private Sent toAll = Sent.NOTHING;

        private record Message(int sender, Decisions.SendPeerUpdate update) {}

        private TalkingProxies(int count, long serviceNanos) {
            List<Endpoint> nodes = SyntheticFleet.entries(Math.max(1, (int) (count * NODES_PER_PROXY)));
            for (int i = 0; i < count; i++) {
                int sender = i;
                proxies.add(new HollowProxy(new Fleet(null, i, count, true), nodes, serviceNanos,
                    update -> messages.add(new Message(sender, update))));
            }
        }

        private void run(double seconds) {
            long interval = SyntheticFleet.SECOND_NANOS / RequestDecisions.PER_SECOND;
            long rounds = (long) (seconds * RequestDecisions.PER_SECOND);
            for (long round = 0; round < rounds; round++) {
                long begin = now;
                for (int i = 0; i < proxies.size(); i++) {
                    now = begin + interval * i / proxies.size();
                    proxies.get(i).onRequest(now);
                    deliver();
                }
                now = begin + interval;
            }
        }

        private void deliver() {
            for (Message message = messages.poll(); message != null; message = messages.poll()) {
                int length = PeerUpdateCodec.encode(message.update.update()).length + HEADER_BYTES;
                if (message.update.recipient() == Decisions.ALL_PEERS) {
                    sendToAll(message);
                    toAll = toAll.plus(proxies.size() - 1, length);
                } else {
                    proxies.get(message.update.recipient()).onPeerUpdate(now, message.update.update());
                    toOne = toOne.plus(1, length);
                }
            }
        }

        private void sendToAll(Message message) {
            for (int recipient = 0; recipient < proxies.size(); recipient++) {
                if (recipient != message.sender) {
                    proxies.get(recipient).onPeerUpdate(now, message.update.update());
                }
            }
        }

        private double requests() {
            return proxies.stream().mapToLong(HollowProxy::requests).sum();
        }
    }

    /** Messages and bytes sent. */
    private record Sent(double messages, double bytes) {
        private static final Sent NOTHING = new Sent(0, 0);

        private Sent plus(long more, int bytesEach) {
            return new Sent(messages + more, bytes + (double) more * bytesEach);
        }

        private Sent since(Sent before, double requests) {
            return new Sent((messages - before.messages) / requests, (bytes - before.bytes) / requests);
        }
    }

    /** The cost of one request. */
    private record PerRequest(Sent toOne, Sent toAll, double cpuMicros) {}

    @Override
    public String name() {
        return "peers";
    }

    @Override
    public String title() {
        return "Messages among proxies that may talk (750 requests/s each, 0.425 nodes a proxy)";
    }

    @Override
    public String sizeName() {
        return "proxies";
    }

    @Override
    public List<Column> columns() {
        return List.of(new Column("messages to one proxy a request", ""),
            new Column("bytes of them", "bytes"),
            new Column("processor time a request", "us"),
            new Column("messages to all a request, nodes full", ""), new Column("bytes of them", "bytes"),
            new Column("processor time a request, nodes full", "us"), new Column("state of a proxy", "KB"));
    }

    @Override
    public List<Integer> sizes(MeasurementBudget budget) {
        return budget == MeasurementBudget.FULL ? List.of(16, 32, 64, 128, 256) : List.of(16, 24, 32, 48, 64);
    }

    @Override
    public List<Double> run(int proxies, MeasurementBudget budget) {
        Meter.Retained<TalkingProxies> retained = Meter.retain(1,
            () -> started(proxies, QUIET_SERVICE_NANOS, budget));
        PerRequest whenQuiet = measure(retained.value(), budget);
        PerRequest whenFull = measure(started(proxies, FULL_SERVICE_NANOS, budget), budget);
        return List.of(whenQuiet.toOne.messages, whenQuiet.toOne.bytes, whenQuiet.cpuMicros,
            whenFull.toAll.messages,
            whenFull.toAll.bytes, whenFull.cpuMicros, retained.kilobytes() / proxies);
    }

    private static TalkingProxies started(int proxies, long serviceNanos, MeasurementBudget budget) {
        TalkingProxies talking = new TalkingProxies(proxies, serviceNanos);
        talking.run(seconds(budget));
        return talking;
    }

    private static double seconds(MeasurementBudget budget) {
        return budget == MeasurementBudget.FULL ? FULL_BUDGET_SECONDS : SHORT_BUDGET_SECONDS;
    }

    private static PerRequest measure(TalkingProxies talking, MeasurementBudget budget) {
        double requests = talking.requests();
        Sent toOne = talking.toOne;
        Sent toAll = talking.toAll;
        Meter.Cost cost = Meter.once(() -> talking.run(seconds(budget)));
        double count = talking.requests() - requests;
        return new PerRequest(talking.toOne.since(toOne, count), talking.toAll.since(toAll, count),
            cost.each(count).cpuMicros());
    }
}
