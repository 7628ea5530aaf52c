package spurroad.control.distribution;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.LongConsumer;
import java.util.stream.LongStream;
import spurroad.control.Trace;
import spurroad.control.distribution.core.ControlMachine;
import spurroad.control.distribution.log.Command;
import spurroad.control.distribution.message.Participant;
import spurroad.control.distribution.relay.Relay;
import spurroad.control.distribution.replication.PersistentState;
import spurroad.control.distribution.replication.PersistentStateTrace;
import spurroad.control.distribution.state.ConfigurationState;
import spurroad.control.distribution.state.PurgeLog;
import spurroad.control.distribution.state.ResourceKey;
import spurroad.control.distribution.state.Scope;
import spurroad.control.distribution.subscribe.Subscriber;
import spurroad.control.distribution.support.MessageTrace;
import spurroad.control.distribution.support.SimulatedNetwork;
import spurroad.control.distribution.support.SlowReader;
import spurroad.control.distribution.support.StateTrace;
import spurroad.control.distribution.support.TracedListener;
import spurroad.control.distribution.support.TracedParticipant;

/**
 * Runs the processes of {@link TreeTopology} over a simulated network, and traces each call of each process.
 * The same seed results in the same calls as long as the processes make the same decisions.
 */
final class TracedFleet implements TreeTopology.Visitor {
    private static final int RESOURCES = 40;
    private static final int CHANGES_PER_REMOVAL = 6; // one change of this many is a removal

    final SimulatedNetwork network;
    private final Trace trace;
    private final Random random;
    private final DistributionSettings settings = new DistributionSettings();
    private final Map<ProcessId, Runnable> starters = new LinkedHashMap<>();
    private final Map<ProcessId, PersistentState> persistentStates = new HashMap<>();
    private final Map<ProcessId, ControlMachine> machines = new HashMap<>();
    private final Map<ProcessId, ConfigurationState> configurations = new HashMap<>();
    private final Map<ProcessId, Long> readIntervalsNanos = new HashMap<>();
    private long nextSeed;

    TracedFleet(long seed, Trace trace) {
        this.trace = trace;
        random = new Random(seed);
        nextSeed = seed * 10_000;
        network = new SimulatedNetwork(seed);
        TreeTopology.CONTROL_MACHINES.forEach(id -> starters.put(id, () -> startMachine(id)));
        TreeTopology.visit(this);
    }

    private void startMachine(ProcessId id) {
        PersistentState persistentState = persistentStates.computeIfAbsent(id,
            unused -> new PersistentState());
        ControlMachine machine = new ControlMachine(network.now(), settings, id,
            TreeTopology.CONTROL_MACHINES, persistentState, TreeTopology.LEASES_PER_GROUP,
            this::onCommitted, nextSeed++);
        machines.put(id, machine);
        configurations.put(id, machine.replica().configuration());
        add(id, machine, now -> {
            StateTrace.machine(trace, now, machine);
            PersistentStateTrace.summary(trace, persistentState);
        });
    }

    private void onCommitted(long index, Command command) {
        trace.part('a').number(index);
        MessageTrace.command(trace, command);
    }

    @Override
    public void addRelay(ProcessId id, String region, Relay.TreePosition position) {
        starters.put(id, () -> {
            Relay relay = new Relay(network.now(), settings, new Scope(region), position,
                new TracedListener(trace),
                nextSeed++);
            configurations.put(id, relay.subscriber().configuration());
            add(id, relay, now -> StateTrace.relay(trace, now, relay));
        });
    }

    @Override
    public void addProxy(ProcessId id, String region, List<ProcessId> preferred, List<ProcessId> others) {
        starters.put(id, () -> startProxy(id, new Scope(region), preferred, others));
    }

