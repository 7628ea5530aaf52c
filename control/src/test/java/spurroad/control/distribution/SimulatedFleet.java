package spurroad.control.distribution;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import spurroad.control.distribution.core.ControlMachine;
import spurroad.control.distribution.log.Command;
import spurroad.control.distribution.relay.Relay;
import spurroad.control.distribution.replication.PersistentState;
import spurroad.control.distribution.state.ConfigurationState;
import spurroad.control.distribution.state.PurgeLog;
import spurroad.control.distribution.state.ResourceKey;
import spurroad.control.distribution.state.Scope;
import spurroad.control.distribution.subscribe.Subscriber;
import spurroad.control.distribution.support.CheckingListener;
import spurroad.control.distribution.support.SimulatedNetwork;

/** Runs the processes of {@link TreeTopology} in simulated time, and records what they commit and apply. */
final class SimulatedFleet implements TreeTopology.Visitor {
    final DistributionSettings settings = new DistributionSettings();
    final SimulatedNetwork network;
    final Map<ProcessId, ControlMachine> control = new LinkedHashMap<>();
    final Map<ProcessId, Relay> relays = new LinkedHashMap<>();
    final Map<ProcessId, Subscriber> subscribers = new LinkedHashMap<>(); // including those of relays
    final Map<ProcessId, CheckingListener> applied = new HashMap<>();
    final Map<ProcessId, String> regionOf = new HashMap<>();
    final Map<ProcessId, String> groupOf = new HashMap<>(); // of relay candidates
    private final Map<ProcessId, PersistentState> persistentStates = new HashMap<>();
    private final Map<ProcessId, Runnable> starters = new LinkedHashMap<>();
    private long seed;

    final Map<ResourceKey, Long> committedSequences = new HashMap<>();
    final Map<Long, Long> committedPurgesAt = new LinkedHashMap<>(); // commit time by purge number
    private long committedIndex;
    private long sequence;
    long purges;

    SimulatedFleet(long seed) {
        this.seed = seed * 10_000;
        network = new SimulatedNetwork(seed);
        TreeTopology.CONTROL_MACHINES.forEach(id -> starters.put(id, () -> startControl(id)));
        TreeTopology.visit(this);
        starters.values().forEach(Runnable::run);
    }

    @Override
    public void addRelay(ProcessId id, String region, Relay.TreePosition position) {
        regionOf.put(id, region);
        groupOf.put(id, position.group());
        starters.put(id, () -> {
            applied.put(id, new CheckingListener());
            Relay relay = new Relay(network.now(), settings, new Scope(region), position, applied.get(id),
                seed++);
            relays.put(id, relay);
            subscribers.put(id, relay.subscriber());
            network.add(id, relay);
        });
    }

    @Override
    public void addProxy(ProcessId id, String region, List<ProcessId> preferred, List<ProcessId> others) {
        regionOf.put(id, region);
        starters.put(id, () -> {
            applied.put(id, new CheckingListener());
            Subscriber subscriber = new Subscriber(settings, new Scope(region), new ConfigurationState(0),
                new PurgeLog(0, 0), 0, applied.get(id), seed++);
            subscriber.setParentCandidates(network.now(), preferred, others);
            subscribers.put(id, subscriber);
            network.add(id, subscriber);
        });
    }

    private void startControl(ProcessId id) {
        PersistentState persistentState = persistentStates.computeIfAbsent(id,
            unused -> new PersistentState());
        ControlMachine machine = new ControlMachine(network.now(), settings, id,
            TreeTopology.CONTROL_MACHINES, persistentState, TreeTopology.LEASES_PER_GROUP, this::committed,
            seed++);
        control.put(id, machine);
        network.add(id, machine);
    }

    private void committed(long index, Command command) {
        if (index <= committedIndex) {
            return;
        }
        committedIndex = index;
        if (command instanceof Command.ConfigurationChange change) {
            committedSequences.put(change.key(), ++sequence);
        } else if (command instanceof Command.Purge purge) {
            purges += purge.hashes().length;
            committedPurgesAt.put(purges, network.now());
        }
    }

    void start(ProcessId id) {
        starters.get(id).run();
    }

    void stop(ProcessId id) {
        network.stop(id);
        control.remove(id);
        relays.remove(id);
        subscribers.remove(id);
        applied.remove(id);
    }

    boolean isRunning(ProcessId id) {
        return control.containsKey(id) || subscribers.containsKey(id);
    }

    List<ProcessId> all() {
        return List.copyOf(starters.keySet());
    }

    ProcessId leader() {
        return control.entrySet().stream().filter(e -> e.getValue().replica().isLeader()
            && e.getValue().replica().isConnected(network.now())).map(Map.Entry::getKey).findFirst()
            .orElse(null);
    }

    boolean propose(Command command) {
        ProcessId leader = leader();
        return leader != null && control.get(leader).replica().propose(command).isPresent();
    }

    boolean change(String region, String name) {
        return propose(new Command.ConfigurationChange(new ResourceKey(region, name), new byte[] {1}));
    }

    boolean purge(int count) {
        return propose(new Command.Purge(new long[count]));
    }

    Set<ProcessId> leaseHolders(String group) {
        Set<ProcessId> leaseHolders = new TreeSet<>((a, b) -> Integer.compare(a.value(), b.value()));
        relays.forEach((id, relay) -> {
            if (relay.isRelay() && groupOf.get(id).equals(group)) {
                leaseHolders.add(id);
            }
        });
        return leaseHolders;
    }

    /** Returns the processes that lack committed changes or purges of their scope. */
    List<String> processesBehind(Predicate<ProcessId> isIncluded) {
        List<String> processesBehind = new ArrayList<>();
        subscribers.forEach((id, subscriber) -> {
            if (!isIncluded.test(id)) {
                return;
            }
            Scope scope = new Scope(regionOf.get(id));
            committedSequences.forEach((key, committed) -> {
                if (scope.includes(key) && !committed.equals(applied.get(id).sequences.get(key))) {
                    processesBehind.add(
                        id.value() + ": " + key.name() + " " + applied.get(id).sequences.get(key) + " not "
                            + committed);
                }
            });
            if (applied.get(id).purgeNumber < purges) {
                processesBehind
                    .add(id.value() + ": purges up to " + applied.get(id).purgeNumber + " of " + purges);
            }
        });
        return processesBehind;
    }

    /**
     * Returns the processes that count as fresh although they lack a purge that was committed longer ago than
     * the freshness lease.
     */
    List<String> processesWronglyFresh() {
        long now = network.now();
        List<String> wronglyFresh = new ArrayList<>();
        subscribers.forEach((id, subscriber) -> {
            if (!subscriber.freshness().isFresh(now)) {
                return;
            }
            committedPurgesAt.forEach((number, committedAtNanos) -> {
                if (committedAtNanos <= now - settings.freshnessLeaseNanos
                    && applied.get(id).purgeNumber < number) {
                    wronglyFresh.add(
                        id.value() + ": has " + applied.get(id).purgeNumber + ", not " + number
                            + " committed "
                            + (now - committedAtNanos) / SimulatedNetwork.NANOS_PER_MILLISECOND + " ms ago");
                }
            });
        });
        return wronglyFresh;
    }
}
