package spurroad.testbed.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Supplier;
import spurroad.control.distribution.DistributionSettings;
import spurroad.control.distribution.ProcessId;
import spurroad.control.distribution.codec.MalformedMessageException;
import spurroad.control.distribution.codec.MessageCodec;
import spurroad.control.distribution.log.LogSnapshot;
import spurroad.control.distribution.message.Message;
import spurroad.control.distribution.publish.Publisher;
import spurroad.control.distribution.state.ConfigurationState;
import spurroad.control.distribution.state.ConfigurationUpdate;
import spurroad.control.distribution.state.PurgeLog;
import spurroad.control.distribution.state.ResourceKey;
import spurroad.control.distribution.state.Scope;
import spurroad.control.distribution.state.StateListener;
import spurroad.control.distribution.subscribe.Subscriber;

/**
 * The heap that the decisions of one process take with the state of the largest region, or of all: states
 * read from bytes, so that nothing is shared, a relay with a full usual log of purges and 200 children, a
 * control machine with the purges of more than an hour. Measured as the difference of the used heap over
 * several instances.
 */
public record FleetFootprint(FleetShape shape, int regionResources, int allResources, double proxyBytes,
                             double relayBytes, double controlBytes) {
    private static final int SETTINGS = 50;
    private static final int CHILDREN = 200;
    // so many at once, as a small object takes less than what the virtual machine itself moves meanwhile
    private static final int PROXY_INSTANCES = 300;
    private static final int RELAY_INSTANCES = 10;
    private static final int CONTROL_INSTANCES = 3;
    private static final int COLLECTIONS = 3;

    /**
     * Measures a fleet, which takes a second or two; other work in the same process disturbs the measurement.
     */
    public static FleetFootprint measure(FleetShape shape) {
        int[] nodes = new int[shape.regions()];
        shape.layOut().forEach(site -> nodes[site.region()] += site.nodes());
        int largest = 0;
        for (int region = 0; region < nodes.length; region++) {
            largest = nodes[region] > nodes[largest] ? region : largest;
        }
        ConfigurationState all = state(nodes);
        Scope region = new Scope(SimulatedFleet.regionName(largest));
        byte[] regional = encode(all.snapshot(region));
        byte[] whole = encode(all.snapshot(Scope.ALL));
        DistributionSettings settings = new DistributionSettings();
        double proxy = bytesOf(PROXY_INSTANCES, () -> subscriber(settings, region, regional, 0));
        double relay = bytesOf(RELAY_INSTANCES,
            () -> relay(settings, region, regional, settings.usualPurgeLogCapacity));
        double control = bytesOf(CONTROL_INSTANCES,
            () -> relay(settings, Scope.ALL, whole, settings.maxPurgeLogCapacity));
        return new FleetFootprint(shape, all.snapshot(region).entries().size(), all.size(), proxy, relay,
            control);
    }

    private static ConfigurationState state(int[] nodes) {
        ConfigurationState state = new ConfigurationState(0);
        for (int i = 0; i < SETTINGS; i++) {
            state.append(new ResourceKey(ResourceKey.EVERYWHERE, "setting-" + i),
                new byte[SimulatedFleet.VALUE_BYTES]);
        }
        for (int region = 0; region < nodes.length; region++) {
            for (int node = 0; node < nodes[region]; node++) {
                state.append(new ResourceKey(SimulatedFleet.regionName(region), "n" + node),
                    new byte[SimulatedFleet.VALUE_BYTES]);
            }
        }
        return state;
    }

    private static byte[] encode(ConfigurationUpdate.Snapshot snapshot) {
        return MessageCodec.encode(new Message.InstallSnapshot(1,
            new LogSnapshot(1, 1, snapshot, 0), 0));
    }

    private static ConfigurationState decoded(byte[] bytes, int log) {
        try {
            Message.InstallSnapshot message = (Message.InstallSnapshot) MessageCodec.decode(bytes);
            ConfigurationState state = new ConfigurationState(log);
            state.apply(message.snapshot().configuration(), entry -> {});
            return state;
        } catch (MalformedMessageException malformed) {
            throw new IllegalStateException(malformed);
        }
    }

    private static Object subscriber(DistributionSettings settings, Scope scope, byte[] state, int purges) {
        Subscriber subscriber = new Subscriber(settings, scope, decoded(state, 0),
            new PurgeLog(purges, purges), 0,
            StateListener.NONE, 1);
        subscriber.setParentCandidates(0, ids(4), ids(6));
        return subscriber;
    }

    private static Object relay(DistributionSettings settings, Scope scope, byte[] state, int purgeLog) {
        ConfigurationState configuration = decoded(state, settings.configurationLogCapacity);
        for (int i = 0; i < settings.configurationLogCapacity; i++) {
            configuration.append(new ResourceKey(ResourceKey.EVERYWHERE, "setting-" + i % SETTINGS),
                new byte[SimulatedFleet.VALUE_BYTES]);
        }
        PurgeLog purges = new PurgeLog(purgeLog, purgeLog);
        for (int i = 0; i < purgeLog; i++) {
            purges.append(i);
        }
        Publisher publisher = new Publisher(settings, scope, configuration, purges, 1);
        Message.Subscribe request = new Message.Subscribe(scope, true, configuration.sequence(),
            purges.lastNumber(), 0,
            false, 0);
        for (int i = 0; i < CHILDREN; i++) {
            publisher.onSubscribe(i * FleetNetwork.SECOND, new ProcessId(i), request,
                new Publisher.Status(1, 0, true), (to, message) -> {});
        }
        return List.of(publisher, subscriber(settings, scope, state, 0));
    }

    private static List<ProcessId> ids(int count) {
        List<ProcessId> ids = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ids.add(new ProcessId(i));
        }
        return ids;
    }

    private static double bytesOf(int instances, Supplier<Object> maker) {
        Object warmUp = maker.get();
        Objects.requireNonNull(warmUp);
        long before = usedHeap();
        Object[] kept = new Object[instances];
        for (int i = 0; i < instances; i++) {
            kept[i] = maker.get();
        }
        long after = usedHeap();
        if (kept[instances - 1] == null) {
            throw new IllegalStateException("the last instance is missing");
        }
        return (after - before) / (double) instances;
    }

    private static long usedHeap() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