    private void startProxy(ProcessId id, Scope scope, List<ProcessId> preferred, List<ProcessId> others) {
        ConfigurationState configuration = new ConfigurationState(0);
        Subscriber subscriber = new Subscriber(settings, scope, configuration, new PurgeLog(0, 0), 0,
            new TracedListener(trace), nextSeed++);
        subscriber.setParentCandidates(network.now(), preferred, others);
        configurations.put(id, configuration);
        add(id, subscriber, now -> StateTrace.subscriber(trace, now, subscriber));
    }

    private void add(ProcessId id, Participant process, LongConsumer stateTracer) {
        Participant traced = new TracedParticipant(id, process, trace, stateTracer);
        Long intervalNanos = readIntervalsNanos.get(id);
        network.add(id, intervalNanos == null ? traced : new SlowReader(traced, intervalNanos));
    }

    // ---- events of a script

    /** Starts all processes. */
    void startAll() {
        List.copyOf(starters.keySet()).forEach(this::start);
    }

    List<ProcessId> all() {
        return List.copyOf(starters.keySet());
    }

    void start(ProcessId id) {
        trace.part('+').number(network.now()).number(id.value());
        starters.get(id).run();
        trace.end();
    }

    void stop(ProcessId id) {
        trace.part('x').number(network.now()).number(id.value()).end();
        network.stop(id);
        machines.remove(id);
    }

    /**
     * Deletes the persistent state of a stopped control machine; safe only if all others have the same
     * entries.
     */
    void deletePersistentState(ProcessId id) {
        persistentStates.remove(id);
    }

    /** Makes a process handle its messages only at intervals, in nanoseconds; applies from its next start. */
    void setReadInterval(int id, long intervalNanos) {
        readIntervalsNanos.put(new ProcessId(id), intervalNanos);
    }

    /** Runs for a duration and proposes a random command at each interval, both in nanoseconds. */
    void runWithCommands(long durationNanos, long intervalNanos, int purgesPerCommand) {
        for (long remainingNanos = durationNanos; remainingNanos > 0; remainingNanos -= intervalNanos) {
            propose(random.nextInt(3) == 0 ? purges(purgesPerCommand) : change());
            network.run(intervalNanos);
        }
    }

    Command purges(int count) {
        return new Command.Purge(LongStream.generate(random::nextLong).limit(count).toArray());
    }

    Command change() {
        int name = random.nextInt(RESOURCES);
        String region = name % 3 == 0 ? ResourceKey.EVERYWHERE : TreeTopology.REGIONS.get(name % 2);
        byte[] value = new byte[1 + random.nextInt(4)];
        random.nextBytes(value);
        boolean isRemoval = random.nextInt(CHANGES_PER_REMOVAL) == 0;
        return new Command.ConfigurationChange(new ResourceKey(region, "resource-" + name),
            isRemoval ? null : value);
    }

    /** Proposes a command at every control machine in turn, until one accepts it. */
    void propose(Command command) {
        for (ProcessId id : TreeTopology.CONTROL_MACHINES) {
            ControlMachine machine = machines.get(id);
            if (machine == null) {
                continue;
            }
            long index = machine.replica().propose(command).orElse(-1);
            trace.part('P').number(id.value()).number(index).end();
            if (index >= 0) {
                return;
            }
        }
    }

    /** Returns the first control machine that is a leader; if there is none, the first control machine. */
    ProcessId leader() {
        return TreeTopology.CONTROL_MACHINES.stream()
            .filter(id -> machines.containsKey(id) && machines.get(id).replica().isLeader())
            .findFirst().orElse(TreeTopology.CONTROL_MACHINES.get(0));
    }

    /** Writes the final state: each replica's log and each process's configuration. */
    void writeFinalState() {
        TreeTopology.CONTROL_MACHINES
            .forEach(id -> PersistentStateTrace.full(trace, persistentStates.get(id)));
        starters.keySet().forEach(id -> {
            trace.part('E').number(id.value());
            StateTrace.entries(trace, configurations.get(id));
            trace.end();
        });
    }
}
